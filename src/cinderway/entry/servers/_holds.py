"""Whether a server may get one more request now, by its own word or the list's. Pure.

One question for every way to a server: first and second tries, hedges, requests that
waited for a slot or for a connection, probes.
"""

from cinderway._errors import CinderwayError, ErrorCode, RefusedForNowError, Step
from cinderway.entry._blackboard import ServerState, ServiceState
from cinderway.pushback import Turn


class HeldBackError(CinderwayError):
    """A request that was not written to the server chosen for it; another may do.

    Its step is QUEUE: the server got nothing, and did nothing wrong.
    """


def hold_of(
    service: ServiceState, server: ServerState, now_ms: int
) -> HeldBackError | None:
    """Return why a request may not be written to a server now; None if it may."""
    if server.pushback.is_backing_off(now_ms):
        left_ms = server.pushback.backoff_until_ms - now_ms
        return _held_back(
            server, ErrorCode.BACKEND_RESTS, f"it asked for {left_ms} ms more of rest"
        )
    is_listed = service.servers.get(server.row.name) is server
    if not is_listed or not server.takes_work(now_ms):
        return _held_back(server, ErrorCode.BACKEND_LEAVES, "it takes no new work")
    return None


def can_accept(server: ServerState, now_ms: int) -> bool:
    """Whether new requests may go to a listed server, ejection left aside."""
    return server.takes_work(now_ms) and server.pushback.can_accept(now_ms)


def turn_refusal(server: ServerState, turn: Turn, now_ms: int) -> HeldBackError | None:
    """Return why a request is not written to a server that names a rate.

    None if it may be: a turn is used then, unless the request has one already.
    """
    if turn.take(now_ms):
        return None
    turns = server.pushback.turns
    return _held_back(
        server,
        ErrorCode.BACKEND_LIMITED,
        f"it takes {turns.rate_per_s:g} requests/s from all entries, "
        f"{turns.share_per_s:g} from this one",
    )


def pushback_refusal(
    service: ServiceState, now_ms: int, give_up_at_ms: float, waiting: int
) -> RefusedForNowError | None:
    """Return the refusal of a request that no server takes by `give_up_at_ms`.

    It is told at once, with when to come back: every server rests, or has by then fewer
    turns for this entry than there are requests `waiting`, this one included. None
    where a server takes work as it comes, or none takes work at all.
    """
    working = [
        server
        for server in service.servers.values()
        if server.takes_work(now_ms) and not server.is_ejected
    ]
    until_ms = max(now_ms, give_up_at_ms)
    room = sum(s.pushback.compute_capacity_until(until_ms, now_ms) for s in working)
    if not working or room >= max(waiting, 1):
        return None
    retry_after_ms = min(server.pushback.retry_after_ms(now_ms) for server in working)
    limited = sum(server.pushback.is_limited(now_ms) for server in working)
    return RefusedForNowError(
        ErrorCode.BACKEND_LIMITED if limited else ErrorCode.BACKEND_RESTS,
        f"all {len(working)} backend servers of {service.row.name} asked for rest or "
        f"name a rate ({limited} of them), and {waiting} requests wait here; the next "
        f"may go in {retry_after_ms} ms",
        retry_after_ms,
        step=Step.QUEUE,
    )


def next_open_at_ms(service: ServiceState, now_ms: int) -> float | None:
    """Return when the next pause or rest ends or turn comes; None if there is none."""
    ends_ms = [
        at_ms
        for server in service.servers.values()
        for at_ms in (server.pause_until_ms, server.pushback.accepts_at_ms(now_ms))
        if at_ms > now_ms
    ]
    return min(ends_ms, default=None)


def _held_back(server: ServerState, code: ErrorCode, detail: str) -> HeldBackError:
    return HeldBackError(code, detail, step=Step.QUEUE, peer=server.row.address)
