"""Declaration of an experiment in TOML: halls, services, routes and faults."""

from enum import Enum
from pathlib import Path

import msgspec
from msgspec.structs import replace

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import DataHall, ServiceName
from cinderway.catalog import RouteKind
from cinderway.catalog._sheet import DEFAULT_CONNECTION_LIMIT


class _Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of all TOML tables; unknown fields are errors."""


class BurstFailure(Enum):
    """How a server fails requests during a burst of failures."""

    ERROR = "error"
    HANG = "hang"
    RESET = "reset"
    # Rejects them with 503, and with Retry-After where the service has `rest_ms`.
    BUSY = "busy"


class Bursts(_Table):
    """Bursts of failures on each server, which its health check does not show.

    A burst lasts `length_ms` on average and one begins every `every_ms` on average;
    during a burst, the share `fail_share` of the requests fails.
    """

    length_ms: float
    every_ms: float
    fail_share: float
    failure: BurstFailure = BurstFailure.ERROR


class IdleClose(_Table):
    """When servers close idle connections, whatever they announce.

    The share `share` of a service's servers closes a connection after it was idle for
    `after_ms`, log-normally distributed with `spread` as the standard deviation of its
    logarithm; 0: always after that time. Requests that arrive up to `unread_ms` before
    the close are not read any more, and no entry can tell.
    """

    after_ms: float
    spread: float = 0.0
    share: float = 1.0
    unread_ms: float = 0.0


class ConnectionPolicy(Enum):
    """Which requests use kept connections, to compare ways on the same seeds."""

    # What entries do.
    RULE = "rule"
    # Requests that run at most once always open a connection, and connected servers are
    # not preferred.
    NEW = "new"
    # All requests use any kept connection.
    KEPT = "kept"


class CutOffPolicy(Enum):
    """What entries do that are cut off from servers, to compare ways on the same seeds.

    An entry that is not ready gets no requests while half of its hall's entries are.
    """

    # What entries do.
    RELAY = "relay"
    REFUSE = "refuse"
    NOT_READY = "not-ready"
    RELAY_NOT_READY = "relay-not-ready"

    @property
    def relays(self) -> bool:
        """Whether entries relay requests for each other."""
        return self in (CutOffPolicy.RELAY, CutOffPolicy.RELAY_NOT_READY)

    @property
    def withdraws(self) -> bool:
        """Whether an entry that is cut off says that it is not ready."""
        return self in (CutOffPolicy.NOT_READY, CutOffPolicy.RELAY_NOT_READY)


class ModelService(_Table):
    """A service with `servers_a_hall` backend servers in each data hall.

    The work of a request takes `work_ms` on average, log-normally distributed with
    `work_spread` as the standard deviation of its logarithm. A server runs up to
    `slots` requests concurrently, queues up to `queue` more and rejects the rest.
    Besides the failures in bursts, a share `error_share` of the requests run fails.
    """

    name: ServiceName
    servers_a_hall: int
    slots: int
    work_ms: float
    work_spread: float = 0.5
    queue: int = 12
    error_share: float = 0.0
    # Retry-After of a server that rejects a request; 0: it sends no such header.
    rest_ms: int = 0
    bursts: Bursts | None = None
    # Idle timeout that answers announce; 0: none.
    keep_alive_s: int = 0
    idle_close: IdleClose | None = None
    # Time that a server needs to accept a connection, beyond the round trip.
    accept_ms: float = 0.0
    connection_limit: int = DEFAULT_CONNECTION_LIMIT


class ModelRoute(_Table):
    """A route and its load: `per_s` requests a second over all data halls.

    An answer within the objective is worth `worth`, a later one `late_worth`. A caller
    whose request is refused retries it up to `retries` times, each after the time that
    the answer's Retry-After header asks for, or at once without one. `work_ms` and
    `work_spread`, if given, replace those of the service: routes of different work can
    share a service.
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
    # How many different requests callers send; 0: each one is unique.
    distinct: int = 0
    work_ms: float | None = None
    work_spread: float | None = None


class PoisonRequest(_Table):
    """A request that crashes each backend server which starts to run it.

    The same request is sent every `every_ms` from `at_ms` to `until_ms`, each time to
    a random entry. The server crashes `ends_after_ms` after it started to run it, with
    all other requests in progress, and is up again after `down_ms`.
    """

    route: str
    at_ms: int
    until_ms: int
    every_ms: int
    ends_after_ms: int = 80
    down_ms: int = 3_000


class FaultKind(Enum):
    """What fails, and how."""

    # Entries lose power; servers keep running the requests that they had sent.
    POWER_LOSS = "power-loss"
    # Servers stop responding without closing connections; no one is notified.
    DARK_SERVERS = "dark-servers"
    # Servers take `factor` times as long.
    SLOW_SERVERS = "slow-servers"
    # Servers reject the share `factor` of their requests, with Retry-After where the
    # service has `rest_ms`.
    BUSY_SERVERS = "busy-servers"
    # Servers advertise a limit of `factor` requests a second for all entries together.
    LIMITED_SERVERS = "limited-servers"
    # Callers send `factor` times as many requests.
    SURGE = "surge"
    # Entries lose their paths to servers, and keep those to callers, to their control
    # replica and to each other.
    CUT_OFF_ENTRIES = "cut-off-entries"


