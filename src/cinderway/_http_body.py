"""Read a whole HTTP body from ASGI, within a limit."""

from cinderway._errors import CinderwayError, ErrorCode, Step


async def whole_body(receive, limit_bytes: int) -> bytes | None:
    """Return a request's body, or None if its sender left before the end.

    Raises CinderwayError with REQUEST_TOO_LARGE over the limit.
    """
    parts = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        size_bytes += len(parts[-1])
        if size_bytes > limit_bytes:
            raise CinderwayError(
                ErrorCode.REQUEST_TOO_LARGE,
                f"the body is over {limit_bytes} bytes",
                step=Step.RECEIVE,
            )
        if not message.get("more_body"):
            return b"".join(parts)
