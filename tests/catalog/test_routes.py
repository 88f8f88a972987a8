import random
import unittest
from collections import Counter

from hypothesis import given, strategies as st

from cinderway.catalog import (
    RouteIndex,
    RouteRow,
    RouteSheet,
    SplitPart,
    pick_service,
)


def route(prefix, host="a.example", **fields):
    fields.setdefault("service", "lookup")
    return RouteRow(
        name=prefix, host=host, path_prefix=prefix, timeout_ms=1000, **fields
    )


def index(*routes):
    return RouteIndex(RouteSheet(version=1, routes=list(routes), services=[]))


segments = st.lists(st.sampled_from(["a", "b", "ab"]), max_size=4)


class RouteTests(unittest.TestCase):
    def test_the_longest_prefix_wins(self):
        routes = index(route("/a/"), route("/a/b/"))
        self.assertEqual(routes.match("a.example", "/a/b/c").name, "/a/b/")
        self.assertEqual(routes.match("a.example", "/a/bc").name, "/a/")
        self.assertEqual(routes.match("a.example", "/a/").name, "/a/")

    def test_a_prefix_covers_whole_segments_only(self):
        routes = index(route("/a/"))
        self.assertIsNone(routes.match("a.example", "/ab/c"))
        self.assertIsNone(routes.match("a.example", "/a"))

    def test_another_host_has_other_routes(self):
        routes = index(route("/a/"))
        self.assertIsNone(routes.match("b.example", "/a/x"))
        self.assertIsNotNone(routes.match("A.EXAMPLE:8080", "/a/x"))

    @given(st.lists(segments, min_size=1, max_size=5), segments)
    def test_the_longest_prefix_of_the_path_matches(self, prefixes, path):
        sheet_prefixes = {"/" + "".join(s + "/" for s in parts) for parts in prefixes}
        routes = index(*(route(prefix) for prefix in sorted(sheet_prefixes)))
        requested = "/" + "/".join([*path, "x"])
        matching = [prefix for prefix in sheet_prefixes if requested.startswith(prefix)]
        found = routes.match("a.example", requested)
        expected = max(matching, key=len, default=None)
        self.assertEqual(found and found.name, expected)

    def test_a_split_is_drawn_by_weight(self):
        parts = [
            SplitPart(service="lookup", weight=90),
            SplitPart(service="maps", weight=10),
        ]
        split = route("/a/", service=None, split=parts)
        rng = random.Random(1)
        drawn = Counter(pick_service(split, rng) for _ in range(5_000))
        self.assertAlmostEqual(drawn["lookup"] / 5_000, 0.9, delta=0.02)

    def test_a_split_with_all_weights_zero_is_even(self):
        parts = [SplitPart(service=name, weight=0) for name in ("lookup", "maps")]
        split = route("/a/", service=None, split=parts)
        rng = random.Random(1)
        drawn = {pick_service(split, rng) for _ in range(100)}
        self.assertEqual(drawn, {"lookup", "maps"})
