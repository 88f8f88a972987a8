"""A bound in bytes on what one entry holds for all its requests.

Pure: the bytes of answers that callers have not read are passed in.
"""

from dataclasses import dataclass

# A body may take this share of the room that is left, so that the largest bodies are
# refused first and requests without a body last.
BODY_SHARE = 0.25
# Requests up to this size are refused only when no room is left.
SMALL_BYTES = 16 * 1024
# An answer may take this share of the room that the others leave, so that of many
# answers without end each one is ended and room remains for others.
ANSWER_SHARE = 0.5
# Answers up to this size are always read: their requests may have run.
ALWAYS_READ_BYTES = 256 * 1024


@dataclass
class HeldBytes:
    """The bytes of bodies and answers that are held for requests in progress."""

    limit_bytes: int
    held_bytes: int = 0

    def admits(self, size_bytes: int, unread_bytes: int = 0) -> bool:
        """Whether a new request with a body of this size may be held.

        A request of any size is admitted where nothing else is held: the route sheet
        bounds the size of one body.
        """
        used_bytes = self.held_bytes + unread_bytes
        if not used_bytes:
            return True
        room_bytes = self.limit_bytes - used_bytes
        if size_bytes <= SMALL_BYTES:
            return size_bytes < room_bytes
        return size_bytes <= room_bytes * BODY_SHARE

    def admits_answer(self, answer_bytes: int, unread_bytes: int = 0) -> bool:
        """Whether an answer may be read on; its own bytes are counted as held."""
        if answer_bytes <= ALWAYS_READ_BYTES:
            return True
        others_bytes = self.held_bytes + unread_bytes - answer_bytes
        return answer_bytes <= (self.limit_bytes - others_bytes) * ANSWER_SHARE

    def add(self, size_bytes: int) -> None:
        """Count bytes as held."""
        self.held_bytes += size_bytes

    def remove(self, size_bytes: int) -> None:
        """Count bytes as no longer held."""
        self.held_bytes -= size_bytes
