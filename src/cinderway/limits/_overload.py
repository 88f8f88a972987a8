"""Load shedding by expected latency. Pure: computed from loads and times.

The case: for longer than the latency objective, more work arrives than all slots can
finish. Servers then queue requests, and once the queueing delay reaches the objective,
every response is late, however many are served. A request that is rejected on arrival
does not delay the others, and its caller learns of it at once.
"""


def compute_expected_latency_ms(
    load: float, usual_ms: float, queued_ms: float | None = None
) -> float:
    """Return how long a server is expected to take for one more request.

    `load` is the share of its slots in use, with this request included. Beyond 1, the
    latency grows in proportion from `usual_ms`, the latency without a queue; or by
    `queued_ms` for each load of 1, if what is queued takes another time.
    """
    if queued_ms is None:
        return usual_ms * max(load, 1.0)
    return usual_ms + queued_ms * (max(load, 1.0) - 1.0)


def is_queue_too_long(
    load: float,
    usual_ms: float,
    now_ms: int,
    objective_at_ms: int,
    deadline_ms: int,
    queued_ms: float | None = None,
) -> bool:
    """Whether a server with this load has too long a queue for a request.

    The queue is too long if it alone would make the response miss the objective. If
    even an idle server's response would miss it, only the deadline counts: a late
    response is better than none.
    """
    expected_at_ms = now_ms + compute_expected_latency_ms(load, usual_ms, queued_ms)
    if now_ms + usual_ms <= objective_at_ms:
        return expected_at_ms > objective_at_ms
    return load > 1 and expected_at_ms > deadline_ms
