"""Client accounts of a route sheet: their keys and rate limits.

Keys are secrets. The sheet holds them, and an index holds their digests. Neither shows
a key when it is printed, and no error message contains one.
"""

import hashlib
import secrets
from collections import Counter
from collections.abc import Iterator

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AccountName, ApiKey

# Long enough that a digest cannot be guessed and two keys don't collide by chance.
DIGEST_BYTES = 16
# The HTTP path at which control lists accounts and their token use.
ACCOUNTS_PATH = "/v1/accounts"


class AccountRow(msgspec.Struct, frozen=True, kw_only=True):
    """One client account: its keys, its priority and its allowance.

    `rate_per_s` is how many requests a second it may send in the long run, and `burst`
    how many beyond that at once. Without a rate, or with rate 0, there is no limit.
    `priority`, if given, overrides the priority of the route; 0 is the highest.
    """

    name: AccountName
    keys: list[ApiKey] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the account has a rate limit."""
        return bool(self.rate_per_s)

    def __repr__(self) -> str:
        """Return a description that leaves out the keys."""
        return f"AccountRow({self.name!r}, {len(self.keys)} keys)"


class AccountUse(msgspec.Struct, frozen=True):
    """One account as a replica shows it to operators, without its keys.

    `charged` counts the tokens that are held or were used within the last window. They
    come out of `share`, the tokens that this replica may grant, and `borrowed`, those
    that it borrowed from other replicas.
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
    """Finds the account that a key belongs to.

    Keys are looked up by a digest keyed with a secret of this process, so that the time
    a look-up takes does not reveal how much of a guessed key is correct.
    """

    def __init__(self, accounts: list[AccountRow]):
        self._secret = secrets.token_bytes(DIGEST_BYTES)
        self._by_digest = {
            self._digest(key): account for account in accounts for key in account.keys
        }

    def find_account(self, key: ApiKey) -> AccountRow | None:
        """Return the account that a key belongs to, or None."""
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: ApiKey) -> bytes:
        text = key.encode(errors="surrogateescape")
        return hashlib.blake2b(
            text, digest_size=DIGEST_BYTES, key=self._secret
        ).digest()


def check_accounts(accounts: list[AccountRow]) -> None:
    """Validate accounts.

    Raises CinderwayError with SHEET_INVALID, and a detail that names the account and
    the column.
    """
    for account in accounts:
        for problem in _find_problems(account):
            raise _invalid(problem)
    names = Counter(account.name for account in accounts)
    for name, count in names.items():
        if count > 1:
            raise _invalid(f"account {name!r} occurs {count} times; once is allowed")
    holders: dict[ApiKey, AccountName] = {}
    for account in accounts:
        for key in account.keys:
            holder = holders.setdefault(key, account.name)
            if holder != account.name:
                raise _invalid(
                    f"accounts {holder!r} and {account.name!r} share a key; "
                    "keys: each must belong to only one account"
                )


def _find_problems(account: AccountRow) -> Iterator[str]:
    name = account.name
    if not name:
        yield "an account's name is empty"
    elif not (name.isascii() and name.isprintable() and name == name.strip()):
        # The name is sent to backend servers in a header.
        yield (
            f"account {name!r}: name: printable ASCII without leading or trailing "
            "spaces is allowed"
        )
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
