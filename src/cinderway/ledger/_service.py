"""Serves the ledger's protocol from one replica."""

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway.ledger._conversation import (
    LEDGER,
    Abandon,
    AwaitClaim,
    Claim,
    ClaimAnswer,
    ClaimList,
    Finish,
    ListClaims,
    Ruling,
    Settle,
)
from cinderway.ledger._machine import Command, LedgerMachine, not_in_doubt_error
from cinderway.replication import Node
from cinderway.wire import (
    Connection,
    Done,
    Message,
    Route,
    failure_from,
    serve_calls,
)

PROPOSE_TIMEOUT_S = 2.0


class LedgerService:
    """Answers requests while its replica is the leader; else points to the leader."""

    def __init__(self, node: Node, machine: LedgerMachine):
        self._node = node
        self._machine = machine
        self._clock_term = 0
        self._term_start_monotonic_ms = 0
        self._term_start_ledger_ms = 0

    @property
    def route(self) -> Route:
        """The route that serves the ledger's connections."""
        return Route(LEDGER, self._serve)

    async def _serve(self, connection: Connection, name: str) -> None:
        await serve_calls(connection, name, self._answer)

    async def _answer(self, name: str, request: Message) -> Message:
        try:
            return await self._handle(request)
        except CinderwayError as error:
            return failure_from(error, self._node.leader_address)

    async def _handle(self, request: Message) -> Message:
        match request:
            case Claim():
                return await self._propose(claim=request)
            case Finish():
                return await self._propose(finish=request)
            case Abandon():
                return await self._propose(abandon=request)
            case Settle():
                return await self._settle(request)
            case AwaitClaim():
                return await self._await_claim(request)
            case ListClaims():
                await self._node.read_barrier(PROPOSE_TIMEOUT_S)
                claims = self._machine.find_claims_in_doubt(
                    self._ledger_time_ms(), request.limit
                )
                return ClaimList(claims)

    async def _propose(self, **request: Message) -> Message:
        command = Command(self._ledger_time_ms(), **request)
        answer = await self._node.propose(command.encode(), PROPOSE_TIMEOUT_S)
        return answer or Done()

    async def _settle(self, request: Settle) -> Message:
        await self._node.read_barrier(PROPOSE_TIMEOUT_S)
        ruling = self._machine.get_ruling(request.name, self._ledger_time_ms())
        if ruling is None or ruling.ruling is not Ruling.IN_DOUBT:
            raise not_in_doubt_error(request.name)
        return await self._propose(settle=request)

    async def _await_claim(self, request: AwaitClaim) -> Message:
        await self._node.read_barrier(PROPOSE_TIMEOUT_S)
        ruling = self._machine.get_ruling(request.name, self._ledger_time_ms())
        with anyio.move_on_after(request.wait_ms / 1000):
            while ruling is not None and ruling.ruling is Ruling.RUNNING:
                await self._node.wait_for_applied_entry()
                ruling = self._machine.get_ruling(request.name, self._ledger_time_ms())
        return ruling or ClaimAnswer(Ruling.ATTEMPT_ABANDONED)

    def _ledger_time_ms(self) -> int:
        """Return the ledger's time.

        At the start of a term it is the time of the last applied command; from there
        it advances with the monotonic clock.
        """
        term = self._node.core.term
        if term != self._clock_term:
            self._clock_term = term
            self._term_start_monotonic_ms = monotonic_ms()
            self._term_start_ledger_ms = self._machine.now_ms
        return (
            self._term_start_ledger_ms + monotonic_ms() - self._term_start_monotonic_ms
        )
