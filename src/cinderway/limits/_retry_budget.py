"""A budget that bounds retries and hedges to a share of first attempts."""

# Lets a quiet entry retry a little at once.
INITIAL_TOKENS = 3.0
MAXIMUM_TOKENS = 20.0


class RetryBudget:
    """Each first attempt earns a fraction of a retry.

    Guarantee: after n first attempts, at most `initial` + n * percent / 100
    retries were ever spent here, and in any span of time at most `maximum` plus that
    share of the span's first attempts. As every entry keeps to it, so does the fleet.
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

    def earn(self) -> None:
        """Note a first attempt."""
        self._tokens = min(self._tokens + self.percent / 100, self.maximum)

    def empty(self) -> None:
        """Give up what was earned: the retries are paid for elsewhere from now on."""
        self._tokens = 0.0

    def spend(self) -> bool:
        """Take one retry; False if there is none left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
