import unittest

from hypothesis import given, strategies as st

from cinderway._errors import CinderwayError, ErrorCode
from cinderway.catalog import AccountIndex, AccountRow, RouteRow
from cinderway.entry.callers._accounts import (
    headers_for_servers,
    identify_account,
    parse_api_key,
)
from cinderway.entry.callers._requests import build_backend_request
from cinderway.entry.servers._messages import HeaderNames

KEY = "k3y0fAcme"
ACCOUNTS = AccountIndex([AccountRow(name="acme", keys=[KEY])])
HEADER = b"cinderway-account"
PRIVATE = RouteRow(name="r", host="h", path_prefix="/", timeout_ms=1, service="s")
PUBLIC = RouteRow(
    name="p", host="h", path_prefix="/", timeout_ms=1, service="s", is_public=True
)


def bearer(key, scheme="Bearer "):
    return (b"authorization", f"{scheme}{key}".encode())


class IdentifyTests(unittest.TestCase):
    def refusal(self, headers):
        with self.assertRaises(CinderwayError) as caught:
            identify_account(ACCOUNTS, PRIVATE, headers)
        self.assertIs(caught.exception.code, ErrorCode.ACCOUNT_UNKNOWN)
        return str(caught.exception)

    def test_a_key_identifies_its_account_in_every_spelling_of_the_scheme(self):
        for scheme in ("Bearer ", "bearer ", "BEARER  ", "Bearer\t"):
            found = identify_account(ACCOUNTS, PRIVATE, [bearer(KEY, scheme)])
            self.assertEqual(found.account.name, "acme")

    def test_a_request_without_a_known_key_is_refused_and_its_key_is_not_shown(self):
        self.refusal([])
        self.assertNotIn("other", self.refusal([bearer("other")]))
        self.refusal([bearer(KEY, "Basic ")])
        self.refusal([bearer(KEY + " x")])
        self.refusal([bearer(KEY.upper())])

    def test_two_credentials_are_refused(self):
        self.refusal([bearer(KEY), bearer(KEY)])
        self.refusal([bearer(KEY), bearer("other")])

    def test_a_public_route_needs_no_key_but_recognizes_one(self):
        self.assertIsNone(identify_account(ACCOUNTS, PUBLIC, []).account)
        self.assertIsNone(identify_account(ACCOUNTS, PUBLIC, [bearer("other")]).account)
        found = identify_account(ACCOUNTS, PUBLIC, [bearer(KEY)])
        self.assertEqual(found.account.name, "acme")

    def test_without_accounts_no_key_is_needed(self):
        self.assertIsNone(identify_account(None, PRIVATE, [bearer(KEY)]).account)


NAMES = st.sampled_from(
    [
        b"authorization",
        b"Authorization",
        b"proxy-authorization",
        b"x-api-key",
        b"cookie",
        HEADER,
        b"Cinderway-Account",
        b"cinderway_account",
        b"connection",
        b"accept",
    ]
)
VALUES = st.sampled_from(
    [
        f"Bearer {KEY}".encode(),
        f"  bearer\t {KEY} ".encode(),
        KEY.encode(),
        f"key={KEY}; a=b".encode(),
        b"somebody-else",
        b"authorization, close",
        b"*/*",
        b"",
    ]
)


class HeaderTests(unittest.TestCase):
    @given(st.lists(st.tuples(NAMES, VALUES)))
    def test_servers_get_neither_keys_nor_account_headers_of_the_caller(self, extra):
        headers = [bearer(KEY), *extra]
        kept = headers_for_servers(headers, HEADER, ACCOUNTS)
        scope = {
            "raw_path": b"/",
            "query_string": b"",
            "method": "GET",
            "headers": headers,
        }
        names = HeaderNames(account=HEADER, forwards_own_headers=True)
        sent = build_backend_request(scope, b"", names, kept, "acme").headers
        account_values = []
        for name, value in sent:
            self.assertNotIn(KEY.encode(), value)
            if name.lower().replace(b"_", b"-") == HEADER:
                account_values.append(value)
        self.assertEqual(account_values, [b"acme"])

    def test_other_headers_are_forwarded(self):
        headers = [bearer(KEY), (b"accept", b"*/*"), (b"x-a", b"1")]
        kept = headers_for_servers(headers, HEADER, ACCOUNTS)
        self.assertEqual(kept, [(b"accept", b"*/*"), (b"x-a", b"1")])

    def test_without_accounts_credentials_are_forwarded(self):
        headers = [bearer(KEY), (HEADER, b"x")]
        self.assertEqual(headers_for_servers(headers, HEADER, None), [bearer(KEY)])

    def test_a_credential_without_a_key_removes_no_other_header(self):
        for value in (b"", b"Bearer */*"):
            headers = [(b"authorization", value), (b"accept", b"*/*")]
            kept = headers_for_servers(headers, HEADER, ACCOUNTS)
            self.assertEqual(kept, [(b"accept", b"*/*")])
        self.assertIsNone(parse_api_key([(b"authorization", b"")]))
