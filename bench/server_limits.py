"""Servers that name a rate: ways to keep the fleet to it, in virtual time.

    python -m bench server_limits [--seeds 2] [--fleets 40] [--limits all]

Played is the product before model servers, with the way as it stands (a few entries
divide each rate), with an equal part for each entry, with an equal part of which one
request may be saved up from the start, with one place that grants each request at no
cost in time (no way can do better), and with nobody reading the rate. `worst window` is
the most that any limited server got in 4 s, as a share of what it bears; `used` what
limited servers got of what they take.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from enum import Enum
from itertools import product
from unittest import mock

from bench.figures import table
from cinderway._ids import DataHall, ServiceName
from cinderway.catalog import RouteKind
from cinderway.entry._limit_watch import LimitWatch
from cinderway.experiment import Outcome, group_by_route, play
from cinderway.experiment._declaration import (
    Experiment,
    Fault,
    FaultKind,
    ModelRoute,
    ModelService,
)
from cinderway.pushback import RateTokenBucket, _store

SERVICE = ServiceName("payout-desk")
ADVERTISED_AT_MS = 3_500
SETTLED_MS = 3_000
WINDOW_MS = 4_000
PROCESSES = 2


class Way(Enum):
    """How the fleet is kept to a rate."""

    NOBODY_READS = "nobody reads it"
    EQUAL_SAVED = "equal parts, one request saved up"
    EQUAL = "equal parts, begun empty"
    FEW = "a few entries divide it"
    ONE_PLACE = "one place grants each request"


# Halls, entries a hall, servers a hall, requests a second.
FLEETS = {
    "12 entries, 20 servers, 57/s": (4, 3, 5, 57.0),
    "40 entries, 20 servers, 57/s": (4, 10, 5, 57.0),
    "105 entries, 60 servers, 170/s": (5, 21, 12, 170.0),
    "300 entries, 60 servers, 170/s": (5, 60, 12, 170.0),
}
# Rate a server names, and the share of the servers that name one.
LIMITS = {
    "one in ten at 1.5/s": (1.5, 0.1),
    "a third at 0.4/s": (0.4, 0.34),
    "all at 2/s": (2.0, 1.0),
    "all at 4/s": (4.0, 1.0),
}


def declared(fleet: str, limit: str, length_ms: int) -> Experiment:
    """Return the experiment of a fleet and a kind of limit."""
    halls, entries_a_hall, servers_a_hall, per_s = FLEETS[fleet]
    rate_per_s, share = LIMITS[limit]
    return Experiment(
        name=f"{fleet}; {limit}",
        halls=[DataHall(f"hall-{number}") for number in range(halls)],
        entries_a_hall=entries_a_hall,
        length_ms=length_ms,
        services=[
            ModelService(
                name=SERVICE, servers_a_hall=servers_a_hall, slots=4, work_ms=310
            )
        ],
        routes=[
            ModelRoute(
                name="payouts",
                service=SERVICE,
                kind=RouteKind.ONCE,
                per_s=per_s,
                objective_ms=1_500,
                timeout_ms=2_500,
                deadline_ms=5_000,
                retries=1,
            )
        ],
        faults=[
            Fault(
                kind=FaultKind.LIMITED_SERVERS,
                at_ms=ADVERTISED_AT_MS,
                for_ms=600_000,
                share=share,
                factor=rate_per_s,
            )
        ],
    )


def _patches(way: Way, entries: int) -> list:
    """Return what turns the product into another way."""
    match way:
        case Way.FEW:
            return []
        case Way.NOBODY_READS:
            return [mock.patch.object(LimitWatch, "record_headers")]
        case Way.EQUAL:
            return [_equal_parts(entries)]
        case Way.EQUAL_SAVED:
            return [
                _equal_parts(entries),
                mock.patch.object(RateTokenBucket, "set_share", _saved),
            ]
        case Way.ONE_PLACE:
            return _one_place()


def _equal_parts(entries: int):
    def share(server, rate_per_s, entry, group):
        return rate_per_s / entries

    return mock.patch.object(_store, "compute_share", share)


def _saved(bucket: RateTokenBucket, share_per_s: float, now_ms: int) -> None:
    if not bucket.share_per_s:
        bucket._last_ms = round(now_ms - 1000 / share_per_s)
    bucket.share_per_s = share_per_s


def _one_place() -> list:
    last_ms: dict[str, int] = {}

    class Shared(RateTokenBucket):
        """All entries' turns at one server."""

        server = ""

        @property
        def next_at_ms(self) -> float:
            return last_ms.get(self.server, 0) + 1000 / self.rate_per_s

        def acquire(self, now_ms: int) -> bool:
            if now_ms < self.next_at_ms:
                return False
            last_ms[self.server] = now_ms
            return True

        def release(self) -> None:
            """Lose it."""

    def use_share(store, server, bucket, now_ms):
        bucket.server = server
        bucket.share_per_s = bucket.rate_per_s

    return [
        mock.patch.object(_store, "RateTokenBucket", Shared),
        mock.patch.object(_store.PushbackStore, "_apply_share", use_share),
    ]


def figures(case: tuple[Way, str, str, int, int]) -> list[str]:
    """Return one line: worst window, what is used, and what callers got."""
    way, fleet, limit, seeds, length_ms = case
    declaration = declared(fleet, limit, length_ms)
    halls, entries_a_hall, _, _ = FLEETS[fleet]
    plays = []
    for seed in range(1, seeds + 1):
        with ExitStack() as patched:
            for patch in _patches(way, halls * entries_a_hall):
                patched.enter_context(patch)
            plays.append(play(declaration, seed))
    worst, used, taken = 0.0, 0, 0.0
    for played in plays:
        for server in played.limited_servers:
            from_ms = server.limited_since_ms + SETTLED_MS
            bears = 1.5 * server.limit_per_s * WINDOW_MS / 1000 + 5
            worst = max(worst, server.count_most_in_window(WINDOW_MS, from_ms) / bears)
            used += sum(from_ms <= at < length_ms for at in server.arrivals_ms)
            taken += server.limit_per_s * (length_ms - from_ms) / 1000
    route = group_by_route(plays)[0]
    return [
        fleet,
        limit,
        way.value,
        f"{worst:.2f}",
        f"{used / taken:.2f}" if taken else "",
        f"{100 * route.share(Outcome.IN_TIME):.1f}%",
        f"{100 * route.share(Outcome.REFUSED):.1f}%",
    ]


def main(arguments: list[str]) -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=int, default=12)
    parser.add_argument("--fleets", default="", help="Those whose name holds this.")
    parser.add_argument("--limits", default="", help="Those whose name holds this.")
    options = parser.parse_args(arguments)
    cases = [
        (way, fleet, limit, options.seeds, options.seconds * 1000)
        for fleet, limit, way in product(FLEETS, LIMITS, Way)
        if options.fleets in fleet and options.limits in limit
    ]
    header = ["fleet", "limits", "way", "worst window", "used", "in time", "refused"]
    with ProcessPoolExecutor(PROCESSES) as processes:
        print(table(header, list(processes.map(figures, cases))))
