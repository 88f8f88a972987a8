"""Replicates which requests are refused, so that this survives a full power loss.

Rulings spread by gossip first, without a leader. The leader then replicates refusals
and their removal through the log; a replica that starts applies the replicated
refusals.
"""

import logging
from collections.abc import Iterator
from dataclasses import dataclass

import anyio

from cinderway._clock import monotonic_ms, wall_clock_ms
from cinderway._errors import CinderwayError
from cinderway.catalog import AllowRequest, CatalogMachine, Command, RefuseRequest
from cinderway.control._commands import Commands
from cinderway.control._poison_news import PoisonGossip
from cinderway.poison import END_MEMORY_MS, RequestStanding, Ruling
from cinderway.replication import Node

logger = logging.getLogger(__name__)

# How often rulings are checked for ones to replicate; gossip has put them in force
# long before.
SYNC_PERIOD_S = 0.25
# Refusals normally come one by one; after a time without a leader they are proposed in
# batches of this size.
MAX_COMMANDS_PER_SYNC = 16


@dataclass
class PoisonStore:
    """Synchronizes a replica's rulings with the replicated refusals."""

    node: Node
    machine: CatalogMachine
    commands: Commands
    gossip: PoisonGossip

    async def run(self) -> None:
        """Synchronize periodically until cancelled."""
        while True:
            self.apply_stored_rulings()
            if self.node.core.is_leader and self.node.has_caught_up:
                await self._submit_due_commands()
            await anyio.sleep(SYNC_PERIOD_S)

    def apply_stored_rulings(self) -> None:
        """Apply the replicated refusals here."""
        now_ms, wall_ms = monotonic_ms(), wall_clock_ms()
        self.gossip.apply_stored_rulings(
            build_ruling(refused, now_ms, wall_ms)
            for refused in self.machine.refused.values()
        )

    async def _submit_due_commands(self) -> None:
        now_ms, wall_ms = monotonic_ms(), wall_clock_ms()
        rulings = self.gossip.tally.rulings(now_ms)
        due = build_due_commands(rulings, self.machine, now_ms, wall_ms)
        for _, command in zip(range(MAX_COMMANDS_PER_SYNC), due, strict=False):
            try:
                await self.commands.submit(command)
            except CinderwayError as error:
                logger.info("a ruling on a request is not replicated yet: %s", error)
                return


def build_due_commands(
    rulings: list[Ruling], machine: CatalogMachine, now_ms: int, wall_ms: int
) -> Iterator[Command]:
    """Yield the commands that bring the replicated refusals up to date. Does no I/O."""
    for ruling in rulings:
        stored = machine.refused.get(ruling.digest)
        stored_round = stored.round_number if stored else 0
        if not ruling.standing.is_sent and ruling.round_number > stored_round:
            yield _build_refusal(ruling, now_ms, wall_ms)
        elif ruling.standing is RequestStanding.CLEARED and stored is not None:
            yield AllowRequest(ruling.digest)
    for stored in list(machine.refused.values()):
        if wall_ms >= stored.until_ms + END_MEMORY_MS:
            yield AllowRequest(stored.digest)


def build_ruling(refused: RefuseRequest, now_ms: int, wall_ms: int) -> Ruling:
    """Return the ruling for a stored refusal, with times by this process's clock."""
    return Ruling(
        refused.digest,
        RequestStanding.BARRED if refused.is_barred else RequestStanding.REFUSED,
        refused.round_number,
        now_ms + refused.until_ms - wall_ms,
        now_ms,
        tuple(refused.servers),
        refused.refusals,
    )


def _build_refusal(ruling: Ruling, now_ms: int, wall_ms: int) -> RefuseRequest:
    return RefuseRequest(
        ruling.digest,
        ruling.round_number,
        wall_ms + ruling.until_ms - now_ms,
        list(ruling.servers),
        ruling.refusals,
        ruling.standing is RequestStanding.BARRED,
    )
