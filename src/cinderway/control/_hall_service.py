"""What one control replica does for the entries that follow it.

It takes their observations, judges servers by them, passes on what it knows and grants
retries out of the budget that they share.
"""

import logging
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway.catalog import (
    AnnounceReplica,
    CatalogMachine,
    EvidenceBatch,
    TakeRetry,
)
from cinderway.control._commands import ReplicaCalls
from cinderway.control._entry_groups import EntryGroups
from cinderway.control._follower import Follower
from cinderway.control._hall_assessor import HallAssessor
from cinderway.control._hall_news import HallNews
from cinderway.control._limit_news import LimitNews
from cinderway.control._poison_news import PoisonNews
from cinderway.control._retry_pools import RetryPools
from cinderway.control._verdict_news import VerdictNews

logger = logging.getLogger(__name__)

# Between two looks for observations to judge.
ASSESS_PAUSE_S = 0.1


@dataclass
class HallService:
    """Serves the entries of one hall, and those that come from elsewhere."""

    machine: CatalogMachine
    news: HallNews
    assessor: HallAssessor
    retry_pools: RetryPools
    poison: PoisonNews
    limits: LimitNews
    groups: EntryGroups
    verdicts: VerdictNews = field(default_factory=VerdictNews)

    @classmethod
    def of(
        cls,
        own: AnnounceReplica,
        machine: CatalogMachine,
        calls: ReplicaCalls,
        assessor: HallAssessor,
        retry_pools: RetryPools,
    ) -> "HallService":
        """Return the service of the replica that is announced as `own`."""
        news = HallNews(own, machine, calls)
        poison = PoisonNews(own.address, machine, calls, lambda: news.followers)
        limits = LimitNews(own.address, machine, calls, lambda: news.followers)
        groups = EntryGroups(own.address, machine, lambda: news.followers)
        return cls(machine, news, assessor, retry_pools, poison, limits, groups)

    @property
    def followers(self) -> set[Follower]:
        """The entries that follow here."""
        return self.news.followers

    async def run(self) -> None:
        """Judge and pass on until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.news.run)
            tasks.start_soon(self.poison.run)
            tasks.start_soon(self.limits.run)
            tasks.start_soon(self.groups.run)
            await self._assess()

    def take_evidence(self, batch: EvidenceBatch) -> None:
        """Take one entry's observations and what its requests add to the budgets."""
        now_ms = monotonic_ms()
        self.assessor.take(batch, now_ms)
        for service, count in zip(batch.services, batch.first_requests, strict=True):
            self.retry_pools.earn(service, count, len(self.followers), now_ms)
        suspects = self.assessor.new_suspects(now_ms)
        if suspects is not None:
            logger.info(
                "suspect: %s; failed at %s", ",".join(suspects.servers), batch.entry
            )
            self.news.take_suspects(suspects)

    def take_retry(self, asked: TakeRetry) -> bool:
        """Take one retry from the shared budget; False if there is none left."""
        return self.retry_pools.take(
            asked.service,
            len(self.followers),
            monotonic_ms(),
            after_failure=asked.after_failure,
        )

    async def _assess(self) -> None:
        """Tell the entries of each hall its verdicts, as observations come in."""
        while True:
            await anyio.sleep(ASSESS_PAUSE_S)
            now_ms = monotonic_ms()
            if not self.assessor.has_news(now_ms):
                continue
            self.verdicts.take(self.assessor.decide(self.machine, now_ms), now_ms)
            for follower in self.followers:
                frame = self.verdicts.frame_for(follower.data_hall)
                if frame is not None:
                    follower.tell_verdicts(frame)
