"""A server that names how much it takes gets no more than that from the whole fleet.

Two of nineteen servers named a limit of 1.5 and of 1 request a second in their answers.
They got 30 and 32 requests in four seconds, where 14 and 11 were allowed, and no fewer
than before they spoke. Nobody read the limit. It would not have been enough if each
entry had: the 32 requests that the logs have of one of them came from 18 entries, three
at the most from each, so that an entry that held to 1.5 a second by itself would have
changed nothing. The limit binds all entries together.
"""

import unittest

from cinderway._ids import DataHall
from cinderway.experiment import play
from cinderway.experiment._declaration import Fault, FaultKind

from ._declared import experiment, route, service

SEED = 1
LENGTH_MS = 14_000
NAMED_AT_MS = 2_000
# The bound as servers are promised it: from three seconds after a server spoke first,
# in any four seconds, one and a half times what it takes and five requests more.
SETTLED_MS = 3_000
WINDOW_MS = 4_000
EXTRA_REQUESTS = 5


def allowed(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_MS / 1000 + EXTRA_REQUESTS


def declared(halls, entries_a_hall, limit_per_s, share, **given):
    limited = Fault(
        kind=FaultKind.LIMITED_SERVERS,
        at_ms=NAMED_AT_MS,
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
    def assert_kept(self, declared):
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
                self.assert_kept(case)

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
        self.assert_kept(many)
