"""What each request holds in memory: its body and the answers to it."""

from collections.abc import Callable

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.limits import HeldBytes

CountUnread = Callable[[], int]


class Holding:
    """The bytes held for one request, from its head to the end of its answer."""

    def __init__(self, held: HeldBytes, count_unread: CountUnread = lambda: 0):
        self._held = held
        self._count_unread = count_unread
        self._reserved_bytes = 0
        self._body_bytes = 0
        self._answer_bytes = 0

    def reserve_body(self, announced_bytes: int | None) -> None:
        """Reserve room for a body; raise CinderwayError with ENTRY_FULL without room.

        The room for a body of unknown length is reserved as it arrives.
        """
        self._reserve(announced_bytes or 0)

    def add_body(self, size_bytes: int) -> None:
        """Count a part of the body that has arrived; raise as `reserve_body` does."""
        self._body_bytes += size_bytes
        missing_bytes = self._body_bytes - self._reserved_bytes
        if missing_bytes > 0:
            self._reserve(missing_bytes)

    def add_answer(self, size_bytes: int) -> None:
        """Count a part of an answer."""
        self._answer_bytes += size_bytes
        self._held.add(size_bytes)

    def admits_answer(self, answer_bytes: int) -> bool:
        """Whether an answer of which so many bytes are counted may be read on."""
        return self._held.admits_answer(answer_bytes, self._count_unread())

    def remove_answer(self, size_bytes: int) -> None:
        """Stop counting an answer that was discarded."""
        self._answer_bytes -= size_bytes
        self._held.remove(size_bytes)

    def release(self) -> None:
        """Release everything at the end of the request."""
        self._held.remove(self._reserved_bytes + self._answer_bytes)
        self._reserved_bytes = self._answer_bytes = 0

    def _reserve(self, size_bytes: int) -> None:
        unread_bytes = self._count_unread()
        if not self._held.admits(size_bytes, unread_bytes):
            raise CinderwayError(
                ErrorCode.ENTRY_FULL,
                f"no room for a body of {size_bytes} bytes: "
                f"{self._held.held_bytes} bytes of requests and {unread_bytes} bytes "
                f"of unread answers are held, {self._held.limit_bytes} at most",
                step=Step.RECEIVE,
            )
        self._reserved_bytes += size_bytes
        self._held.add(size_bytes)


class _Unlimited(Holding):
    def __init__(self):
        super().__init__(HeldBytes(0))

    def add_body(self, size_bytes: int) -> None:
        """Count nothing."""

    def add_answer(self, size_bytes: int) -> None:
        """Count nothing."""

    def admits_answer(self, answer_bytes: int) -> bool:
        """Admit every answer."""
        return True

    def remove_answer(self, size_bytes: int) -> None:
        """Count nothing."""


# For requests whose memory is bounded elsewhere.
UNLIMITED_HOLDING = _Unlimited()
