"""Identifiers. Each is a distinct type, so that one cannot stand for another."""

from typing import NewType

ReplicaId = NewType("ReplicaId", int)
EntryName = NewType("EntryName", str)
ServiceName = NewType("ServiceName", str)
ServerName = NewType("ServerName", str)
DataHall = NewType("DataHall", str)
EditId = NewType("EditId", str)
AttemptId = NewType("AttemptId", str)
CallerName = NewType("CallerName", str)
AccountName = NewType("AccountName", str)
ApiKey = NewType("ApiKey", str)
Address = NewType("Address", str)
# Of what repeats of one request share: keyed, 16 bytes.
RequestDigest = NewType("RequestDigest", bytes)

NO_REPLICA = ReplicaId(0)