class CutMode(Enum):
    """What happens to an entry's connections to servers while it is cut off."""

    # Nothing arrives on open ones, and new ones time out.
    HANG = "hang"
    # Open ones are reset, and new ones refused.
    RESET = "reset"
    # Open ones go on, and new ones are refused.
    REFUSE_NEW = "refuse-new"


class Fault(_Table):
    """A fault from `at_ms` on, for `for_ms`.

    It affects the share `share` of the entries or servers, of one service only if
    `service` is given, and entries of one data hall only if `hall` is given. A surge
    affects all callers.
    """

    kind: FaultKind
    at_ms: int
    for_ms: int
    share: float = 1.0
    factor: float = 1.0
    service: ServiceName | None = None
    hall: DataHall | None = None
    cut: CutMode = CutMode.HANG


class Experiment(_Table):
    """A whole experiment, with the same number of entries in each data hall."""

    name: str
    halls: list[DataHall]
    entries_a_hall: int
    length_ms: int
    services: list[ModelService]
    routes: list[ModelRoute]
    faults: list[Fault] = []
    poison: list[PoisonRequest] = []
    # One-way network latencies. The defaults come from the users' data halls.
    own_hall_ms: float = 0.2
    other_hall_ms: float = 1.4
    caller_ms: float = 3.0
    # Added to the latency of the loads that entries report to their replica.
    loads_late_ms: float = 0.0
    # Load rises and falls by `swing` around its mean every `swing_every_ms`.
    swing: float = 0.0
    swing_every_ms: float = 11_000.0
    retry_percent: int = 18
    retry_burst: float = 1.45
    connections: ConnectionPolicy = ConnectionPolicy.RULE
    # Whether entries can tell that a connection was closed before the server read the
    # request.
    proves_unread_closes: bool = False
    cut_off: CutOffPolicy = CutOffPolicy.RELAY


def scale_load(experiment: Experiment, factor: float) -> Experiment:
    """Return the experiment with all routes' requests a second times a factor."""
    routes = [replace(r, per_s=r.per_s * factor) for r in experiment.routes]
    return replace(experiment, routes=routes)


def read_experiment(path: Path) -> Experiment:
    """Read an experiment from a TOML file and validate it.

    Raises CinderwayError with SETTING_INVALID, which names the invalid and the allowed
    values.
    """
    try:
        experiment = msgspec.toml.decode(path.read_bytes(), type=Experiment)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid_setting(f"{path}: {error}") from error
    _validate(experiment)
    return experiment


def _validate(experiment: Experiment) -> None:
    services = {service.name for service in experiment.services}
    references = [("route", route.name, route.service) for route in experiment.routes]
    references += [("fault", f.kind.value, f.service) for f in experiment.faults]
    for fault in experiment.faults:
        if fault.hall is not None and fault.hall not in experiment.halls:
            allowed = ", ".join(experiment.halls)
            raise _invalid_setting(
                f"fault {fault.kind.value}: hall {fault.hall!r}; allowed: {allowed}"
            )
    for what, name, service in references:
        if service is not None and service not in services:
            allowed = ", ".join(sorted(services))
            raise _invalid_setting(
                f"{what} {name}: service {service!r}; allowed: {allowed}"
            )
    routes = {route.name for route in experiment.routes}
    for poison in experiment.poison:
        if poison.route not in routes:
            allowed = ", ".join(sorted(routes))
            raise _invalid_setting(
                f"poison.route: given {poison.route!r}; allowed: {allowed}"
            )
    shares = [("faults.share", fault.share) for fault in experiment.faults]
    shares += [("error_share", s.error_share) for s in experiment.services]
    bursts = [s.bursts for s in experiment.services if s.bursts]
    shares += [("bursts.fail_share", b.fail_share) for b in bursts]
    closes = [s.idle_close for s in experiment.services if s.idle_close]
    shares += [("idle_close.share", close.share) for close in closes]
    for name, share in shares:
        if not 0 <= share <= 1:
            raise _invalid_setting(f"{name}: given {share}; allowed: 0 to 1")
    for burst in bursts:
        if not 0 < burst.length_ms < burst.every_ms:
            raise _invalid_setting(
                f"bursts.length_ms: given {burst.length_ms}; allowed: above 0 and "
                f"below every_ms, {burst.every_ms}"
            )
    for close in closes:
        if close.after_ms <= 0:
            raise _invalid_setting(
                f"idle_close.after_ms: given {close.after_ms}; allowed: above 0"
            )
    counts = [("entries_a_hall", experiment.entries_a_hall)]
    counts += [("length_ms", experiment.length_ms), ("halls", len(experiment.halls))]
    counts += [("servers_a_hall", s.servers_a_hall) for s in experiment.services]
    counts += [("slots", s.slots) for s in experiment.services]
    times = [(f"{r.name}.work_ms", r.work_ms) for r in experiment.routes]
    times += [(f"{s.name}.work_ms", s.work_ms) for s in experiment.services]
    for name, time_ms in times:
        if time_ms is not None and not time_ms > 0:
            raise _invalid_setting(f"{name}: given {time_ms}; allowed: above 0")
    for name, count in counts:
        if count < 1:
            raise _invalid_setting(f"{name}: given {count}; allowed: 1 and above")


def _invalid_setting(detail: str) -> CinderwayError:
    return CinderwayError(ErrorCode.SETTING_INVALID, detail, step=Step.START)
