"""Turn away what would only make a queue longer. Pure: loads and times come in.

Load pattern: more work arrives than all slots finish, for longer than an objective.
Servers then queue, and once their queues are as long as the objective every answer is
late, however many are served. What is turned away at the door does not slow the others,
and its caller is told at once.
"""


def expected_answer_ms(load: float, usual_ms: float) -> float:
    """Return how long a server takes for one more request.

    `load` is the share of its slots that are taken once it has the request; beyond 1 a
    request waits for rounds of `usual_ms`, the time of an answer without a queue.
    """
    return usual_ms * max(load, 1.0)


def is_hopeless(
    load: float, usual_ms: float, now_ms: int, objective_at_ms: int, deadline_ms: int
) -> bool:
    """Whether the least loaded server's queue is too long for a request.

    It is where the queue alone would make its answer late. Where even an idle server's
    answer would be, only the deadline counts: a late answer is better than none.
    """
    expected_at_ms = now_ms + expected_answer_ms(load, usual_ms)
    if now_ms + usual_ms <= objective_at_ms:
        return expected_at_ms > objective_at_ms
    return load > 1 and expected_at_ms > deadline_ms
