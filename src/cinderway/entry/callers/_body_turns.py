"""Bound how many large bodies are read at once.

Each body that is read keeps up to one TCP window of data on the entry's link, in front
of the entry's own messages. Bodies that wait for a turn are not read: the caller's
protocol pauses their connections after the request's head.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import contextmanager

import anyio

# A body of which nothing arrived for this long does not fill the link: others are read
# meanwhile. Several times the time that one TCP window takes on a slow link.
STALL_S = 0.25
# Longest wait for a turn: callers on links slower than the entry's own would otherwise
# hold up all bodies behind theirs.
WAIT_LIMIT_S = 1.0

Receive = Callable[[], Awaitable[dict]]


class BodyTurns:
    """Turns of reading a large body, in order of arrival; `limit` at a time."""

    def __init__(self, limit: int):
        self._limit = limit
        self._taken = 0
        self._waiting: deque[anyio.Event] = deque()

    async def acquire(self) -> None:
        """Wait for a turn."""
        if self._taken < self._limit and not self._waiting:
            self._taken += 1
            return
        turn = anyio.Event()
        self._waiting.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                self.release()
            else:
                self._waiting.remove(turn)
            raise

    def release(self) -> None:
        """Pass a turn on to the body that waits longest."""
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._taken -= 1

    @contextmanager
    def wrap(self, receive: Receive):
        """Yield a `receive` that reads in turn; the turn ends with the context."""
        reader = _TurnReader(self, receive)
        try:
            yield reader.receive
        finally:
            reader.end()


class _TurnReader:
    """Receives one body's parts; gives its turn up while nothing arrives."""

    def __init__(self, turns: BodyTurns, receive: Receive):
        self._turns, self._receive = turns, receive
        self._has_turn = False
        self._is_first = True

    async def receive(self) -> dict:
        if self._is_first:
            self._is_first = False
            with anyio.move_on_after(WAIT_LIMIT_S):
                await self._turns.acquire()
                self._has_turn = True
        if self._has_turn:
            with anyio.move_on_after(STALL_S):
                return await self._receive()
            self.end()
        return await self._receive()

    def end(self) -> None:
        if self._has_turn:
            self._has_turn = False
            self._turns.release()
