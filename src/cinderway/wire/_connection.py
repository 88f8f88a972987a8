"""One authenticated, framed TCP connection between two cinderway processes."""

import hmac
import secrets
import socket
from collections.abc import Sequence
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._raw_socket import find_raw_socket, set_option
from cinderway.wire._codec import Conversation, Envelope, Message

LENGTH_BYTES = 4
# The limit for authenticated peers; it leaves room for the snapshot of a ledger, which
# is sent as one frame.
FRAME_LIMIT_BYTES = 256 * 1024 * 1024
HELLO_FRAME_LIMIT_BYTES = 4096
# Bytes per read: several small messages that arrived together, or part of a large one.
CHUNK_BYTES = 65_536
HELLO_TIMEOUT_S = 1.0
# A peer that has lost power sends nothing, and TCP would retransmit at growing
# intervals: the connection would still look open long after the peer is back. The
# timeout leaves room for several round trips and a few lost packets.
UNACKNOWLEDGED_TIMEOUT_MS = 1_000
NONCE_BYTES = 32
CLIENT_PROOF = b"client"
SERVER_PROOF = b"server"


class Hello(Message, frozen=True):
    """First frame of the connecting side: its name and the conversation it wants."""

    conversation: str
    version: int
    name: str
    nonce: bytes


class Challenge(Message, frozen=True):
    """The accepting side's answer: its own proof, and a nonce for the peer's proof."""

    name: str
    nonce: bytes
    proof: bytes


class Proof(Message, frozen=True):
    """The connecting side's proof that it holds the shared key."""

    proof: bytes


class Welcome(Message, frozen=True):
    """The accepting side accepts the connection."""


class Refusal(Message, frozen=True):
    """The accepting side rejects the connection, with the reason."""

    code: ErrorCode
    detail: str


HELLO = Conversation("hello", 1, (Hello, Challenge, Proof, Welcome, Refusal))


@dataclass(frozen=True)
class Identity:
    """The name of a process and the key that it shares with the fleet."""

    name: str
    shared_key: bytes


