"""Identifiers. Each has its own type, so that the type checker finds mix-ups."""

from typing import NewType

ReplicaId = NewType("ReplicaId", int)
EntryName = NewType("EntryName", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
ServerName = NewType("ServerName", str)
DataHall = NewType("DataHall", str)
EditId = NewType("EditId", str)
AttemptId = NewType("AttemptId", str)
CallerName = NewType("CallerName", str)
AccountName = NewType("AccountName", str)
ApiKey = NewType("ApiKey", str)
Address = NewType("Address", str)
# Keyed 16-byte digest over the parts of a request that are equal in its repetitions.
RequestDigest = NewType("RequestDigest", bytes)

NO_REPLICA = ReplicaId(0)
