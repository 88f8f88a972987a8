"""Links between model entries, by which they relay requests for each other."""

from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, DataHall, EntryName
from cinderway.entry.fleet._relay_server import RelayServer
from cinderway.experiment._declaration import Experiment
from cinderway.experiment._virtual_time import call_later
from cinderway.wire import Conversation, Envelope, Identity, Message

# Opening a connection and the handshake take a round trip for each of three steps.
HANDSHAKE_ROUND_TRIPS = 3


class RelayingEntry(Protocol):
    """An entry that relays requests."""

    data_hall: DataHall
    is_dark: bool
    relay_server: RelayServer


@dataclass
class RelayLinks:
    """Opens the links of one model entry, in place of real connections."""

    experiment: Experiment
    name: EntryName
    data_hall: DataHall
    entries: Mapping[Address, RelayingEntry]
    tasks: TaskGroup

    async def connect(
        self,
        address: Address,
        conversation: Conversation,
        identity: Identity,
        step_timeout_s: float,
    ) -> "LinkEnd":
        """Open a link to another entry; raise CinderwayError if it has no power."""
        peer = self.entries[address]
        if peer.is_dark:
            await anyio.sleep(step_timeout_s)
            raise _build_error("cannot connect: timed out", Step.CONNECT, address)
        is_near = peer.data_hall == self.data_hall
        delay_ms = (
            self.experiment.own_hall_ms if is_near else self.experiment.other_hall_ms
        )
        await anyio.sleep(HANDSHAKE_ROUND_TRIPS * 2 * delay_ms / 1000)
        own, other = LinkEnd(address, delay_ms), LinkEnd(self.name, delay_ms)
        own.other, other.other = other, own
        self.tasks.start_soon(_serve, peer.relay_server.route.handler, other)
        return own


async def _serve(handler, end: "LinkEnd") -> None:
    with suppress(CinderwayError):
        await handler(end, end.peer)
    await end.aclose()


@dataclass(eq=False)
class LinkEnd:
    """One end of a link; offers what relaying needs of a real connection."""

    peer: str
    delay_ms: float
    other: "LinkEnd | None" = None
    _in_transit: list[Message] = field(default_factory=list)
    _arrived: list[Message] = field(default_factory=list)
    _is_closed: bool = False
    _changed: anyio.Event = field(default_factory=anyio.Event)

    async def send(self, message: Message, call_id: int = 0) -> None:
        """Send a message; it arrives after the link's latency."""
        if self._is_closed:
            raise _build_error("the connection broke", Step.SEND, self.peer)
        self.other._in_transit.append(message)
        # Messages sent at the same moment arrive in order, which timers do not.
        call_later(self.delay_ms, self.other._deliver_next)

    async def receive(self) -> Envelope:
        """Return the next message; raise CinderwayError at the end of the link."""
        while not self._arrived:
            if self._is_closed:
                raise _build_error("the connection ended", Step.RECEIVE, self.peer)
            self._changed = anyio.Event()
            await self._changed.wait()
        return Envelope(0, self._arrived.pop(0))

    def limit_send_buffer(self, size_bytes: int) -> None:
        """Do nothing: bodies take no time to send here."""

    async def aclose(self) -> None:
        """Close both ends; what is under way still arrives."""
        self._close()
        call_later(self.delay_ms, self.other._close)

    def _deliver_next(self) -> None:
        self._arrived.append(self._in_transit.pop(0))
        self._changed.set()

    def _close(self) -> None:
        self._is_closed = True
        self._changed.set()


def _build_error(detail: str, step: Step, peer: str) -> CinderwayError:
    return CinderwayError(ErrorCode.PEER_UNREACHABLE, detail, step=step, peer=peer)
