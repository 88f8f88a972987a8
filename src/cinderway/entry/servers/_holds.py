"""Whether a server may get one more request now, by its own word or the list's. Pure.

One question for every way to a server: first and second tries, hedges, requests that
waited for a slot or for a connection, probes.
"""

from cinderway._errors import CinderwayError, ErrorCode, RefusedForNowError, Step
from cinderway.entry._blackboard import ServerState, ServiceState


class HeldBackError(CinderwayError):
    """A request that was not written to the server chosen for it; another may do.

    Its step is QUEUE: the server got nothing, and did nothing wrong.
    """


def hold_of(
    service: ServiceState, server: ServerState, now_ms: int
) -> HeldBackError | None:
    """Return why a request may not be written to a server now; None if it may."""
    if server.pushback.rests(now_ms):
        left_ms = server.pushback.rests_until_ms - now_ms
        return _held_back(
            server, ErrorCode.BACKEND_RESTS, f"it asked for {left_ms} ms more of rest"
        )
    is_listed = service.servers.get(server.row.name) is server
    if not is_listed or not server.takes_work(now_ms):
        return _held_back(server, ErrorCode.BACKEND_LEAVES, "it takes no new work")
    return None


def is_open(server: ServerState, now_ms: int) -> bool:
    """Whether new requests may go to a listed server, ejection left aside."""
    return server.takes_work(now_ms) and not server.pushback.rests(now_ms)


def rest_refusal(
    service: ServiceState, now_ms: int, give_up_at_ms: float
) -> RefusedForNowError | None:
    """Return the refusal of a request for which every server rests for too long.

    It is told at once, with when the first of them is back. None where a server is
    open, or none takes work at all, or one is back by `give_up_at_ms`.
    """
    working = [
        server
        for server in service.servers.values()
        if server.takes_work(now_ms) and not server.is_ejected
    ]
    back_at_ms = min((s.pushback.rests_until_ms for s in working), default=now_ms)
    if back_at_ms <= max(now_ms, give_up_at_ms):
        return None
    return RefusedForNowError(
        ErrorCode.BACKEND_RESTS,
        f"all {len(working)} backend servers of {service.row.name} asked for rest; "
        f"the first is back in {back_at_ms - now_ms} ms",
        back_at_ms - now_ms,
        step=Step.QUEUE,
    )


def next_open_at_ms(service: ServiceState, now_ms: int) -> int | None:
    """Return when the next pause or rest of a server ends; None if there is none."""
    ends_ms = [
        at_ms
        for server in service.servers.values()
        for at_ms in (server.pause_until_ms, server.pushback.rests_until_ms)
        if at_ms > now_ms
    ]
    return min(ends_ms, default=None)


def _held_back(server: ServerState, code: ErrorCode, detail: str) -> HeldBackError:
    return HeldBackError(code, detail, step=Step.QUEUE, peer=server.row.address)
