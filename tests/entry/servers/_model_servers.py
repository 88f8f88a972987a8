"""Connections to servers that answer as a test says, in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, DataHall, ServerName, ServiceName
from cinderway.entry.servers._messages import (
    NOT_RUN,
    OUTCOME_HEADER,
    BackendAnswer,
    Headers,
)
from cinderway.entry.servers._permit import Permit
from cinderway.table import ServerRow

ANSWERS_AFTER_S = 0.005
OK = 200
UNAVAILABLE = 503
SERVICE = ServiceName("payouts")

Answer = tuple[int, Headers]


def server_row(name: str, hall: DataHall) -> ServerRow:
    return ServerRow(
        name=ServerName(name),
        service=SERVICE,
        data_hall=hall,
        address=Address(f"{name}:80"),
        slots=4,
    )


def turned_away(retry_after: bytes) -> Answer:
    """A server's answer that it did not run the request, and asks for rest."""
    return UNAVAILABLE, [(OUTCOME_HEADER, NOT_RUN), (b"retry-after", retry_after)]


class _Body:
    async def aiter_stream(self):
        yield b"done"


@dataclass
class _Connection:
    address: Address
    is_reusable: bool = False
    idle_limit_ms: int = 0

    async def give_back(self, response: object) -> None:
        """Close it."""


@dataclass
class ModelServers:
    """Answers by `answer_of`; `arrivals` are the server and time of each request.

    A connection takes `connect_ms` to come up. What is asked before anything is
    written is asked after that, as over the network.
    """

    answer_of: Callable[[ServerName], Answer]
    connect_ms: int = 0
    idle_limit: int = 64
    arrivals: list[tuple[ServerName, int]] = field(default_factory=list)

    async def send(self, address, request, attempt_id, deadline_ms, **how):
        await anyio.sleep(self.connect_ms / 1000)
        objection = how.get("objection", lambda: None)()
        if objection is not None:
            raise objection
        name = how["expected"]
        self.arrivals.append((name, monotonic_ms()))
        status, headers = self.answer_of(name)
        await anyio.sleep(ANSWERS_AFTER_S)
        return BackendAnswer(status, headers, _Body(), _Connection(address))

    def arrivals_at(self, name: str) -> list[int]:
        """Return when requests came to one server."""
        return [at_ms for server, at_ms in self.arrivals if server == name]


class TakenAway(Permit):
    """Leave to send a request until it is taken away."""

    is_taken_away = False

    def refusal(self):
        if not self.is_taken_away:
            return None
        return CinderwayError(ErrorCode.ACCOUNT_UNKNOWN, "no such key", step=Step.QUEUE)
