"""Read a whole HTTP request body from ASGI, up to a size limit."""

from collections.abc import Callable

from cinderway._errors import CinderwayError, ErrorCode, Step


def _ignore_size(size_bytes: int) -> None:
    """Count nothing."""


def raise_if_too_large(size_bytes: int, limit_bytes: int) -> None:
    """Raise CinderwayError with REQUEST_TOO_LARGE if a body exceeds the limit."""
    if size_bytes > limit_bytes:
        raise CinderwayError(
            ErrorCode.REQUEST_TOO_LARGE,
            f"the body exceeds {limit_bytes} bytes",
            step=Step.RECEIVE,
        )


async def read_full_body(
    receive, limit_bytes: int, add_body: Callable[[int], None] = _ignore_size
) -> bytes | None:
    """Return a request's body, or None if the client disconnected before its end.

    `add_body` is called with the size of each part. Raises CinderwayError with
    REQUEST_TOO_LARGE if the body exceeds the limit.
    """
    parts = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        size_bytes += len(parts[-1])
        add_body(len(parts[-1]))
        raise_if_too_large(size_bytes, limit_bytes)
        if not message.get("more_body"):
            return b"".join(parts)
