"""One authenticated, framed TCP connection between two cinderway processes."""

import hmac
import secrets
import socket
from collections.abc import Sequence
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.wire._codec import Conversation, Envelope, Message

LENGTH_BYTES = 4
# Of a peer that has proved itself; a ledger's snapshot is one frame.
FRAME_LIMIT_BYTES = 256 * 1024 * 1024
HELLO_FRAME_LIMIT_BYTES = 4096
# Read at a time: several messages that have come together, or a part of a large one.
CHUNK_BYTES = 65_536
HELLO_TIMEOUT_S = 1.0
# A peer without power says nothing, and TCP would go on sending at growing intervals:
# long after the peer is back, the connection would still look open. Several round trips
# and a few lost packets take less.
UNACKNOWLEDGED_LIMIT_MS = 1_000
NONCE_BYTES = 32
CLIENT_PROOF = b"client"
SERVER_PROOF = b"server"


class Hello(Message, frozen=True):
    """First frame of the connecting side: who it is and what it wants to talk."""

    conversation: str
    version: int
    name: str
    nonce: bytes


class Challenge(Message, frozen=True):
    """The accepting side's answer: its own proof, and a nonce for the other's."""

    name: str
    nonce: bytes
    proof: bytes


class Proof(Message, frozen=True):
    """The connecting side's proof that it holds the key."""

    proof: bytes


class Welcome(Message, frozen=True):
    """The accepting side takes the connection."""


class Refusal(Message, frozen=True):
    """The accepting side does not take the connection, and why."""

    code: ErrorCode
    detail: str


HELLO = Conversation("hello", 1, (Hello, Challenge, Proof, Welcome, Refusal))


@dataclass(frozen=True)
class Identity:
    """The name a process goes by and the key it shares with the fleet."""

    name: str
    shared_key: bytes


def limit_unacknowledged(stream: SocketStream) -> None:
    """Let a connection break when the peer confirms no bytes for a while."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)


class Connection:
    """Sends and receives messages of one conversation with one peer."""

    def __init__(self, stream: SocketStream, conversation: Conversation, peer: str):
        self.peer = peer
        self.conversation = conversation
        self._frames = _Frames(stream, peer)

    async def send(self, message: Message, call_id: int = 0) -> None:
        """Send one message; concurrent senders' frames never mix."""
        await self.send_encoded([self.conversation.encode(message, call_id)])

    async def send_encoded(self, payloads: Sequence[bytes]) -> None:
        """Send messages that the conversation encoded, in one go.

        For what many peers are told alike: encoding costs more than sending.
        """
        await self._frames.send(*payloads)

    async def receive(self) -> Envelope:
        """Return the next message; a frame that cannot be read raises.

        Cancelled, it loses nothing: the next call goes on where it was.
        """
        payload = await self._frames.receive(FRAME_LIMIT_BYTES)
        return self.conversation.decode(payload, peer=self.peer)

    @property
    def is_receiving(self) -> bool:
        """Whether a message has begun to come and is not whole yet."""
        return self._frames.is_receiving

    async def aclose(self) -> None:
        """Close the connection without waiting for the peer."""
        await anyio.aclose_forcefully(self._frames.stream)


@dataclass
class Traffic:
    """Bytes of all frames of this process since its start."""

    sent_bytes: int = 0
    received_bytes: int = 0


traffic = Traffic()


