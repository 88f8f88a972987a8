"""Feed one entry that follows the catalog at this replica.

The entry is sent catalog updates, news of servers and verdicts as they come up, and a
heartbeat also when there is nothing else to send. What all entries are told alike comes
here encoded: once for all of them.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import Address, DataHall, EntryName
from cinderway.catalog import CatalogHeartbeat, CatalogMachine, HallEntries
from cinderway.wire import Connection, Message

# Entries change replica after three of these without a sign.
HEARTBEAT_S = 0.5
SEND_TIMEOUT_S = 1.0
# Changes of this time are sent together. Servers register one by one, and an entry
# rebuilds what it knows with each update.
UPDATE_PAUSE_MS = 50


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
    _is_heartbeat_due: bool = False
    _update_after_ms: int = 0
    _is_update_put_off: bool = False
    _news: anyio.Event = field(default_factory=anyio.Event)
    _sending: anyio.CancelScope | None = None

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
        failure: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._beat)
            try:
                await self._send_what_is_due(tasks)
            except (CinderwayError, TimeoutError) as error:
                failure = error
            tasks.cancel_scope.cancel()
        # Raised outside of the task group, which would wrap it in an exception group.
        if failure is not None:
            raise failure

    async def _beat(self) -> None:
        while True:
            self._is_heartbeat_due = True
            self.wake()
            await anyio.sleep(HEARTBEAT_S)

    async def _send_what_is_due(self, tasks: anyio.abc.TaskGroup) -> None:
        # One scope whose deadline moves: with one for each wait and each send, scopes
        # took a third of the time that a telling takes.
        with anyio.fail_after(None) as self._sending:
            while True:
                # Renewed before anything is looked at, so that no news is missed.
                self._news = anyio.Event()
                await self._send_update(tasks)
                await self._send_hall_entries()
                await self._send_frames(self._take_frames())
                await self._send_heartbeat()
                await self._news.wait()

    async def _send_update(self, tasks: anyio.abc.TaskGroup) -> None:
        if not self.has_caught_up() or self.machine.revision <= self.known_revision:
            return
        left_ms = self._update_after_ms - monotonic_ms()
        if left_ms > 0:
            if not self._is_update_put_off:
                self._is_update_put_off = True
                tasks.start_soon(self._update_in, left_ms)
            return
        update = self.machine.update_since(self.known_revision)
        await self._send(update)
        self.known_revision = update.revision
        # The entry learns at once how old that may be, and not half a second later.
        self._is_heartbeat_due = True
        self._update_after_ms = monotonic_ms() + UPDATE_PAUSE_MS

    async def _update_in(self, pause_ms: int) -> None:
        await anyio.sleep(pause_ms / 1000)
        self._is_update_put_off = False
        self.wake()

    async def _send_hall_entries(self) -> None:
        if self._hall_entries is not None:
            entries, self._hall_entries = self._hall_entries, None
            await self._send(entries)

    def _take_frames(self) -> list[bytes]:
        """Return what was told and not sent yet."""
        frames, self._news_frames = self._news_frames, []
        if self._verdicts != self._sent_verdicts:
            self._sent_verdicts = self._verdicts
            frames.append(self._sent_verdicts)
        return frames

    async def _send_heartbeat(self) -> None:
        if self._is_heartbeat_due:
            self._is_heartbeat_due = False
            await self._send(self.heartbeat())

    async def _send(self, message: Message) -> None:
        self._sending.deadline = anyio.current_time() + SEND_TIMEOUT_S
        await self.connection.send(message)
        self._sending.deadline = math.inf

    async def _send_frames(self, frames: list[bytes]) -> None:
        if not frames:
            return
        self._sending.deadline = anyio.current_time() + SEND_TIMEOUT_S
        await self.connection.send_encoded(frames)
        self._sending.deadline = math.inf
