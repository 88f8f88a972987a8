"""Keep which requests are refused, so that a loss of all power does not forget it.

Rulings are news first, and spread without a leader. The leader has what is refused
replicated, and what is allowed again; a replica that starts takes over what the group
holds.
"""

import logging
from collections.abc import Iterator
from dataclasses import dataclass

import anyio

from cinderway._clock import monotonic_ms, wall_clock_ms
from cinderway._errors import CinderwayError
from cinderway.catalog import AllowRequest, CatalogMachine, Command, RefuseRequest
from cinderway.control._commands import Commands
from cinderway.control._poison_news import PoisonNews
from cinderway.poison import REMEMBERED_MS, Ruling, Standing
from cinderway.replication import Node

logger = logging.getLogger(__name__)

# Between two looks for rulings to store: news is in force long before.
LOOK_S = 0.25
# Refusals come one by one; after a leader is back these are proposed in turn.
COMMANDS_A_LOOK = 16


@dataclass
class PoisonStore:
    """Brings a replica's rulings and those that the group holds in line."""

    node: Node
    machine: CatalogMachine
    commands: Commands
    news: PoisonNews

    async def run(self) -> None:
        """Look for what the group is to be told until cancelled."""
        while True:
            self.take_over()
            if self.node.core.is_leader and self.node.has_caught_up:
                await self._propose()
            await anyio.sleep(LOOK_S)

    def take_over(self) -> None:
        """Put in force what the group holds."""
        now_ms, wall_ms = monotonic_ms(), wall_clock_ms()
        self.news.take_over(
            ruling_of(refused, now_ms, wall_ms)
            for refused in self.machine.refused.values()
        )

    async def _propose(self) -> None:
        now_ms, wall_ms = monotonic_ms(), wall_clock_ms()
        rulings = self.news.tally.rulings(now_ms)
        due = due_commands(rulings, self.machine, now_ms, wall_ms)
        for _, command in zip(range(COMMANDS_A_LOOK), due, strict=False):
            try:
                await self.commands.submit(command)
            except CinderwayError as error:
                logger.info("a ruling on a request is not stored yet: %s", error)
                return


def due_commands(
    rulings: list[Ruling], machine: CatalogMachine, now_ms: int, wall_ms: int
) -> Iterator[Command]:
    """Yield what the group is to be told; pure."""
    for ruling in rulings:
        stored = machine.refused.get(ruling.digest)
        stored_round = stored.round_number if stored else 0
        if not ruling.standing.is_sent and ruling.round_number > stored_round:
            yield _refusal_of(ruling, now_ms, wall_ms)
        elif ruling.standing is Standing.CLEARED and stored is not None:
            yield AllowRequest(ruling.digest)
    for stored in list(machine.refused.values()):
        if wall_ms >= stored.until_ms + REMEMBERED_MS:
            yield AllowRequest(stored.digest)


def ruling_of(refused: RefuseRequest, now_ms: int, wall_ms: int) -> Ruling:
    """Return the ruling that a stored refusal stands for, by the clock here."""
    return Ruling(
        refused.digest,
        Standing.BARRED if refused.is_barred else Standing.REFUSED,
        refused.round_number,
        now_ms + refused.until_ms - wall_ms,
        now_ms,
        tuple(refused.servers),
        refused.refusals,
    )


def _refusal_of(ruling: Ruling, now_ms: int, wall_ms: int) -> RefuseRequest:
    return RefuseRequest(
        ruling.digest,
        ruling.round_number,
        wall_ms + ruling.until_ms - now_ms,
        list(ruling.servers),
        ruling.refusals,
        ruling.standing is Standing.BARRED,
    )
