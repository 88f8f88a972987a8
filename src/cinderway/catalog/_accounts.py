"""Client accounts of a route sheet: their keys, and what each account may send.

Keys are secrets. They stand in the sheet and in an index of digests; neither shows them
when it is printed, and no error names one.
"""

import hashlib
import secrets
from collections import Counter
from collections.abc import Iterator

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AccountName, ApiKey

# A digest of this length is not guessed, and two keys do not share one by chance.
DIGEST_BYTES = 16
# Where control lists accounts and their use, over HTTP.
ACCOUNTS_PATH = "/v1/accounts"


class AccountRow(msgspec.Struct, frozen=True, kw_only=True):
    """One client account: its keys, its rank and its allowance.

    `rate_per_s` is how many requests a second it may send in the long run, and `burst`
    how many beyond that at once; without a rate there is no limit. `priority` goes
    before its routes' where it is given; 0 is the highest.
    """

    name: AccountName
    keys: list[ApiKey] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the account has an allowance at all."""
        return bool(self.rate_per_s)

    def __repr__(self) -> str:
        """Return the row's text without its keys."""
        return f"AccountRow({self.name!r}, {len(self.keys)} keys)"


class AccountUse(msgspec.Struct, frozen=True):
    """One account as a replica shows it to operators: without its keys.

    `charged` tokens are held or were used within a window, of the `share` that this
    replica hands out and of `borrowed` ones.
    """

    name: AccountName
    key_count: int
    priority: int | None
    rate_per_s: float | None
    burst: float | None
    charged: int
    share: float | None
    borrowed: int


class AccountIndex:
    """Finds the account that holds a key.

    Keys are looked up by a digest under a secret of this process, so that the time of a
    look-up says nothing of how much of a key was right.
    """

    def __init__(self, accounts: list[AccountRow]):
        self._secret = secrets.token_bytes(DIGEST_BYTES)
        self._by_digest = {
            self._digest(key): account for account in accounts for key in account.keys
        }

    def account_of(self, key: ApiKey) -> AccountRow | None:
        """Return the account that holds a key now, or None."""
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: ApiKey) -> bytes:
        text = key.encode(errors="surrogateescape")
        return hashlib.blake2b(
            text, digest_size=DIGEST_BYTES, key=self._secret
        ).digest()


def check_accounts(accounts: list[AccountRow]) -> None:
    """Raise CinderwayError with SHEET_INVALID that names the account and the column."""
    for account in accounts:
        for problem in _find_problems(account):
            raise _invalid(problem)
    names = Counter(account.name for account in accounts)
    for name, count in names.items():
        if count > 1:
            raise _invalid(f"account {name!r} stands {count} times; once is allowed")
    holders: dict[ApiKey, AccountName] = {}
    for account in accounts:
        for key in account.keys:
            holder = holders.setdefault(key, account.name)
            if holder != account.name:
                raise _invalid(
                    f"accounts {holder!r} and {account.name!r} share a key; "
                    "keys: each of one account alone is allowed"
                )


def _find_problems(account: AccountRow) -> Iterator[str]:
    name = account.name
    if not name:
        yield "an account's name is empty"
    elif not (name.isascii() and name.isprintable() and name == name.strip()):
        # It goes to backend servers in a header.
        yield f"account {name!r}: name: printable ASCII without outer blanks is allowed"
    if not all(account.keys):
        yield f"account {name!r}: keys: one is empty"
    for column in ("rate_per_s", "burst"):
        value = getattr(account, column)
        if value is not None and not value >= 0:
            yield f"account {name!r}: {column}: given {value}; allowed: 0 and above"
    if account.priority is not None and account.priority < 0:
        yield (
            f"account {name!r}: priority: given {account.priority}; "
            "allowed: 0 and above"
        )


def _invalid(detail: str) -> CinderwayError:
    return CinderwayError(ErrorCode.SHEET_INVALID, detail, step=Step.CHECK_EDIT)
