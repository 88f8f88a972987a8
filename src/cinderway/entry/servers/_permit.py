"""Leave to send one request to backend servers."""

from cinderway._errors import CinderwayError
from cinderway._ids import ServerName


class Permit:
    """Leave to send a request, told what becomes of its runs; limited by nothing."""

    @property
    def holds(self) -> bool:
        """Whether the request may still be sent at all."""
        return self.refusal() is None

    def refusal(self) -> CinderwayError | None:
        """Return why the request may not be sent; None while it may.

        The error's step is QUEUE: what waits for a slot has reached no server.
        """
        return None

    async def renew(self) -> bool:
        """Say whether one that may have run can be sent once more, and pay for it."""
        return True

    def note_broken_run(self, server: ServerName, run_ms: int) -> None:
        """Take note that a server's connection broke while the request was there."""

    def note_good_run(self) -> None:
        """Take note that a server answered the request well."""


UNLIMITED = Permit()
