"""Sends one entry that follows the catalog at this replica what is new.

The entry is sent catalog updates, updates on servers and verdicts as they come up, and
a heartbeat even if there is nothing else to send. Messages that are the same for all
entries arrive here encoded, so that they are encoded only once.
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

# An entry that misses three heartbeats changes to another replica.
HEARTBEAT_S = 0.5
SEND_TIMEOUT_S = 1.0
# Changes within this time are sent together. Servers register one by one, and an entry
# rebuilds its state at each update.
UPDATE_PERIOD_MS = 50


@dataclass(eq=False)
class Follower:
    """One entry that follows the catalog here, and what is queued for it."""

    entry: EntryName
    data_hall: DataHall
    known_revision: int
    connection: Connection
    machine: CatalogMachine
    heartbeat: Callable[[], CatalogHeartbeat]
    # Whether the state machine has applied all acknowledged changes; until then no
    # catalog is sent.
    has_caught_up: Callable[[], bool]
    peers_address: Address = Address("")
    _hall_entries: HallEntries | None = None
    _verdicts: bytes | None = None
    _sent_verdicts: bytes | None = None
    # Encoded messages in the order in which they were queued.
    _queued_frames: list[bytes] = field(default_factory=list)
    _is_heartbeat_due: bool = False
    _next_update_at_ms: int = 0
    _is_update_deferred: bool = False
    _wake_event: anyio.Event = field(default_factory=anyio.Event)
    _send_scope: anyio.CancelScope | None = None

    def wake(self) -> None:
        """Wake the send loop to check for something to send."""
        self._wake_event.set()

    def queue_frames(self, frames: list[bytes]) -> None:
        """Queue encoded messages behind those queued before."""
        if frames:
            self._queued_frames += frames
            self.wake()

    def queue_hall_entries(self, entries: HallEntries) -> None:
        """Queue the addresses at which the hall's entries listen to each other."""
        self._hall_entries = entries
        self.wake()

    def queue_verdicts(self, frame: bytes) -> None:
        """Queue an encoded batch of verdicts if it differs from the last one."""
        if frame != self._verdicts:
            self._verdicts = frame
            self.wake()

    async def run(self) -> None:
        """Send what is queued until cancelled.

        Raises CinderwayError or TimeoutError if the entry does not accept a message.
        """
        failure: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._schedule_heartbeats)
            try:
                await self._run_send_loop(tasks)
            except (CinderwayError, TimeoutError) as error:
                failure = error
            tasks.cancel_scope.cancel()
        # Raised outside of the task group, which would wrap it in an exception group.
        if failure is not None:
            raise failure

    async def _schedule_heartbeats(self) -> None:
        while True:
            self._is_heartbeat_due = True
            self.wake()
            await anyio.sleep(HEARTBEAT_S)

    async def _run_send_loop(self, tasks: anyio.abc.TaskGroup) -> None:
        # One cancel scope whose deadline moves: with one for each wait and each send,
        # scopes took a third of the time of sending a batch.
        with anyio.fail_after(None) as self._send_scope:
            while True:
                # Replaced before anything is checked, so that no wake-up is lost.
                self._wake_event = anyio.Event()
                await self._send_update(tasks)
                await self._send_hall_entries()
                await self._send_frames(self._pop_frames())
                await self._send_heartbeat()
                await self._wake_event.wait()

    async def _send_update(self, tasks: anyio.abc.TaskGroup) -> None:
        if not self.has_caught_up() or self.machine.revision <= self.known_revision:
            return
        remaining_ms = self._next_update_at_ms - monotonic_ms()
        if remaining_ms > 0:
            if not self._is_update_deferred:
                self._is_update_deferred = True
                tasks.start_soon(self._resume_update_after, remaining_ms)
            return
        update = self.machine.update_since(self.known_revision)
        await self._send(update)
        self.known_revision = update.revision
        # So that the entry learns at once how old the update may be, and not only with
        # the next heartbeat, half a second later.
        self._is_heartbeat_due = True
        self._next_update_at_ms = monotonic_ms() + UPDATE_PERIOD_MS

    async def _resume_update_after(self, delay_ms: int) -> None:
        await anyio.sleep(delay_ms / 1000)
        self._is_update_deferred = False
        self.wake()

    async def _send_hall_entries(self) -> None:
        if self._hall_entries is not None:
            entries, self._hall_entries = self._hall_entries, None
            await self._send(entries)

    def _pop_frames(self) -> list[bytes]:
        """Return the queued frames and clear the queue."""
        frames, self._queued_frames = self._queued_frames, []
        if self._verdicts != self._sent_verdicts:
            self._sent_verdicts = self._verdicts
            frames.append(self._sent_verdicts)
        return frames

    async def _send_heartbeat(self) -> None:
        if self._is_heartbeat_due:
            self._is_heartbeat_due = False
            await self._send(self.heartbeat())

    async def _send(self, message: Message) -> None:
        self._send_scope.deadline = anyio.current_time() + SEND_TIMEOUT_S
        await self.connection.send(message)
        self._send_scope.deadline = math.inf

    async def _send_frames(self, frames: list[bytes]) -> None:
        if not frames:
            return
        self._send_scope.deadline = anyio.current_time() + SEND_TIMEOUT_S
        await self.connection.send_encoded(frames)
        self._send_scope.deadline = math.inf
