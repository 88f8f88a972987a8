import json
import unittest

from hypothesis import given, strategies as st

from cinderway._errors import CinderwayError, ErrorCode
from cinderway.catalog import RouteKind, decode_sheet


def route(**fields):
    return {
        "name": "r1",
        "host": "a.example",
        "path_prefix": "/p/",
        "kind": "repeatable",
        "timeout_ms": 1000,
        "service": "lookup",
        **fields,
    }


def sheet(routes, services=("lookup", "maps"), version=3):
    rows = [{"name": name} for name in services]
    return {"version": version, "routes": routes, "services": rows}


def decode(content):
    return decode_sheet(json.dumps(content).encode())


class SheetTests(unittest.TestCase):
    def refusal(self, content):
        with self.assertRaises(CinderwayError) as caught:
            decode(content)
        self.assertIs(caught.exception.code, ErrorCode.SHEET_INVALID)
        return caught.exception.detail

    def test_a_whole_sheet_is_read(self):
        found = decode(sheet([route(kind="once", objective_ms=800)]))
        self.assertEqual(found.version, 3)
        self.assertIs(found.routes[0].kind, RouteKind.ONCE)
        self.assertFalse(found.routes[0].is_repeatable)
        self.assertEqual([p.service for p in found.routes[0].parts], ["lookup"])

    def test_unknown_fields_are_passed_over(self):
        found = decode({**sheet([route(later="x")]), "later": 1})
        self.assertEqual(found.version, 3)

    def test_a_sheet_that_is_cut_short_is_refused(self):
        body = json.dumps(sheet([route()])).encode()
        for length in range(len(body)):
            with self.assertRaises(CinderwayError):
                decode_sheet(body[:length])

    def test_a_service_that_is_not_in_the_sheet_is_refused(self):
        detail = self.refusal(sheet([route(service="other")]))
        self.assertIn("'other'", detail)
        parts = [{"service": "other", "weight": 1}]
        self.refusal(sheet([route(service=None, split=parts)]))

    def test_two_routes_at_one_place_are_refused(self):
        self.refusal(sheet([route(), route(name="r2")]))
        self.refusal(sheet([route(), route(name="r2", host="A.example")]))
        decode(sheet([route(), route(name="r2", path_prefix="/p/q/")]))

    def test_values_out_of_range_are_refused(self):
        parts = [{"service": "lookup", "weight": -1}, {"service": "maps", "weight": 2}]
        for wrong in (
            {"timeout_ms": 0},
            {"timeout_ms": "1000"},
            {"host": ""},
            {"service": None},
            {"service": None, "split": []},
            {"service": None, "split": parts},
            {"kind": "other"},
        ):
            with self.subTest(wrong):
                self.refusal(sheet([route(**wrong)]))
        self.refusal(sheet([], version=-1))
        self.refusal(sheet([], services=("lookup", "lookup")))

    @given(st.binary(max_size=200))
    def test_bytes_that_are_no_sheet_are_refused_and_nothing_else(self, body):
        with self.assertRaises(CinderwayError) as caught:
            decode_sheet(body)
        self.assertIs(caught.exception.code, ErrorCode.SHEET_INVALID)
