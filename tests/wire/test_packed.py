"""Messages that are encoded as MessagePack within their frames."""

import unittest

from hypothesis import given, strategies as st

from cinderway._errors import CinderwayError, ErrorCode
from cinderway.catalog import (
    CATALOG,
    AskAllowances,
    EvidenceBatch,
    GrantAllowances,
    GrantedAllowance,
    HeldAllowance,
    ServerLoad,
    ServerLoads,
    ServicePace,
    SuspectServers,
    VerdictBatch,
    VerdictLine,
)
from cinderway.poison import (
    EndedRun,
    RequestRuling,
    RequestRulings,
    RequestRuns,
    RequestStanding,
)

MESSAGES = (
    ServerLoads([ServerLoad("i-1", 0.5, 3), ServerLoad("i-2", -1.0)]),
    SuspectServers(["i-1"], [2_800]),
    VerdictBatch(
        [VerdictLine("lookup", "i-1", True, 0.5, "slow", 3.5)],
        [ServicePace("lookup", 1.0, 2.0, 4.0)],
    ),
    EvidenceBatch("e1", "suva", b"\x90", ["lookup"], [7]),
    AskAllowances([HeldAllowance("acme", 1, 2, 3, 4)], "10.0.0.1:7100"),
    GrantAllowances([GrantedAllowance("acme", 3, 250)], 4_000, 5_000),
)
# Fields that no earlier build sent field by field.
ADDED_SINCE = {(ServerLoads, "relays")}
# No earlier build sent these field by field.
PACKED_ONLY = (
    ServerLoads([], ["10.0.0.1:7101"]),
    RequestRuns([EndedRun(b"d" * 16, "i-1")], [b"e" * 16]),
    RequestRulings(
        [RequestRuling(b"d" * 16, RequestStanding.REFUSED, 2, 600_000, 40, ["i-1"], 1)]
    ),
)


def field_by_field(message):
    """Return the frame as builds before packed messages sent it."""
    name = type(message).__name__
    arm = name[0].lower() + name[1:]
    frame = CATALOG._frame_schema.new_message(callId=9, **{arm: _fields(message)})
    return frame.to_bytes()


def _fields(value):
    if isinstance(value, list):
        return [_fields(item) for item in value]
    if not hasattr(value, "__struct_encode_fields__"):
        return value
    names = zip(value.__struct_encode_fields__, value.__struct_fields__, strict=True)
    return {
        sent: _fields(getattr(value, name))
        for sent, name in names
        if (type(value), name) not in ADDED_SINCE
    }


class PackedMessageTests(unittest.TestCase):
    def test_messages_survive_a_round_trip(self):
        for message in MESSAGES + PACKED_ONLY:
            with self.subTest(type(message).__name__):
                found = CATALOG.decode(CATALOG.encode(message, 9), peer="test")
                self.assertEqual((found.call_id, found.message), (9, message))

    def test_frames_of_earlier_builds_are_read(self):
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                found = CATALOG.decode(field_by_field(message), peer="test")
                self.assertEqual(found.message, message)

    def test_many_loads_take_fewer_bytes_than_field_by_field(self):
        loads = [ServerLoad(f"i-{n:010x}", 0.25, n) for n in range(40)]
        message = ServerLoads(loads)
        self.assertLess(len(CATALOG.encode(message)), len(field_by_field(message)))

    @given(st.binary(max_size=80))
    def test_any_packed_bytes_are_a_message_or_a_coded_error(self, packed):
        frame = CATALOG._frame_schema.new_message(serverLoads={"packed": packed})
        try:
            CATALOG.decode(frame.to_bytes(), peer="test")
        except CinderwayError as error:
            self.assertIs(error.code, ErrorCode.FRAME_INVALID)
