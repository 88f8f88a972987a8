"""Feed one entry that follows the catalog at this replica.

The entry is sent catalog updates, news of servers and verdicts as they come up, and a
heartbeat also when there is nothing else to send. What all entries are told alike comes
here encoded: once for all of them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, DataHall, EntryName
from cinderway.catalog import CatalogHeartbeat, CatalogMachine, HallEntries
from cinderway.wire import Connection, Message

# Entries change replica after three of these without a sign.
HEARTBEAT_S = 0.5
SEND_TIMEOUT_S = 1.0


@dataclass(eq=False)
class Follower:
    """One entry that follows the catalog here, and what it is still to be sent."""

    entry: EntryName
    data_hall: DataHall
    known_revision: int
    connection: Connection
    machine: CatalogMachine
    heartbeat: Callable[[], CatalogHeartbeat]
    # Whether the machine holds all that was acknowledged; until then nothing is shown.
    has_caught_up: Callable[[], bool]
    peers_address: Address = Address("")
    _hall_entries: HallEntries | None = None
    _verdicts: bytes | None = None
    _sent_verdicts: bytes | None = None
    # Frames in the order in which they were told.
    _news_frames: list[bytes] = field(default_factory=list)
    _heartbeat_at_ms: int = 0
    _news: anyio.Event = field(default_factory=anyio.Event)

    def wake(self) -> None:
        """Look at once for what is new."""
        self._news.set()

    def tell_news(self, frames: list[bytes]) -> None:
        """Send these encoded messages after all that were told before."""
        if frames:
            self._news_frames += frames
            self.wake()

    def tell_hall_entries(self, entries: HallEntries) -> None:
        """Send where the hall's entries hear each other."""
        self._hall_entries = entries
        self.wake()

    def tell_verdicts(self, frame: bytes) -> None:
        """Send this encoded batch in place of earlier verdicts, if it differs."""
        if frame != self._verdicts:
            self._verdicts = frame
            self.wake()

    async def feed(self) -> None:
        """Send what is due until cancelled.

        Raises CinderwayError or TimeoutError when the entry does not take a message.
        """
        self._heartbeat_at_ms = monotonic_ms()
        while True:
            # Renewed before anything is looked at, so that no news is missed.
            self._news = anyio.Event()
            await self._send_update()
            await self._send_hall_entries()
            await self._send_news()
            await self._send_verdicts()
            await self._send_heartbeat()
            with anyio.move_on_after(self._pause_s(monotonic_ms())):
                await self._news.wait()

    def _pause_s(self, now_ms: int) -> float:
        """Return how long the next heartbeat can wait, whatever was sent since."""
        return max(self._heartbeat_at_ms - now_ms, 0) / 1000

    async def _send_update(self) -> None:
        if not self.has_caught_up() or self.machine.revision <= self.known_revision:
            return
        update = self.machine.update_since(self.known_revision)
        await self._send(update)
        self.known_revision = update.revision

    async def _send_hall_entries(self) -> None:
        if self._hall_entries is not None:
            entries, self._hall_entries = self._hall_entries, None
            await self._send(entries)

    async def _send_news(self) -> None:
        if self._news_frames:
            frames, self._news_frames = self._news_frames, []
            await self._send_frames(frames)

    async def _send_verdicts(self) -> None:
        if self._verdicts == self._sent_verdicts:
            return
        self._sent_verdicts = self._verdicts
        await self._send_frames([self._sent_verdicts])

    async def _send_heartbeat(self) -> None:
        if monotonic_ms() < self._heartbeat_at_ms:
            return
        await self._send(self.heartbeat())
        self._heartbeat_at_ms = monotonic_ms() + round(HEARTBEAT_S * 1000)

    async def _send(self, message: Message) -> None:
        with anyio.fail_after(SEND_TIMEOUT_S):
            await self.connection.send(message)

    async def _send_frames(self, frames: list[bytes]) -> None:
        with anyio.fail_after(SEND_TIMEOUT_S):
            await self.connection.send_encoded(frames)
