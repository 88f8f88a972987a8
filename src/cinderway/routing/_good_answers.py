"""How recently a server answered well, as evidence that it does not fail now. Pure.

The load: backend servers fail most requests for some seconds while their health checks
pass. A request that may run only once is lost if it is the first to meet such a server.
The longer a server has not answered, the more likely it has begun to fail since, while
one that answered a moment ago is very likely still well. Servers that fail and then get
no requests stay unproven for a while, so that other requests find out about them. After
a longer time without any answer nothing is known either way, and they are tried again:
where no other requests reach them, nothing else shows that they have recovered.
"""

from dataclasses import dataclass

# Up to this age a good answer counts in full: gossip about it takes about as long.
PROVEN_MS = 300
# From this age on it says nothing: the failures last some seconds.
FORGOTTEN_MS = 3_000
# From this time without an answer or a suspicion on, a server is less and less
# unproven; most failures have ended by then.
QUIET_FROM_MS = 15_000
# After this time it is chosen like a proven one.
QUIET_MS = 30_000
# Weight of the newest request in the share of unserved ones.
UNSERVED_GAIN = 0.04
# Above this share, work has to reach most of a service's healthy servers.
HIGH_UNSERVED_SHARE = 0.1


@dataclass
class GoodAnswers:
    """When a server last answered well, to this entry and to any entry of its hall."""

    own_at_ms: int | None = None
    newest_at_ms: int | None = None

    @classmethod
    def of_listed_server(cls, now_ms: int, *, has_joined: bool) -> "GoodAnswers":
        """Return the state of a server that is listed from now on.

        One that has just joined counts as proven, so that it gets requests. Of others
        nothing is known; they count as if they had last answered well before.
        """
        return cls(newest_at_ms=now_ms if has_joined else now_ms - FORGOTTEN_MS)

    def record_own(self, now_ms: int) -> None:
        """Record a good answer to this entry."""
        self.own_at_ms = self.newest_at_ms = now_ms

    def record_reported(self, at_ms: int) -> None:
        """Record a good answer to another entry."""
        if self.newest_at_ms is None or self.newest_at_ms < at_ms:
            self.newest_at_ms = at_ms

    def compute_own_age_ms(self, now_ms: int) -> int | None:
        """Return the age of the last good answer here; None without a recent one."""
        if self.own_at_ms is None or now_ms - self.own_at_ms >= FORGOTTEN_MS:
            return None
        return now_ms - self.own_at_ms

    def compute_unproven(self, now_ms: int, suspect_until_ms: int = 0) -> float:
        """Return 0 just after a good answer, rising to 1 with its age.

        It falls to 0 again if the server was not suspect for long either.
        """
        if self.newest_at_ms is None:
            return 1.0
        age_ms = now_ms - self.newest_at_ms
        if age_ms <= PROVEN_MS:
            return 0.0
        if age_ms < FORGOTTEN_MS:
            return (age_ms - PROVEN_MS) / (FORGOTTEN_MS - PROVEN_MS)
        quiet_ms = min(age_ms, now_ms - suspect_until_ms)
        left = (QUIET_MS - quiet_ms) / (QUIET_MS - QUIET_FROM_MS)
        return min(max(left, 0.0), 1.0)


@dataclass
class UnservedShare:
    """The share of a service's recent requests that this entry could not serve."""

    share: float = 0.0

    def record(self, is_served: bool) -> None:
        """Record the end of a request."""
        self.share += ((not is_served) - self.share) * UNSERVED_GAIN

    @property
    def is_high(self) -> bool:
        """Whether so many go unserved that work must not be concentrated."""
        return self.share > HIGH_UNSERVED_SHARE