def set_unacknowledged_timeout(stream: SocketStream) -> None:
    """Make a connection fail if sent data stays unacknowledged for too long."""
    raw, level = find_raw_socket(stream), socket.IPPROTO_TCP
    set_option(raw, level, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


class Connection:
    """Sends and receives messages of one conversation with one peer."""

    def __init__(self, stream: SocketStream, conversation: Conversation, peer: str):
        self.peer = peer
        self.conversation = conversation
        self._frames = _FrameStream(stream, peer)

    async def send(self, message: Message, call_id: int = 0) -> None:
        """Send one message; frames of concurrent senders are never interleaved."""
        await self.send_encoded([self.conversation.encode(message, call_id)])

    async def send_encoded(self, payloads: Sequence[bytes]) -> None:
        """Send messages that are already encoded, in one write.

        For messages that go to many peers alike: encoding costs more than sending.
        """
        await self._frames.send(*payloads)

    async def receive(self) -> Envelope:
        """Return the next message; raises CinderwayError if it cannot be decoded.

        Cancelling loses no data: the next call continues where this one stopped.
        """
        payload = await self._frames.receive(FRAME_LIMIT_BYTES)
        return self.conversation.decode(payload, peer=self.peer)

    @property
    def is_receiving(self) -> bool:
        """Whether received data, such as part of a message, is still to be returned."""
        return self._frames.is_receiving

    def limit_send_buffer(self, size_bytes: int) -> None:
        """Limit how much of what is sent may wait in front of other connections."""
        raw = find_raw_socket(self._frames.stream)
        set_option(raw, socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes)

    async def aclose(self) -> None:
        """Close the connection without waiting for the peer."""
        await anyio.aclose_forcefully(self._frames.stream)


@dataclass
class Traffic:
    """Bytes of all frames that this process has sent and received."""

    sent_bytes: int = 0
    received_bytes: int = 0


traffic = Traffic()


class _FrameStream:
    def __init__(self, stream: SocketStream, peer: str):
        self.stream = stream
        self.peer = peer
        # Uncontended sends do not yield to the event loop first.
        self._send_lock = anyio.Lock(fast_acquire=True)
        # Received bytes that are not yet returned. A cancelled receive removes none of
        # them, so the next one continues.
        self._buffer = bytearray()

    @property
    def is_receiving(self) -> bool:
        return bool(self._buffer)

    async def send(self, *payloads: bytes) -> None:
        data = b"".join(self._encode_frame(payload) for payload in payloads)
        try:
            async with self._send_lock:
                await self.stream.send(data)
            traffic.sent_bytes += len(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise self._error(
                ErrorCode.PEER_UNREACHABLE, "the connection broke", Step.SEND
            ) from error

    def _encode_frame(self, payload: bytes) -> bytes:
        if len(payload) > FRAME_LIMIT_BYTES:
            raise self._error(
                ErrorCode.FRAME_INVALID,
                f"frame of {len(payload)} bytes exceeds {FRAME_LIMIT_BYTES} bytes",
                Step.SEND,
            )
        return len(payload).to_bytes(LENGTH_BYTES, "big") + payload

    async def receive(self, limit_bytes: int) -> bytes:
        """Return the next payload; frames that arrive together take one read."""
        while True:
            payload = self._pop_frame(limit_bytes)
            if payload is not None:
                traffic.received_bytes += LENGTH_BYTES + len(payload)
                return payload
            try:
                self._buffer += await self.stream.receive(CHUNK_BYTES)
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                anyio.EndOfStream,
                OSError,
            ) as error:
                raise self._error(
                    ErrorCode.PEER_UNREACHABLE, "the connection ended", Step.RECEIVE
                ) from error

    def _pop_frame(self, limit_bytes: int) -> bytes | None:
        """Remove the first frame from the buffer; None if it is not complete yet."""
        if len(self._buffer) < LENGTH_BYTES:
            return None
        end = LENGTH_BYTES + int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if end - LENGTH_BYTES > limit_bytes:
            raise self._error(
                ErrorCode.FRAME_INVALID,
                f"frame of {end - LENGTH_BYTES} bytes exceeds {limit_bytes} bytes",
                Step.RECEIVE,
            )
        if len(self._buffer) < end:
            return None
        payload = bytes(memoryview(self._buffer)[LENGTH_BYTES:end])
        del self._buffer[:end]
        return payload

    async def send_hello(self, message: Message) -> None:
        await self.send(HELLO.encode(message))

    async def receive_hello(self) -> Message:
        payload = await self.receive(HELLO_FRAME_LIMIT_BYTES)
        return HELLO.decode(payload, peer=self.peer).message

    def _error(self, code: ErrorCode, detail: str, step: Step) -> CinderwayError:
        return CinderwayError(code, detail, step=step, peer=self.peer)


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`, where the host is an IP address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _compute_proof(key: bytes, side: bytes, hello: Hello, server_nonce: bytes) -> bytes:
    # The MAC covers both nonces and the whole hello, so that a proof can neither be
    # replayed on another connection nor reused for another conversation or name.
    text = [side, hello.conversation.encode(), str(hello.version).encode()]
    text += [hello.name.encode(), hello.nonce, server_nonce]
    return hmac.digest(key, b"\0".join(text), "sha256")


async def connect(
    address: str,
    conversation: Conversation,
    identity: Identity,
    step_timeout_s: float = HELLO_TIMEOUT_S,
) -> Connection:
    """Open a connection; raises CinderwayError with the step that failed.

    `step_timeout_s` limits the TCP connect and the handshake separately.
    """
    host, port = split_address(address)
    try:
        with anyio.fail_after(step_timeout_s):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        raise CinderwayError(
            ErrorCode.PEER_UNREACHABLE,
            f"cannot connect: {error or 'timed out'}",
            step=Step.CONNECT,
            peer=address,
        ) from error
    set_unacknowledged_timeout(stream)
    try:
        with anyio.fail_after(step_timeout_s):
            return await _authenticate(stream, address, conversation, identity)
    except BaseException as error:
        await anyio.aclose_forcefully(stream)
        if not isinstance(error, TimeoutError):
            raise
        raise CinderwayError(
            ErrorCode.PEER_UNREACHABLE,
            "the handshake timed out",
            step=Step.HELLO,
            peer=address,
        ) from error


async def _authenticate(
    stream: SocketStream, peer: str, conversation: Conversation, identity: Identity
) -> Connection:
    connection = Connection(stream, conversation, peer)
    frames = connection._frames
    hello = Hello(
        conversation=conversation.name,
        version=conversation.version,
        name=identity.name,
        nonce=secrets.token_bytes(NONCE_BYTES),
    )
    await frames.send_hello(hello)
    challenge = _expect(await frames.receive_hello(), Challenge, peer)
    expected = _compute_proof(identity.shared_key, SERVER_PROOF, hello, challenge.nonce)
    if not hmac.compare_digest(expected, challenge.proof):
        raise _authentication_failed(peer)
    proof = _compute_proof(identity.shared_key, CLIENT_PROOF, hello, challenge.nonce)
    await frames.send_hello(Proof(proof=proof))
    _expect(await frames.receive_hello(), Welcome, peer)
    return connection


async def accept(
    stream: SocketStream, conversations: dict[str, Conversation], identity: Identity
) -> tuple[Connection, str]:
    """Authenticate a connecting peer; return the connection and the peer's name."""
    remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
    peer = f"{remote[0]}:{remote[1]}"
    set_unacknowledged_timeout(stream)
    frames = _FrameStream(stream, peer)
    with anyio.fail_after(HELLO_TIMEOUT_S):
        hello = _expect(await frames.receive_hello(), Hello, peer)
        nonce = secrets.token_bytes(NONCE_BYTES)
        proof = _compute_proof(identity.shared_key, SERVER_PROOF, hello, nonce)
        await frames.send_hello(Challenge(name=identity.name, nonce=nonce, proof=proof))
        answer = _expect(await frames.receive_hello(), Proof, peer)
        expected = _compute_proof(identity.shared_key, CLIENT_PROOF, hello, nonce)
        if not hmac.compare_digest(expected, answer.proof):
            error = _authentication_failed(peer)
            await frames.send_hello(Refusal(code=error.code, detail=error.detail))
            raise error
        conversation = conversations.get(hello.conversation)
        if conversation is None or conversation.version != hello.version:
            error = _version_mismatch(hello, conversations, peer)
            await frames.send_hello(Refusal(code=error.code, detail=error.detail))
            raise error
        await frames.send_hello(Welcome())
    connection = Connection(stream, conversation, peer)
    connection._frames = frames
    return connection, hello.name


def _expect(message: Message, expected: type, peer: str):
    match message:
        case Refusal(code=code, detail=detail):
            raise CinderwayError(code, detail, step=Step.HELLO, peer=peer)
        case _ if isinstance(message, expected):
            return message
    raise CinderwayError(
        ErrorCode.FRAME_INVALID,
        f"expected {expected.__name__} in the handshake, got {type(message).__name__}",
        step=Step.HELLO,
        peer=peer,
    )


def _authentication_failed(peer: str) -> CinderwayError:
    return CinderwayError(
        ErrorCode.AUTHENTICATION_FAILED,
        "the two sides do not hold the same shared key",
        step=Step.HELLO,
        peer=peer,
    )


def _version_mismatch(
    hello: Hello, conversations: dict[str, Conversation], peer: str
) -> CinderwayError:
    supported = ", ".join(f"{c.name} {c.version}" for c in conversations.values())
    return CinderwayError(
        ErrorCode.VERSION_MISMATCH,
        f"requested {hello.conversation} {hello.version}; supported here: {supported}",
        step=Step.HELLO,
        peer=peer,
    )
