"""The service catalog: a sheet of routes, and the servers that registered themselves.

Operators replace the route sheet as a whole, under a version of their own. Backend
servers announce themselves by heartbeats. Control replicates both; entries follow.
"""

from cinderway.catalog._accounts import AccountIndex, AccountRow
from cinderway.catalog._commands import (
    AnnounceReplica,
    Command,
    Deregister,
    InstallSheet,
    Register,
    Reinstate,
    decode_command,
    encode_command,
)
from cinderway.catalog._conversation import (
    CATALOG,
    NO_LOAD,
    CatalogHeartbeat,
    CatalogUpdate,
    EvidenceBatch,
    FindReplicas,
    FollowCatalog,
    HallEntries,
    ReplicaAddress,
    ReplicasAnswer,
    RetryAnswer,
    ServerLoad,
    ServerLoads,
    ServicePace,
    SubmitCommand,
    SuspectServers,
    TakeRetry,
    VerdictBatch,
    VerdictLine,
)
from cinderway.catalog._machine import CatalogMachine, Installed
from cinderway.catalog._mirror import CatalogMirror
from cinderway.catalog._registry import (
    RegisteredServer,
    Registry,
    RegistryChange,
    ServerStatus,
)
from cinderway.catalog._routes import RouteIndex, pick_service
from cinderway.catalog._sheet import (
    CallerLimits,
    RouteKind,
    RouteRow,
    RouteSheet,
    ServiceEntry,
    SplitPart,
    decode_sheet,
)

__all__ = [
    "CATALOG",
    "NO_LOAD",
    "AccountIndex",
    "AccountRow",
    "AnnounceReplica",
    "CallerLimits",
    "CatalogHeartbeat",
    "CatalogMachine",
    "CatalogMirror",
    "CatalogUpdate",
    "Command",
    "Deregister",
    "EvidenceBatch",
    "FindReplicas",
    "FollowCatalog",
    "HallEntries",
    "InstallSheet",
    "Installed",
    "Register",
    "RegisteredServer",
    "Registry",
    "RegistryChange",
    "Reinstate",
    "ReplicaAddress",
    "ReplicasAnswer",
    "RetryAnswer",
    "RouteIndex",
    "RouteKind",
    "RouteRow",
    "RouteSheet",
    "ServerLoad",
    "ServerLoads",
    "ServerStatus",
    "ServicePace",
    "ServiceEntry",
    "SplitPart",
    "SubmitCommand",
    "SuspectServers",
    "TakeRetry",
    "VerdictBatch",
    "VerdictLine",
    "decode_command",
    "decode_sheet",
    "encode_command",
    "pick_service",
]
