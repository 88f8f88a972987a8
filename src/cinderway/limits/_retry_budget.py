"""A token bucket that limits retries and hedges to a share of first attempts."""

# Lets an entry with little traffic retry a few times right after its start.
INITIAL_TOKENS = 3.0
MAXIMUM_TOKENS = 20.0


class RetryBudget:
    """Token bucket of retries: each first attempt earns a fraction of one.

    Guarantee: after n first attempts, at most `initial` + n * percent / 100 retries
    have been spent in total, and in any period at most `maximum` plus that share of
    the period's first attempts. Since each entry respects the bound, so does the fleet.
    """

    def __init__(
        self,
        percent: int,
        initial: float = INITIAL_TOKENS,
        maximum: float = MAXIMUM_TOKENS,
    ):
        self.percent = percent
        self.maximum = maximum
        self._tokens = min(initial, maximum) if percent else 0.0

    def credit(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self._tokens = min(self._tokens + self.percent / 100, self.maximum)

    def clear(self) -> None:
        """Discard all tokens: from now on another budget pays for the retries."""
        self._tokens = 0.0

    def consume(self) -> bool:
        """Consume the token for one retry; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
