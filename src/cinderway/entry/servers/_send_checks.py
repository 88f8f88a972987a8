"""Checks whether a server may be sent a request now, by pushback or catalog. Pure.

The same checks apply to every request: first attempts, retries, hedges, requests that
waited for a slot or a connection, and probes.
"""

from cinderway._errors import CinderwayError, ErrorCode, RefusedForNowError, Step
from cinderway.entry._blackboard import ServerState, ServiceState
from cinderway.pushback import RateToken


class HeldBackError(CinderwayError):
    """A request was not written to the chosen server; another server may accept it.

    Its step is QUEUE: nothing was sent to the server, and it is not at fault.
    """


def check_server(
    service: ServiceState, server: ServerState, now_ms: int
) -> HeldBackError | None:
    """Return the error if a request must not be written to a server now, else None."""
    if server.pushback.is_backing_off(now_ms):
        left_ms = server.pushback.backoff_until_ms - now_ms
        return _build_error(
            server,
            ErrorCode.BACKEND_RESTS,
            f"its requested backoff has {left_ms} ms left",
        )
    is_listed = service.servers.get(server.row.name) is server
    if not is_listed or not server.accepts_requests(now_ms):
        return _build_error(
            server, ErrorCode.BACKEND_LEAVES, "it accepts no new requests"
        )
    return None


def can_accept(server: ServerState, now_ms: int) -> bool:
    """Whether a listed server accepts new requests, regardless of ejection."""
    return server.accepts_requests(now_ms) and server.pushback.can_accept(now_ms)


def check_rate_limit(
    server: ServerState, token: RateToken, now_ms: int
) -> HeldBackError | None:
    """Return the error if a server's rate limit does not allow a request, else None.

    If the request is allowed, it acquires a token unless it already has one.
    """
    if token.acquire(now_ms):
        return None
    bucket = server.pushback.bucket
    return _build_error(
        server,
        ErrorCode.BACKEND_LIMITED,
        f"its rate limit is {bucket.rate_per_s:g} requests/s for all entries, "
        f"{bucket.share_per_s:g} of them for this one",
    )


def check_pushback(
    service: ServiceState, now_ms: int, give_up_at_ms: float, waiting: int
) -> RefusedForNowError | None:
    """Return the rejection if no server can accept a request by `give_up_at_ms`.

    Such a request is rejected at once, with a retry-after time. This is the case if
    until then the servers accept fewer requests from this entry, because of backoff or
    rate limits, than are `waiting`, this one included. Returns None otherwise, and also
    if no server takes work at all.
    """
    available = [
        server
        for server in service.servers.values()
        if server.accepts_requests(now_ms) and not server.is_ejected
    ]
    until_ms = max(now_ms, give_up_at_ms)
    capacity = sum(
        s.pushback.compute_capacity_until(until_ms, now_ms) for s in available
    )
    if not available or capacity >= max(waiting, 1):
        return None
    retry_after_ms = min(server.pushback.retry_after_ms(now_ms) for server in available)
    limited_count = sum(server.pushback.is_limited(now_ms) for server in available)
    return RefusedForNowError(
        ErrorCode.BACKEND_LIMITED if limited_count else ErrorCode.BACKEND_RESTS,
        f"all {len(available)} backend servers of {service.row.name} requested backoff "
        f"or have a rate limit ({limited_count} of them), and {waiting} requests are "
        f"waiting here; the next may be sent in {retry_after_ms} ms",
        retry_after_ms,
        step=Step.QUEUE,
    )


def compute_next_accept_at_ms(service: ServiceState, now_ms: int) -> float | None:
    """Return when a server may next accept a request; None if no such time is known.

    It is the earliest time at which a pause or backoff ends or a token is available.
    """
    accept_times_ms = [
        at_ms
        for server in service.servers.values()
        for at_ms in (server.pause_until_ms, server.pushback.accepts_at_ms(now_ms))
        if at_ms > now_ms
    ]
    return min(accept_times_ms, default=None)


def _build_error(server: ServerState, code: ErrorCode, detail: str) -> HeldBackError:
    return HeldBackError(code, detail, step=Step.QUEUE, peer=server.row.address)
