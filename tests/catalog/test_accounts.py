import json
import unittest

from cinderway._errors import CinderwayError, ErrorCode
from cinderway.catalog import AccountIndex, AccountRow, decode_sheet


def sheet(*accounts, **fields):
    return {"version": 1, "routes": [], "services": [], "accounts": accounts, **fields}


def account(name="acme", keys=("k1",), **fields):
    return {"name": name, "keys": list(keys), **fields}


def decode(content):
    return decode_sheet(json.dumps(content).encode())


class AccountValidationTests(unittest.TestCase):
    def assert_rejected(self, *accounts):
        with self.assertRaises(CinderwayError) as caught:
            decode(sheet(*accounts))
        self.assertIs(caught.exception.code, ErrorCode.SHEET_INVALID)
        return str(caught.exception)

    def test_all_fields_of_an_account_are_decoded(self):
        found = decode(sheet(account(priority=0, rate_per_s=8, burst=4)))
        self.assertEqual(found.accounts[0].rate_per_s, 8)
        self.assertTrue(found.accounts[0].is_limited)

    def test_a_sheet_without_accounts_differs_from_one_with_an_empty_list(self):
        content = sheet()
        self.assertEqual(decode(content).accounts, [])
        del content["accounts"]
        self.assertIsNone(decode(content).accounts)

    def test_without_a_rate_or_with_none_there_is_no_limit(self):
        for fields in ({}, {"rate_per_s": 0}, {"rate_per_s": None, "burst": 3}):
            self.assertFalse(AccountRow(name="a", **fields).is_limited)

    def test_a_key_of_two_accounts_is_rejected_without_showing_it(self):
        detail = self.assert_rejected(
            account("a", ["s3cret"]), account("b", ["x", "s3cret"])
        )
        self.assertIn("'a' and 'b'", detail)
        self.assertNotIn("s3cret", detail)

    def test_a_key_that_an_account_lists_twice_is_accepted(self):
        self.assertEqual(len(decode(sheet(account(keys=["k", "k"]))).accounts), 1)

    def test_errors_name_the_account_and_the_column(self):
        for invalid, message in (
            (account(rate_per_s=-1), "'acme': rate_per_s: given -1"),
            (account(burst=-0.5), "'acme': burst: given -0.5"),
            (account(priority=-2), "'acme': priority: given -2"),
            (account(keys=["k", ""]), "'acme': keys"),
            (account(name=""), "name is empty"),
            (account(name="a\r\nx: y"), "name: printable ASCII"),
        ):
            with self.subTest(message):
                self.assertIn(message, self.assert_rejected(invalid))

    def test_two_accounts_with_one_name_are_rejected(self):
        self.assertIn(
            "2 times", self.assert_rejected(account(keys=["a"]), account(keys=["b"]))
        )

    def test_keys_of_the_wrong_type_are_rejected_without_showing_them(self):
        self.assertNotIn("4711", self.assert_rejected(account(keys=[4711])))


class IndexTests(unittest.TestCase):
    def test_each_key_leads_to_its_account(self):
        rows = [AccountRow(name="a", keys=["k1", "k2"]), AccountRow(name="b")]
        index = AccountIndex(rows)
        self.assertEqual(index.find_account("k2").name, "a")
        self.assertIsNone(index.find_account("k3"))

    def test_neither_rows_nor_the_index_show_a_key(self):
        rows = [AccountRow(name="a", keys=["s3cret"])]
        index = AccountIndex(rows)
        for shown in (repr(rows), str(rows[0]), repr(index), repr(vars(index))):
            self.assertNotIn("s3cret", shown)
