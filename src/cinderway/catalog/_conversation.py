"""The messages that entries and control replicas exchange about the catalog.

An entry follows one replica, in its own data hall if there is one, and keeps a standby
connection to a second one. While nothing changes, the only traffic on each connection
is a small heartbeat that tells how old the replica's own state is.
"""

from cinderway._ids import (
    AccountName,
    Address,
    DataHall,
    EntryName,
    ServerName,
    ServiceName,
)
from cinderway.limits import TokenRequest
from cinderway.poison import RequestRulings, RequestRuns
from cinderway.pushback import FleetEntries, ServerLimits
from cinderway.wire import (
    Conversation,
    Done,
    Failure,
    Message,
    PackedMessage,
    PackedRow,
)


class ReplicaAddress(Message, frozen=True):
    """The address of a control replica and the data hall that it runs in."""

    address: Address
    data_hall: DataHall


class FindReplicas(Message, frozen=True):
    """Request the addresses of the control replicas."""


class ReplicasAnswer(Message, frozen=True):
    """Answers FindReplicas with all control replicas that announced themselves."""

    replicas: list[ReplicaAddress]


class FollowCatalog(Message, frozen=True):
    """Request the changes since a revision, and a stream of all later ones.

    `peers_address` is where other entries of the data hall can send gossip to this one.
    """

    entry: EntryName
    data_hall: DataHall
    known_revision: int
    peers_address: Address = Address("")


class StandBy(Message, frozen=True):
    """Request heartbeats only, from a replica that serves as the entry's standby.

    The entry follows another replica and may switch to this one.
    """

    entry: EntryName


class FetchCatalog(Message, frozen=True):
    """Request the changes since a revision once; the answer is a CatalogUpdate."""

    known_revision: int


class CatalogUpdate(Message, frozen=True):
    """The changes between two revisions.

    `packed_sheet` is the whole route sheet, compressed, if it changed, and empty
    otherwise. `servers` are the registered servers that changed, encoded as
    MessagePack. `gone` names the servers that were removed.
    """

    base_revision: int
    revision: int
    packed_sheet: bytes
    servers: bytes
    gone: list[ServerName]


class CatalogHeartbeat(Message, frozen=True):
    """Tells that a replica is alive and how stale its state may be.

    The replica has applied everything that a leader of the replication group had
    committed `knowledge_age_ms` ago. `entries` is how many entries follow it.
    """

    knowledge_age_ms: int
    revision: int
    entries: int


class EvidenceBatch(PackedMessage, frozen=True):
    """One entry's observations of backend servers.

    `servers` are the observations, encoded as MessagePack. `first_requests` counts, for
    each of `services`, the requests that callers sent since the last batch; a request
    counts once, however many attempts were made for it.
    """

    entry: EntryName
    data_hall: DataHall
    servers: bytes
    services: list[ServiceName]
    first_requests: list[int]


class TakeRetry(Message, frozen=True):
    """Request one retry from the budget that the entries of a data hall share.

    `after_failure` is true for a retry of a failed attempt, and false for a hedge that
    runs beside a slow attempt.
    """

    service: ServiceName
    after_failure: bool = True


class RetryAnswer(Message, frozen=True):
    """Answers TakeRetry with whether the retry may be sent.

    If it may not, `due_in_ms` says when the budget, which still grows because entries
    have joined recently, allows it; 0 if that is not known.
    """

    is_granted: bool
    due_in_ms: int = 0


class VerdictLine(PackedRow, frozen=True):
    """A replica's verdict on one server, from the observations of its entries."""

    service: ServiceName
    server: ServerName
    is_ejected: bool
    share: float
    reason: str
    score: float


class ServicePace(PackedRow, frozen=True):
    """The latency quantiles of a service, as the entries of the own data hall see it.

    `usual_ms` is the median, `slow_ms` the 90th and `late_ms` the 95th percentile.
    """

    service: ServiceName
    usual_ms: float
    slow_ms: float
    late_ms: float


class VerdictBatch(PackedMessage, frozen=True):
    """Verdicts on all servers that are not fully healthy, and the services' latencies.

    A batch is valid until the next one arrives or the connection closes.
    """

    lines: list[VerdictLine]
    paces: list[ServicePace]


