"""A replicated state machine: the Raft protocol, its durable log, and its driver."""

from cinderway.replication._core import Replica, Role, Timing
from cinderway.replication._messages import Membership
from cinderway.replication._node import Node, NodeCounters, NodeSettings, StateMachine
from cinderway.replication._storage import DataFolder

__all__ = [
    "DataFolder",
    "Membership",
    "Node",
    "NodeCounters",
    "NodeSettings",
    "Replica",
    "Role",
    "StateMachine",
    "Timing",
]
