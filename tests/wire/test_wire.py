"""Framing, the handshake and calls, over real loopback connections."""

import socket
import unittest

import anyio
from anyio.abc import SocketAttribute
from hypothesis import given, strategies as st

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.replication._messages import REPLICATION, Snapshot, SnapshotRequest
from cinderway.table import TABLE, ReadStatus, ReadTable
from cinderway.wire import (
    Conversation,
    Done,
    Identity,
    Route,
    call_once,
    connect,
    serve_calls,
    serve_connections,
)
from cinderway.wire._connection import (
    LENGTH_BYTES,
    UNACKNOWLEDGED_TIMEOUT_MS,
    Hello,
    Proof,
    Refusal,
    _FrameStream,
)

KEY = b"a-key-of-the-fleet"
SERVER = Identity("control", KEY)
TIMEOUT_S = 5.0


async def answer(name, request):
    return Done()


async def serve(connection, name):
    await serve_calls(connection, name, answer)


def with_server(use, serve=serve):
    """Run `use(address)` against a server; return its result or raise its error."""
    outcome = {}

    async def run():
        async with anyio.create_task_group() as tasks:
            routes = (Route(TABLE, serve),)
            address = await tasks.start(
                serve_connections, "127.0.0.1:0", routes, SERVER
            )
            try:
                outcome["value"] = await use(address)
            except CinderwayError as error:
                outcome["error"] = error
            tasks.cancel_scope.cancel()

    anyio.run(run)
    if "error" in outcome:
        raise outcome["error"]
    return outcome["value"]


