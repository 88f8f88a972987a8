"""Find a request's client account and remove the headers that servers must not see.

Pure functions of the route sheet's accounts and of the request's headers.
"""

from dataclasses import dataclass

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AccountName, ApiKey
from cinderway.catalog import AccountIndex, AccountRow, RouteRow
from cinderway.entry.callers._requests import AUTHORIZATION
from cinderway.entry.servers._messages import Headers

# Headers whose purpose is to carry credentials; none is forwarded to a server.
CREDENTIAL_HEADERS = frozenset({AUTHORIZATION, b"proxy-authorization"})
SCHEME = b"bearer"
# Shorter credentials are not keys, and occur in other headers by chance.
MIN_SECRET_BYTES = 8


@dataclass(frozen=True)
class AccountIdentity:
    """The account that a request belongs to, if any, and the key that identifies it."""

    key: ApiKey | None = None
    account: AccountRow | None = None

    @property
    def account_name(self) -> AccountName | None:
        """The name of the account; None without an account."""
        return self.account.name if self.account is not None else None


ANONYMOUS = AccountIdentity()


def parse_api_key(headers: Headers) -> ApiKey | None:
    """Return the API key of a request; None if it carries none or several."""
    values = [value for name, value in headers if name.lower() == AUTHORIZATION]
    if len(values) != 1:
        return None
    words = values[0].split()
    if len(words) != 2 or words[0].lower() != SCHEME:
        return None
    return ApiKey(words[1].decode("latin-1"))


def identify_account(
    accounts: AccountIndex | None, route: RouteRow, headers: Headers
) -> AccountIdentity:
    """Return the account that a request on a route belongs to.

    Raises CinderwayError with ACCOUNT_UNKNOWN if the route requires an account's key
    and the request has none. The error does not contain the key.
    """
    if accounts is None:
        return ANONYMOUS
    key = parse_api_key(headers)
    account = accounts.find_account(key) if key is not None else None
    if account is not None:
        return AccountIdentity(key, account)
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
    """Return a request's headers without those that servers must not get from it.

    The account header is removed in every spelling, since only the entry may set it. If
    there are accounts, credentials and all headers that repeat one are removed too.
    """
    kept = [pair for pair in headers if not _is_spelling_of(pair[0], account_header)]
    if accounts is None:
        return kept
    secrets = _get_secrets(headers)
    return [
        (name, value)
        for name, value in kept
        if name.lower() not in CREDENTIAL_HEADERS
        and not any(secret in value for secret in secrets)
    ]


def _get_secrets(headers: Headers) -> set[bytes]:
    """Return the last word of each credential, which is the key in any scheme."""
    credentials = [v.split() for n, v in headers if n.lower() in CREDENTIAL_HEADERS]
    keys = {words[-1] for words in credentials if words}
    return {key for key in keys if len(key) >= MIN_SECRET_BYTES}


def _is_spelling_of(name: bytes, header: bytes) -> bool:
    """Whether a server may treat a header with this name as the given header.

    Many servers treat an underscore as a dash.
    """
    return bool(header) and name.lower().replace(b"_", b"-") == header
