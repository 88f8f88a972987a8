"""Compare strategies of enforcing servers' rate limits in a fleet, in virtual time.

    python -m bench server_limits [--seeds 2] [--fleets 40] [--limits all]

Simulates the product with model servers and these strategies: the product's own (a few
entries divide each rate), an equal share for each entry, an equal share with one
request saved up from the start, a central token bucket that grants each request without
delay (an upper bound for all strategies), and no limit at all. `worst window` is the
largest number of requests that a limited server got in 4 s, as a share of the number it
accepts; `used` is the share of the accepted rate that limited servers got.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from enum import Enum
from itertools import product
from unittest import mock

from bench.figures import format_table
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


class Strategy(Enum):
    """How the fleet enforces a server's rate limit."""

    LIMIT_IGNORED = "limit ignored"
    EQUAL_WITH_SAVED_REQUEST = "equal shares, one request saved up"
    EQUAL = "equal shares, starting without a token"
    FEW_ENTRIES = "a few entries share the rate"
    CENTRAL = "central token bucket"


# Halls, entries per hall, servers per hall, requests per second.
FLEETS = {
    "12 entries, 20 servers, 57/s": (4, 3, 5, 57.0),
    "40 entries, 20 servers, 57/s": (4, 10, 5, 57.0),
    "105 entries, 60 servers, 170/s": (5, 21, 12, 170.0),
    "300 entries, 60 servers, 170/s": (5, 60, 12, 170.0),
}
# Rate limit of a server, and the share of the servers that have one.
LIMITS = {
    "one in ten at 1.5/s": (1.5, 0.1),
    "a third at 0.4/s": (0.4, 0.34),
    "all at 2/s": (2.0, 1.0),
    "all at 4/s": (4.0, 1.0),
}


def build_experiment(fleet: str, limit: str, length_ms: int) -> Experiment:
    """Return the experiment for a fleet and a kind of limit."""
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


def _build_patches(strategy: Strategy, entries: int) -> list:
    """Return the patches that replace the product's strategy by another."""
    match strategy:
        case Strategy.FEW_ENTRIES:
            return []
        case Strategy.LIMIT_IGNORED:
            return [mock.patch.object(LimitWatch, "record_headers")]
        case Strategy.EQUAL:
            return [_patch_equal_shares(entries)]
        case Strategy.EQUAL_WITH_SAVED_REQUEST:
            return [
                _patch_equal_shares(entries),
                mock.patch.object(
                    RateTokenBucket, "set_share", _set_share_with_saved_request
                ),
            ]
        case Strategy.CENTRAL:
            return _patch_central()


def _patch_equal_shares(entries: int):
    def share(server, rate_per_s, entry, group):
        return rate_per_s / entries

    return mock.patch.object(_store, "compute_share", share)


def _set_share_with_saved_request(
    bucket: RateTokenBucket, share_per_s: float, now_ms: int
) -> None:
    if not bucket.share_per_s:
        bucket._last_ms = round(now_ms - 1000 / share_per_s)
    bucket.share_per_s = share_per_s


def _patch_central() -> list:
    last_ms: dict[str, int] = {}

    class Shared(RateTokenBucket):
        """A token bucket for one server that all entries share."""

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
            """Ignore a returned token."""

    def use_share(store, server, bucket, now_ms):
        bucket.server = server
        bucket.share_per_s = bucket.rate_per_s

    return [
        mock.patch.object(_store, "RateTokenBucket", Shared),
        mock.patch.object(_store.PushbackStore, "_apply_share", use_share),
    ]


def measure(case: tuple[Strategy, str, str, int, int]) -> list[str]:
    """Simulate one case; return its row of the table."""
    strategy, fleet, limit, seeds, length_ms = case
    declaration = build_experiment(fleet, limit, length_ms)
    halls, entries_a_hall, _, _ = FLEETS[fleet]
    results = []
    for seed in range(1, seeds + 1):
        with ExitStack() as patched:
            for patch in _build_patches(strategy, halls * entries_a_hall):
                patched.enter_context(patch)
            results.append(play(declaration, seed))
    worst, used, accepted = 0.0, 0, 0.0
    for result in results:
        for server in result.limited_servers:
            from_ms = server.limited_since_ms + SETTLED_MS
            capacity = 1.5 * server.limit_per_s * WINDOW_MS / 1000 + 5
            worst = max(
                worst, server.count_most_in_window(WINDOW_MS, from_ms) / capacity
            )
            used += sum(from_ms <= at < length_ms for at in server.arrivals_ms)
            accepted += server.limit_per_s * (length_ms - from_ms) / 1000
    route = group_by_route(results)[0]
    return [
        fleet,
        limit,
        strategy.value,
        f"{worst:.2f}",
        f"{used / accepted:.2f}" if accepted else "",
        f"{100 * route.share(Outcome.IN_TIME):.1f}%",
        f"{100 * route.share(Outcome.REFUSED):.1f}%",
    ]


def main(arguments: list[str]) -> None:
    """Simulate the chosen cases and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=int, default=12)
    parser.add_argument("--fleets", default="", help="Those whose name holds this.")
    parser.add_argument("--limits", default="", help="Those whose name holds this.")
    options = parser.parse_args(arguments)
    cases = [
        (strategy, fleet, limit, options.seeds, options.seconds * 1000)
        for fleet, limit, strategy in product(FLEETS, LIMITS, Strategy)
        if options.fleets in fleet and options.limits in limit
    ]
    header = ["fleet", "limits", "way", "worst window", "used", "in time", "refused"]
    with ProcessPoolExecutor(PROCESSES) as processes:
        print(format_table(header, list(processes.map(measure, cases))))