class _Frames:
    def __init__(self, stream: SocketStream, peer: str):
        self.stream = stream
        self.peer = peer
        # Without contention a send goes out at once, with no turn of the event loop.
        self._send_lock = anyio.Lock(fast_acquire=True)
        # What has come and was not handed out yet. A receiver that is cancelled takes
        # nothing from it, and another goes on.
        self._received = bytearray()

    @property
    def is_receiving(self) -> bool:
        return bool(self._received)

    async def send(self, *payloads: bytes) -> None:
        data = b"".join(self._framed(payload) for payload in payloads)
        try:
            async with self._send_lock:
                await self.stream.send(data)
            traffic.sent_bytes += len(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise self._error(
                ErrorCode.PEER_UNREACHABLE, "the connection broke", Step.SEND
            ) from error

    def _framed(self, payload: bytes) -> bytes:
        if len(payload) > FRAME_LIMIT_BYTES:
            raise self._error(
                ErrorCode.FRAME_INVALID,
                f"a frame of {len(payload)} bytes is over {FRAME_LIMIT_BYTES}",
                Step.SEND,
            )
        return len(payload).to_bytes(LENGTH_BYTES, "big") + payload

    async def receive(self, limit_bytes: int) -> bytes:
        """Return the next frame; those that have come together cost one wait."""
        while True:
            payload = self._next_received(limit_bytes)
            if payload is not None:
                traffic.received_bytes += LENGTH_BYTES + len(payload)
                return payload
            try:
                self._received += await self.stream.receive(CHUNK_BYTES)
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                anyio.EndOfStream,
                OSError,
            ) as error:
                raise self._error(
                    ErrorCode.PEER_UNREACHABLE, "the connection ended", Step.RECEIVE
                ) from error

    def _next_received(self, limit_bytes: int) -> bytes | None:
        """Take the first frame out of what has come; None if it is not whole yet."""
        if len(self._received) < LENGTH_BYTES:
            return None
        end = LENGTH_BYTES + int.from_bytes(self._received[:LENGTH_BYTES], "big")
        if end - LENGTH_BYTES > limit_bytes:
            raise self._error(
                ErrorCode.FRAME_INVALID,
                f"a frame announces {end - LENGTH_BYTES} bytes; {limit_bytes} allowed",
                Step.RECEIVE,
            )
        if len(self._received) < end:
            return None
        payload = bytes(memoryview(self._received)[LENGTH_BYTES:end])
        del self._received[:end]
        return payload

    async def send_hello(self, message: Message) -> None:
        await self.send(HELLO.encode(message))

    async def receive_hello(self) -> Message:
        payload = await self.receive(HELLO_FRAME_LIMIT_BYTES)
        return HELLO.decode(payload, peer=self.peer).message

    def _error(self, code: ErrorCode, detail: str, step: Step) -> CinderwayError:
        return CinderwayError(code, detail, step=step, peer=self.peer)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`; hosts are IP numbers."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _prove(key: bytes, side: bytes, hello: Hello, server_nonce: bytes) -> bytes:
    # Both nonces and the whole hello are covered, so that a proof can neither be
    # replayed on another connection nor moved to another conversation or name.
    text = [side, hello.conversation.encode(), str(hello.version).encode()]
    text += [hello.name.encode(), hello.nonce, server_nonce]
    return hmac.digest(key, b"\0".join(text), "sha256")


async def connect(
    address: str,
    conversation: Conversation,
    identity: Identity,
    step_timeout_s: float = HELLO_TIMEOUT_S,
) -> Connection:
    """Open a connection; raises CinderwayError naming the step that failed.

    Connecting and the hello may each take `step_timeout_s`.
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
    limit_unacknowledged(stream)
    try:
        with anyio.fail_after(step_timeout_s):
            return await _greet(stream, address, conversation, identity)
    except BaseException as error:
        await anyio.aclose_forcefully(stream)
        if not isinstance(error, TimeoutError):
            raise
        raise CinderwayError(
            ErrorCode.PEER_UNREACHABLE,
            "no answer to the hello",
            step=Step.HELLO,
            peer=address,
        ) from error


async def _greet(
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
    wanted = _prove(identity.shared_key, SERVER_PROOF, hello, challenge.nonce)
    if not hmac.compare_digest(wanted, challenge.proof):
        raise _authentication_failed(peer)
    proof = _prove(identity.shared_key, CLIENT_PROOF, hello, challenge.nonce)
    await frames.send_hello(Proof(proof=proof))
    _expect(await frames.receive_hello(), Welcome, peer)
    return connection


async def accept(
    stream: SocketStream, conversations: dict[str, Conversation], identity: Identity
) -> tuple[Connection, str]:
    """Take a peer's hello; return the connection and the name the peer gave."""
    remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
    peer = f"{remote[0]}:{remote[1]}"
    limit_unacknowledged(stream)
    frames = _Frames(stream, peer)
    with anyio.fail_after(HELLO_TIMEOUT_S):
        hello = _expect(await frames.receive_hello(), Hello, peer)
        nonce = secrets.token_bytes(NONCE_BYTES)
        proof = _prove(identity.shared_key, SERVER_PROOF, hello, nonce)
        await frames.send_hello(Challenge(name=identity.name, nonce=nonce, proof=proof))
        answer = _expect(await frames.receive_hello(), Proof, peer)
        wanted = _prove(identity.shared_key, CLIENT_PROOF, hello, nonce)
        if not hmac.compare_digest(wanted, answer.proof):
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


def _expect(message: Message, wanted: type, peer: str):
    match message:
        case Refusal(code=code, detail=detail):
            raise CinderwayError(code, detail, step=Step.HELLO, peer=peer)
        case _ if isinstance(message, wanted):
            return message
    raise CinderwayError(
        ErrorCode.FRAME_INVALID,
        f"expected {wanted.__name__} in the hello, got {type(message).__name__}",
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
    spoken = ", ".join(f"{c.name} {c.version}" for c in conversations.values())
    return CinderwayError(
        ErrorCode.VERSION_MISMATCH,
        f"asked for {hello.conversation} {hello.version}; spoken here: {spoken}",
        step=Step.HELLO,
        peer=peer,
    )
