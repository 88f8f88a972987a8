"""Read a whole HTTP request body from ASGI, up to a size limit."""

from cinderway._errors import CinderwayError, ErrorCode, Step


async def whole_body(receive, limit_bytes: int) -> bytes | None:
    """Return a request's body, or None if the client disconnected before its end.

    Raises CinderwayError with REQUEST_TOO_LARGE if the body exceeds the limit.
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
                f"the body exceeds {limit_bytes} bytes",
                step=Step.RECEIVE,
            )
        if not message.get("more_body"):
            return b"".join(parts)
