"""Which client account a request belongs to, and what of its headers servers may see.

Pure: the sheet's accounts and the request's headers come in.
"""

from dataclasses import dataclass

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AccountName, ApiKey
from cinderway.catalog import AccountIndex, AccountRow, RouteRow
from cinderway.entry.callers._requests import AUTHORIZATION
from cinderway.entry.servers._messages import Headers

# Headers that exist to carry credentials; none of them reaches a server.
CREDENTIAL_HEADERS = frozenset({AUTHORIZATION, b"proxy-authorization"})
SCHEME = b"bearer"
# Shorter credentials are no keys, and stand in other headers by chance.
LEAST_SECRET_BYTES = 8


@dataclass(frozen=True)
class Identity:
    """The account that a request belongs to, if any, and the key that says so."""

    key: ApiKey | None = None
    account: AccountRow | None = None

    @property
    def account_name(self) -> AccountName | None:
        """The name of the account, where there is one."""
        return self.account.name if self.account is not None else None


ANONYMOUS = Identity()


def key_of(headers: Headers) -> ApiKey | None:
    """Return the key that a request carries; None without one, or with several."""
    values = [value for name, value in headers if name.lower() == AUTHORIZATION]
    if len(values) != 1:
        return None
    words = values[0].split()
    if len(words) != 2 or words[0].lower() != SCHEME:
        return None
    return ApiKey(words[1].decode("latin-1"))


def identify(
    accounts: AccountIndex | None, route: RouteRow, headers: Headers
) -> Identity:
    """Return whom a request on a route belongs to.

    Raises CinderwayError with ACCOUNT_UNKNOWN where an account's key is needed and the
    request has none. The error does not tell the key.
    """
    if accounts is None:
        return ANONYMOUS
    key = key_of(headers)
    account = accounts.account_of(key) if key is not None else None
    if account is not None:
        return Identity(key, account)
    if route.is_public:
        return ANONYMOUS
    raise CinderwayError(
        ErrorCode.ACCOUNT_UNKNOWN,
        "the request carries no key" if key is None else "no account holds its key",
        step=Step.IDENTIFY,
    )


def headers_for_servers(
    headers: Headers, account_header: bytes, accounts: AccountIndex | None
) -> Headers:
    """Return a request's headers without what only this entry may say or know.

    The account's header is the entry's to set, however a caller spells it. Where there
    are accounts, credentials go no further, nor do headers that repeat one.
    """
    kept = [pair for pair in headers if not _is_spelling_of(pair[0], account_header)]
    if accounts is None:
        return kept
    secrets = _secrets_in(headers)
    return [
        (name, value)
        for name, value in kept
        if name.lower() not in CREDENTIAL_HEADERS
        and not any(secret in value for secret in secrets)
    ]


def _secrets_in(headers: Headers) -> set[bytes]:
    """Return the last word of each credential: the key, whatever its scheme."""
    credentials = [v.split() for n, v in headers if n.lower() in CREDENTIAL_HEADERS]
    keys = {words[-1] for words in credentials if words}
    return {key for key in keys if len(key) >= LEAST_SECRET_BYTES}


def _is_spelling_of(name: bytes, header: bytes) -> bool:
    """Whether a server may read a header by this name as the given one.

    Many servers take an underscore for a dash.
    """
    return bool(header) and name.lower().replace(b"_", b"-") == header
