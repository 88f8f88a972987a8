"""What one control replica does for the entries that follow it.

It receives their observations, judges servers by them, distributes what it knows and
grants retries from the budget that the entries share.
"""

import logging
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway.catalog import (
    AnnounceReplica,
    CatalogMachine,
    EvidenceBatch,
    RetryAnswer,
    TakeRetry,
)
from cinderway.control._commands import ReplicaCalls
from cinderway.control._entry_groups import EntryGroups
from cinderway.control._follower import Follower
from cinderway.control._hall_assessor import HallAssessor
from cinderway.control._hall_gossip import HallGossip
from cinderway.control._limit_gossip import LimitGossip
from cinderway.control._poison_news import PoisonGossip
from cinderway.control._retry_pools import RetryPools
from cinderway.control._verdict_throttle import VerdictThrottle

logger = logging.getLogger(__name__)

# How often it is checked for new observations to judge.
ASSESS_PERIOD_S = 0.1


@dataclass
class HallService:
    """Serves the entries that follow this replica, from its own hall and others."""

    machine: CatalogMachine
    gossip: HallGossip
    assessor: HallAssessor
    retry_pools: RetryPools
    poison: PoisonGossip
    limits: LimitGossip
    groups: EntryGroups
    verdicts: VerdictThrottle = field(default_factory=VerdictThrottle)

    @classmethod
    def of(
        cls,
        own: AnnounceReplica,
        machine: CatalogMachine,
        calls: ReplicaCalls,
        assessor: HallAssessor,
        retry_pools: RetryPools,
    ) -> "HallService":
        """Build the service of the replica that is announced as `own`."""
        gossip = HallGossip(own, machine, calls)
        poison = PoisonGossip(own.address, machine, calls, lambda: gossip.followers)
        limits = LimitGossip(own.address, machine, calls, lambda: gossip.followers)
        groups = EntryGroups(own.address, machine, lambda: gossip.followers)
        return cls(machine, gossip, assessor, retry_pools, poison, limits, groups)

    @property
    def followers(self) -> set[Follower]:
        """The entries that follow here."""
        return self.gossip.followers

    async def run(self) -> None:
        """Judge servers and distribute updates until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.gossip.run)
            tasks.start_soon(self.poison.run)
            tasks.start_soon(self.limits.run)
            tasks.start_soon(self.groups.run)
            await self._send_verdicts()

    def receive_evidence(self, batch: EvidenceBatch) -> None:
        """Record one entry's observations and credit its requests to the budgets."""
        now_ms = monotonic_ms()
        self.assessor.record_evidence(batch, now_ms)
        for service, count in zip(batch.services, batch.first_requests, strict=True):
            self.retry_pools.record_requests(
                service, count, len(self.followers), now_ms
            )
        suspects = self.assessor.new_suspects(now_ms)
        if suspects is not None:
            logger.info(
                "suspect servers: %s; reported by %s",
                ",".join(suspects.servers),
                batch.entry,
            )
            self.gossip.receive_entry_suspects(suspects)

    def record_followers(self) -> None:
        """Record that an entry has just begun or ceased to follow."""
        self.retry_pools.record_entries(len(self.followers), monotonic_ms())

    def answer_retry(self, asked: TakeRetry) -> RetryAnswer:
        """Consume one retry of the shared budget, or say when one is due."""
        now_ms = monotonic_ms()
        is_granted = self.retry_pools.acquire_retry(
            asked.service,
            len(self.followers),
            now_ms,
            after_failure=asked.after_failure,
        )
        if is_granted or not asked.after_failure:
            return RetryAnswer(is_granted)
        due_in_ms = self.retry_pools.compute_due_ms(asked.service, now_ms)
        return RetryAnswer(is_granted, due_in_ms)

    async def _send_verdicts(self) -> None:
        """Send the entries of each hall its verdicts, as observations come in."""
        while True:
            await anyio.sleep(ASSESS_PERIOD_S)
            now_ms = monotonic_ms()
            if not self.assessor.is_review_due(now_ms):
                continue
            self.verdicts.update(self.assessor.decide(self.machine, now_ms), now_ms)
            for follower in self.followers:
                frame = self.verdicts.get_frame(follower.data_hall)
                if frame is not None:
                    follower.queue_verdicts(frame)
