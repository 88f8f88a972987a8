"""Whether the peer of a connection that is not being read has closed it."""

import select
from typing import Protocol


class HasDescriptor(Protocol):
    """A socket, or what an event loop shows of one."""

    def fileno(self) -> int:
        """Return the file descriptor."""


def is_closed_by_peer(raw: HasDescriptor) -> bool:
    """Whether the peer has closed the connection or its sending direction.

    Uses poll, since select takes no descriptors above 1,023.
    """
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
