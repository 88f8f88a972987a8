"""The wire protocol between cinderway's own processes: framed and authenticated.

A conversation is one protocol: a Cap'n Proto schema and its message types. Frames are
length-prefixed and limited in size; both sides prove that they hold the shared key
before any message is read.
"""

from cinderway.wire._codec import (
    Conversation,
    Envelope,
    Message,
    PackedMessage,
    PackedRow,
)
from cinderway.wire._connection import (
    Connection,
    Identity,
    connect,
    split_address,
    traffic,
)
from cinderway.wire._failure import Done, Failure, failure_from
from cinderway.wire._group import GroupClient
from cinderway.wire._rpc import RpcClient, call_once, serve_calls
from cinderway.wire._server import Route, serve_connections

__all__ = [
    "Connection",
    "Conversation",
    "Done",
    "Envelope",
    "Failure",
    "GroupClient",
    "Identity",
    "Message",
    "PackedMessage",
    "PackedRow",
    "Route",
    "RpcClient",
    "call_once",
    "connect",
    "failure_from",
    "serve_calls",
    "serve_connections",
    "split_address",
    "traffic",
]