class WireTest(unittest.TestCase):
    def assert_code(self, code, use):
        with self.assertRaises(CinderwayError) as caught:
            with_server(use)
        self.assertIs(caught.exception.code, code)
        self.assertTrue(caught.exception.peer)
        return caught.exception

    def test_call_is_answered(self):
        async def use(address):
            return await call_once(address, TABLE, SERVER, ReadTable(), TIMEOUT_S)

        self.assertEqual(with_server(use), Done())

    def test_both_sides_time_out_on_a_peer_that_acknowledges_nothing(self):
        timeouts_ms = []

        def record_timeout(connection):
            raw = connection._frames.stream.extra(SocketAttribute.raw_socket)
            timeouts_ms.append(
                raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            )

        async def record_and_serve(connection, name):
            record_timeout(connection)
            await serve(connection, name)

        async def use(address):
            connection = await connect(address, TABLE, SERVER)
            record_timeout(connection)
            await connection.send(ReadTable(), 1)
            await connection.receive()
            await connection.aclose()

        with_server(use, record_and_serve)
        self.assertEqual(timeouts_ms, [UNACKNOWLEDGED_TIMEOUT_MS] * 2)

    def test_a_receiver_cancelled_within_a_frame_loses_nothing(self):
        payload = TABLE.encode(ReadTable(), 7)
        frame = len(payload).to_bytes(LENGTH_BYTES, "big") + payload
        rest_may_be_sent = anyio.Event()

        async def send_in_pieces(connection, name):
            stream = connection._frames.stream
            await stream.send(frame[: LENGTH_BYTES + 3])
            await rest_may_be_sent.wait()
            await stream.send(frame[LENGTH_BYTES + 3 :])
            await serve(connection, name)

        async def use(address):
            connection = await connect(address, TABLE, SERVER)
            while not connection.is_receiving:
                with anyio.move_on_after(0.05):
                    await connection.receive()
            rest_may_be_sent.set()
            with anyio.fail_after(TIMEOUT_S):
                envelope = await connection.receive()
            await connection.aclose()
            return envelope.call_id, envelope.message

        self.assertEqual(with_server(use, send_in_pieces), (7, ReadTable()))

    def test_without_the_shared_key_nothing_is_accepted(self):
        async def use(address):
            stranger = Identity("control", b"another-key-entirely")
            return await call_once(address, TABLE, stranger, ReadTable(), TIMEOUT_S)

        self.assert_code(ErrorCode.AUTHENTICATION_FAILED, use)

    def test_client_that_skips_its_proof_is_not_served(self):
        async def use(address):
            host, port = address.split(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                payload = TABLE.encode(ReadStatus(), 1)
                await stream.send(len(payload).to_bytes(4, "big") + payload)
                with self.assertRaises(anyio.EndOfStream):
                    await stream.receive()

        with_server(use)

    def test_client_that_does_not_hold_the_key_is_refused_by_the_server(self):
        async def use(address):
            host, port = address.split(":")
            stream = await anyio.connect_tcp(host, int(port))
            frames = _FrameStream(stream, address)
            await frames.send_hello(Hello("table", 1, "stranger", b"n" * 32))
            await frames.receive_hello()
            await frames.send_hello(Proof(b"guess" * 6))
            answer = await frames.receive_hello()
            await anyio.aclose_forcefully(stream)
            return answer

        refusal = with_server(use)
        self.assertIsInstance(refusal, Refusal)
        self.assertIs(refusal.code, ErrorCode.AUTHENTICATION_FAILED)

    def test_other_version_is_refused_with_the_supported_ones(self):
        async def use(address):
            newer = Conversation("table", 9, ())
            return await connect(address, newer, SERVER)

        error = self.assert_code(ErrorCode.VERSION_MISMATCH, use)
        self.assertIn("table 1", error.detail)

    def test_frame_that_cannot_be_decoded_ends_that_connection_only(self):
        async def use(address):
            connection = await connect(address, TABLE, SERVER)
            await connection._frames.send(b"\xff" * 64)
            with self.assertRaises(CinderwayError):
                await connection.receive()
            return await call_once(address, TABLE, SERVER, ReadTable(), TIMEOUT_S)

        self.assertEqual(with_server(use), Done())

    def test_an_unexpected_error_ends_that_connection_only(self):
        async def fail_once(connection, name):
            if name == "odd":
                raise ValueError("what no message should hold")
            await serve(connection, name)

        async def use(address):
            odd = await connect(address, TABLE, Identity("odd", KEY))
            with self.assertRaises(CinderwayError):
                await odd.receive()
            return await call_once(address, TABLE, SERVER, ReadTable(), TIMEOUT_S)

        with self.assertLogs("cinderway", "ERROR"):
            self.assertEqual(with_server(use, fail_once), Done())

    def test_unreachable_peer_is_named(self):
        async def use(address):
            return await connect("127.0.0.1:1", TABLE, SERVER)

        error = self.assert_code(ErrorCode.PEER_UNREACHABLE, use)
        self.assertEqual((error.peer, error.step), ("127.0.0.1:1", Step.CONNECT))


class CodecTest(unittest.TestCase):
    def test_snapshot_of_a_large_ledger_fits_a_frame(self):
        snapshot = Snapshot(9, 1, b"", b"x" * 40_000_000)
        request = SnapshotRequest(1, 2, 1, snapshot, "10.0.0.1:1")
        decoded = REPLICATION.decode(REPLICATION.encode(request), peer="test")
        self.assertEqual(decoded.message, request)

    @given(st.binary(max_size=400))
    def test_any_bytes_are_a_message_or_a_coded_error(self, payload):
        try:
            TABLE.decode(payload, peer="test")
        except CinderwayError as error:
            self.assertIs(error.code, ErrorCode.FRAME_INVALID)

    @given(st.binary(min_size=1, max_size=8), st.integers(0, 200))
    def test_damaged_message_is_a_message_or_a_coded_error(self, junk, position):
        payload = bytearray(TABLE.encode(ReadStatus(), 7) * 4)
        payload[position % len(payload)] ^= junk[0]
        try:
            TABLE.decode(bytes(payload), peer="test")
        except CinderwayError as error:
            self.assertIs(error.code, ErrorCode.FRAME_INVALID)
