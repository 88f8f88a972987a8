"""What entries and control replicas say to each other about the catalog.

An entry follows one replica, in its own data hall if there is one, and keeps a second
connection to another that stands by. Nothing is said while nothing changes, but for a
small heartbeat of each that tells how old the replica's own knowledge is.
"""

from cinderway._ids import (
    AccountName,
    Address,
    DataHall,
    EntryName,
    ServerName,
    ServiceName,
)
from cinderway.limits import TokenAsk
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
    """A control replica's address and the data hall that it stands in."""

    address: Address
    data_hall: DataHall


class FindReplicas(Message, frozen=True):
    """Ask where control replicas are."""


class ReplicasAnswer(Message, frozen=True):
    """All control replicas that announced themselves."""

    replicas: list[ReplicaAddress]


class FollowCatalog(Message, frozen=True):
    """Ask for the catalog beyond a revision, and for all changes from then on.

    `peers_address` is where the hall's other entries may tell this one their news.
    """

    entry: EntryName
    data_hall: DataHall
    known_revision: int
    peers_address: Address = Address("")


class StandBy(Message, frozen=True):
    """Ask for heartbeats only: the entry follows another replica, and may turn here."""

    entry: EntryName


class FetchCatalog(Message, frozen=True):
    """Ask once for what changed beyond a revision; the answer is a CatalogUpdate."""

    known_revision: int


class CatalogUpdate(Message, frozen=True):
    """What changed between two revisions.

    `packed_sheet` is the whole route sheet where it changed, else empty; `servers` are
    the registered servers that changed, encoded as MessagePack.
    """

    base_revision: int
    revision: int
    packed_sheet: bytes
    servers: bytes
    gone: list[ServerName]


class CatalogHeartbeat(Message, frozen=True):
    """A replica's word that it is there.

    What it hands out is at most `knowledge_age_ms` old: all that a leader of the group
    had committed then is applied here. `entries` is how many entries follow it.
    """

    knowledge_age_ms: int
    revision: int
    entries: int


class EvidenceBatch(PackedMessage, frozen=True):
    """One entry's observations of backend servers, encoded as MessagePack.

    `first_requests` counts, by service, the requests that came in since the last
    batch, each once however often it was sent.
    """

    entry: EntryName
    data_hall: DataHall
    servers: bytes
    services: list[ServiceName]
    first_requests: list[int]


class TakeRetry(Message, frozen=True):
    """Ask for one retry out of the budget that the hall's entries share.

    `after_failure` tells one after a failure from one beside an attempt that is slow.
    """

    service: ServiceName
    after_failure: bool = True


class RetryAnswer(Message, frozen=True):
    """Whether the retry may be sent."""

    is_granted: bool


class VerdictLine(PackedRow, frozen=True):
    """What a replica judges of one server from its entries' observations."""

    service: ServiceName
    server: ServerName
    is_ejected: bool
    share: float
    reason: str
    score: float


class ServicePace(PackedRow, frozen=True):
    """How long a service takes to answer, as the own hall's entries see it.

    Half of the answers come within `usual_ms`, nine tenths within `slow_ms`, and 19 of
    20 within `late_ms`.
    """

    service: ServiceName
    usual_ms: float
    slow_ms: float
    late_ms: float


class VerdictBatch(PackedMessage, frozen=True):
    """All servers that are not plainly healthy, and how long services take.

    It holds until the next batch or until the conversation ends.
    """

    lines: list[VerdictLine]
    paces: list[ServicePace]


class SuspectServers(PackedMessage, frozen=True):
    """Servers that have just failed a request, and for how long to avoid each.

    With no time left, a server is suspect no longer.
    """

    servers: list[ServerName]
    for_ms: list[int]


# Stands for a load that the teller does not know.
NO_LOAD = -1.0


class ServerLoad(PackedRow, frozen=True):
    """How full a server is, as a share of its slots, requests that wait included.

    `load` is NO_LOAD where the teller has heard nothing new from the server.
    `in_flight` is how many requests are under way there as far as the teller knows: an
    entry tells its own, a replica tells replicas those of the entries that follow it,
    and entries those of the whole fleet.
    """

    server: ServerName
    load: float
    in_flight: int = 0


class ServerLoads(PackedMessage, frozen=True):
    """What an entry has just come to know of servers' loads.

    It tells of servers that it has just sent a request to or had an answer from; its
    replica passes that on to the other entries of the hall.
    """

    servers: list[ServerLoad]


class HallEntries(Message, frozen=True):
    """Where the entries of the hall hear each other while control is away."""

    addresses: list[Address]


class HeldAllowance(PackedRow, frozen=True):
    """What a holder has of one account's tokens, and what it would like.

    `used` counts those used since it last said so; `needed` are for requests that wait,
    `wanted` these and what it would save up.
    """

    account: AccountName
    used: int = 0
    held: int = 0
    needed: int = 0
    wanted: int = 0

    @classmethod
    def of(cls, account: AccountName, ask: TokenAsk) -> "HeldAllowance":
        """Return the line that brings an ask to a replica."""
        return cls(account, ask.used, ask.held, ask.needed, ask.wanted)

    @property
    def ask(self) -> TokenAsk:
        """The ask that `of` made this line from."""
        return TokenAsk(self.used, self.held, self.needed, self.wanted)


class AskAllowances(PackedMessage, frozen=True):
    """Tell a replica of tokens used and held, and ask for more.

    `replica` is the address of the one that asks, if a replica would borrow.
    """

    lines: list[HeldAllowance]
    replica: Address = Address("")


class GrantedAllowance(PackedRow, frozen=True):
    """How many tokens of one account were added.

    Where these are fewer than needed, `room_in_ms` says when there may be more.
    """

    account: AccountName
    granted: int
    room_in_ms: int


class GrantAllowances(PackedMessage, frozen=True):
    """A replica's answer to AskAllowances, line by line.

    All that is held may be used for `lease_ms` from when the asker asked. Limits count
    in spans of `window_ms`.
    """

    lines: list[GrantedAllowance]
    lease_ms: int
    window_ms: int


class SubmitCommand(Message, frozen=True):
    """One replica asks the leader to replicate a command for it."""

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
