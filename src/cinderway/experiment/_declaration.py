"""What an experiment is: halls, services, routes and faults, from one TOML file."""

from enum import Enum
from pathlib import Path

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import DataHall, ServiceName
from cinderway.catalog import RouteKind


class _Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all tables; a field that nobody knows is an error."""


class BurstFailure(Enum):
    """What a server does with the requests that fail in a burst."""

    ERROR = "error"
    HANG = "hang"
    RESET = "reset"
    # Turns them away and asks for rest.
    BUSY = "busy"


class Bursts(_Table):
    """Each server fails in bursts while its health check is good.

    A burst lasts `length_ms` on the mean and begins every `every_ms`; in it, a
    `fail_share` of the requests fails.
    """

    length_ms: float
    every_ms: float
    fail_share: float
    failure: BurstFailure = BurstFailure.ERROR


class ModelService(_Table):
    """A service and its backend servers, `servers_a_hall` in each hall.

    Work takes `work_ms` on the mean, spread log-normally. A server runs `slots`
    requests at once, lets `queue` wait and sheds the rest. Beyond its bursts it fails
    an `error_share` of what it has run.
    """

    name: ServiceName
    servers_a_hall: int
    slots: int
    work_ms: float
    work_spread: float = 0.5
    queue: int = 12
    error_share: float = 0.0
    # What a server asks for when it turns a request away; 0 where it does not.
    rest_ms: int = 0
    bursts: Bursts | None = None


class ModelRoute(_Table):
    """A route and the callers' requests for it, `per_s` in all halls together.

    An answer within the objective is worth `worth`, a later one `late_worth`. Callers
    that are refused come back `retries` times, when they are told to.
    """

    name: str
    service: ServiceName
    kind: RouteKind
    per_s: float
    objective_ms: int
    timeout_ms: int
    deadline_ms: int
    worth: float = 1.0
    late_worth: float = 0.5
    answer_bytes: int = 400
    server_limit: int = 2
    priority: int = 1
    retries: int = 0
    # How many different requests callers send; 0 where no two are the same.
    distinct: int = 0


class PoisonRequest(_Table):
    """A request that ends each backend server which begins to run it.

    The same request comes every `every_ms` from `at_ms` to `until_ms`, at any entry. A
    server ends `ends_after_ms` into its run, with all that it has under way, and is
    back after `down_ms`.
    """

    route: str
    at_ms: int
    until_ms: int
    every_ms: int
    ends_after_ms: int = 80
    down_ms: int = 3_000


class FaultKind(Enum):
    """What goes wrong, and with what."""

    # Entries lose power; what they had sent to servers runs on there.
    POWER_LOSS = "power-loss"
    # Servers say nothing any more, and nobody tells.
    DARK_SERVERS = "dark-servers"
    # Servers take `factor` times as long.
    SLOW_SERVERS = "slow-servers"
    # Servers turn `factor` of their requests away, and ask for rest.
    BUSY_SERVERS = "busy-servers"
    # Servers name a limit of `factor` requests a second from all entries together.
    LIMITED_SERVERS = "limited-servers"
    # Callers send `factor` times as many requests.
    SURGE = "surge"


class Fault(_Table):
    """One fault: a `share` of what it strikes, for a while."""

    kind: FaultKind
    at_ms: int
    for_ms: int
    share: float = 1.0
    factor: float = 1.0
    service: ServiceName | None = None


class Experiment(_Table):
    """A whole experiment. Entries are the same number in each hall."""

    name: str
    halls: list[DataHall]
    entries_a_hall: int
    length_ms: int
    services: list[ModelService]
    routes: list[ModelRoute]
    faults: list[Fault] = []
    poison: list[PoisonRequest] = []
    # One way. Source of the values that are left out: the users' data halls.
    own_hall_ms: float = 0.2
    other_hall_ms: float = 1.4
    caller_ms: float = 3.0
    # Load rises and falls by `swing` around its mean every `swing_every_ms`.
    swing: float = 0.0
    swing_every_ms: float = 11_000.0
    retry_percent: int = 18
    retry_burst: float = 1.45


def read_experiment(path: Path) -> Experiment:
    """Return the checked experiment of a TOML file.

    Raises CinderwayError with SETTING_INVALID that says what was given and allowed.
    """
    try:
        found = msgspec.toml.decode(path.read_bytes(), type=Experiment)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid(f"{path}: {error}") from error
    _check(found)
    return found


def _check(experiment: Experiment) -> None:
    services = {service.name for service in experiment.services}
    named = [("route", route.name, route.service) for route in experiment.routes]
    named += [("fault", f.kind.value, f.service) for f in experiment.faults]
    for what, name, service in named:
        if service is not None and service not in services:
            allowed = ", ".join(sorted(services))
            raise _invalid(f"{what} {name}: service {service!r}; allowed: {allowed}")
    routes = {route.name for route in experiment.routes}
    for poison in experiment.poison:
        if poison.route not in routes:
            allowed = ", ".join(sorted(routes))
            raise _invalid(f"poison.route: given {poison.route!r}; allowed: {allowed}")
    shares = [("faults.share", fault.share) for fault in experiment.faults]
    shares += [("error_share", s.error_share) for s in experiment.services]
    bursts = [s.bursts for s in experiment.services if s.bursts]
    shares += [("bursts.fail_share", b.fail_share) for b in bursts]
    for name, share in shares:
        if not 0 <= share <= 1:
            raise _invalid(f"{name}: given {share}; allowed: 0 to 1")
    for burst in bursts:
        if not 0 < burst.length_ms < burst.every_ms:
            raise _invalid(
                f"bursts.length_ms: given {burst.length_ms}; allowed: above 0 and "
                f"below every_ms, {burst.every_ms}"
            )
    counts = [("entries_a_hall", experiment.entries_a_hall)]
    counts += [("length_ms", experiment.length_ms), ("halls", len(experiment.halls))]
    counts += [("servers_a_hall", s.servers_a_hall) for s in experiment.services]
    counts += [("slots", s.slots) for s in experiment.services]
    for name, count in counts:
        if count < 1:
            raise _invalid(f"{name}: given {count}; allowed: 1 and above")


def _invalid(detail: str) -> CinderwayError:
    return CinderwayError(ErrorCode.SETTING_INVALID, detail, step=Step.START)