class SuspectServers(PackedMessage, frozen=True):
    """Servers that have just failed a request, and for how long to avoid each.

    A server with zero in `for_ms` is no longer suspect.
    """

    servers: list[ServerName]
    for_ms: list[int]


# The `load` of a server whose load the sender does not know.
NO_LOAD = -1.0
# The `good_age_ms` of a server of which the sender knows no recent good answer.
NO_GOOD_ANSWER = -1


class ServerLoad(PackedRow, frozen=True):
    """The load of a server: running and queued requests as a fraction of its slots.

    `load` is NO_LOAD if the sender has no new report from the server. `in_flight` is
    how many requests are in flight to the server. An entry sends the number of its own
    requests. A replica sends other replicas the total of the entries that follow it,
    and sends entries the total of the whole fleet. `good_age_ms` is the time since the
    server's last good answer to the sender, or to any entry if a replica sends it;
    NO_GOOD_ANSWER if there was none lately.
    """

    server: ServerName
    load: float
    in_flight: int = 0
    good_age_ms: int = NO_GOOD_ANSWER


class ServerLoads(PackedMessage, frozen=True):
    """An entry's newest observations of the loads of servers.

    They cover servers to which the entry has just sent a request, or from which it has
    just received an answer. The replica that it follows forwards them to the other
    entries of the data hall.

    A replica also sends other replicas the addresses of entries that follow it, at
    which they relay requests; None if the message is about servers alone.
    """

    servers: list[ServerLoad]
    relays: list[Address] | None = None


class HallEntries(Message, frozen=True):
    """The addresses of other entries.

    At `addresses` the entries of a data hall receive each other's gossip, which they
    send while no control replica is reachable. At these and at `relays`, those of other
    entries of the fleet, entries relay requests for each other.
    """

    addresses: list[Address]
    relays: list[Address] = []


class HeldAllowance(PackedRow, frozen=True):
    """The tokens of one account that a holder has, and those that it requests.

    `used` counts the tokens consumed since the holder last reported, and `held` those
    that it has left. `needed` is how many tokens waiting requests need; `wanted` adds
    to these what the holder would like to keep in reserve.
    """

    account: AccountName
    used: int = 0
    held: int = 0
    needed: int = 0
    wanted: int = 0

    @classmethod
    def from_request(
        cls, account: AccountName, request: TokenRequest
    ) -> "HeldAllowance":
        """Return the row that carries a token request to a replica."""
        return cls(account, request.used, request.held, request.needed, request.wanted)

    @property
    def request(self) -> TokenRequest:
        """The token request that this row carries."""
        return TokenRequest(self.used, self.held, self.needed, self.wanted)


class AskAllowances(PackedMessage, frozen=True):
    """Reports to a replica the tokens used and held, and requests more.

    If the sender is a replica that wants to borrow tokens, `replica` is its address;
    otherwise it is empty.
    """

    lines: list[HeldAllowance]
    replica: Address = Address("")


class GrantedAllowance(PackedRow, frozen=True):
    """The number of tokens granted for one account.

    If fewer tokens than needed were granted, more may be available in `room_in_ms`.
    """

    account: AccountName
    granted: int
    room_in_ms: int


class GrantAllowances(PackedMessage, frozen=True):
    """Answers AskAllowances, with one line for each line of the request.

    All tokens that the requester holds are valid for `lease_ms`, counted from when it
    sent the request. Rate limits apply to windows of `window_ms`.
    """

    lines: list[GrantedAllowance]
    lease_ms: int
    window_ms: int


class SubmitCommand(Message, frozen=True):
    """Sent by a replica to ask the leader to replicate a command for it."""

    data: bytes


CATALOG = Conversation(
    "catalog",
    1,
    (
        FindReplicas,
        ReplicasAnswer,
        FollowCatalog,
        CatalogUpdate,
        CatalogHeartbeat,
        EvidenceBatch,
        VerdictBatch,
        SuspectServers,
        ServerLoads,
        HallEntries,
        AskAllowances,
        GrantAllowances,
        TakeRetry,
        RetryAnswer,
        StandBy,
        FetchCatalog,
        RequestRuns,
        RequestRulings,
        ServerLimits,
        FleetEntries,
        SubmitCommand,
        Done,
        Failure,
    ),
)
