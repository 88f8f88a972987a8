"""A rate limit that a server advertises in its answers binds the whole fleet.

The tests guard against entries that ignore the limit or apply it each by itself. Two
of nineteen servers advertised limits of 1.5 and of 1 request a second, which entries
ignored: the servers received 30 and 32 requests in four seconds, where 14 and 11 were
allowed, and no fewer than before. A limit for each entry would have changed nothing:
according to the logs, the 32 requests to one of the servers came from 18 entries, at
most three from each, so that each entry by itself kept to 1.5 a second.
"""

import unittest

from cinderway._ids import DataHall
from cinderway.experiment import play
from cinderway.experiment._declaration import Fault, FaultKind

from ._declared import experiment, route, service

SEED = 1
LENGTH_MS = 14_000
ADVERTISED_AT_MS = 2_000
# The guaranteed bound: from three seconds after a server first advertised a limit, it
# receives in any four seconds at most 1.5 times the limit, plus five requests.
SETTLED_MS = 3_000
WINDOW_MS = 4_000
EXTRA_REQUESTS = 5


def allowed(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_MS / 1000 + EXTRA_REQUESTS


def declared(halls, entries_a_hall, limit_per_s, share, **given):
    limited = Fault(
        kind=FaultKind.LIMITED_SERVERS,
        at_ms=ADVERTISED_AT_MS,
        for_ms=60_000,
        share=share,
        factor=limit_per_s,
    )
    fields = {
        "halls": [DataHall(f"hall-{number}") for number in range(halls)],
        "entries_a_hall": entries_a_hall,
        "length_ms": LENGTH_MS,
        "services": [service(servers_a_hall=5, slots=4)],
        "routes": [route(per_s=57)],
        "faults": [limited],
    }
    return experiment(**(fields | given))


class LimitTests(unittest.TestCase):
    def assert_limit_kept(self, declared):
        limited = play(declared, SEED).limited_servers
        self.assertTrue(limited)
        for server in limited:
            most = server.most_in(WINDOW_MS, server.named_at_ms + SETTLED_MS)
            self.assertLessEqual(most, allowed(server.limit_per_s))

    def test_a_limit_holds_over_forty_entries(self):
        cases = {
            "few of the servers": declared(4, 10, limit_per_s=1.5, share=0.1),
            "below one a second": declared(4, 10, limit_per_s=0.4, share=0.5),
            "all of the servers": declared(
                4, 10, limit_per_s=1.9, share=1.0, routes=[route(per_s=100)]
            ),
        }
        for name, case in cases.items():
            with self.subTest(name):
                self.assert_limit_kept(case)

    def test_a_limit_holds_over_three_hundred_entries(self):
        many = declared(
            5,
            60,
            limit_per_s=1.9,
            share=1.0,
            services=[service(servers_a_hall=6, slots=4)],
            routes=[route(per_s=200)],
            length_ms=9_000,
        )
        self.assert_limit_kept(many)
