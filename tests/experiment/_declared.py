"""Small experiments for tests."""

from msgspec.structs import replace

from cinderway._ids import DataHall, ServiceName
from cinderway.catalog import RouteKind
from cinderway.experiment._declaration import (
    BurstFailure,
    Bursts,
    Experiment,
    Fault,
    FaultKind,
    ModelRoute,
    ModelService,
)

SERVICE = ServiceName("submit")
# At any time three in ten servers are in a burst, in which they fail three quarters of
# their requests.
USERS_BURSTS = Bursts(
    length_ms=2_700, every_ms=9_000, fail_share=0.75, failure=BurstFailure.ERROR
)

# Four in ten servers reject nine in ten requests although they have free capacity.
BUSY_SERVERS = Fault(
    kind=FaultKind.BUSY_SERVERS, at_ms=0, for_ms=60_000, share=0.4, factor=0.9
)

HANGING_BURSTS = replace(USERS_BURSTS, failure=BurstFailure.HANG)


def service(**given):
    fields = {"name": SERVICE, "servers_a_hall": 4, "slots": 3, "work_ms": 300}
    return ModelService(**(fields | given))


def route(**given):
    fields = {
        "name": "reading-submit",
        "service": SERVICE,
        "kind": RouteKind.ONCE,
        "per_s": 20,
        "objective_ms": 1_500,
        "timeout_ms": 6_000,
        "deadline_ms": 12_000,
    }
    return ModelRoute(**(fields | given))


def experiment(**given):
    fields = {
        "name": "small",
        "halls": [DataHall("suva")],
        "entries_a_hall": 4,
        "length_ms": 5_000,
        "services": [service()],
        "routes": [route()],
    }
    return Experiment(**(fields | given))
