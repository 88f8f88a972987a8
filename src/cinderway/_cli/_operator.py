"""Send one request of an operator to the control or ledger group."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._settings import OperatorSettings
from cinderway.ledger import LedgerClient
from cinderway.table import TABLE
from cinderway.wire import GroupClient, Identity, Message

OPERATOR_NAME = "operator"
REQUEST_TIMEOUT_MS = 10_000


def call_control(settings: OperatorSettings, request: Message) -> Message:
    """Send a request to the leader of the control group and return its answer."""

    async def ask(tasks: TaskGroup) -> Message:
        client = GroupClient(settings.control, TABLE, _identity(settings), tasks)
        return await client.call(request, monotonic_ms() + REQUEST_TIMEOUT_MS)

    return _run(ask)


def call_ledger(
    settings: OperatorSettings, ask: Callable[[LedgerClient, int], Awaitable[Any]]
) -> Any:
    """Call `ask` with a ledger client and a deadline, and return its result."""

    async def ask_with(tasks: TaskGroup) -> Any:
        client = LedgerClient(settings.ledger, _identity(settings), tasks)
        return await ask(client, monotonic_ms() + REQUEST_TIMEOUT_MS)

    return _run(ask_with)


def _run(ask: Callable[[TaskGroup], Awaitable[Any]]) -> Any:
    async def run() -> Any:
        failure: CinderwayError | None = None
        answer = None
        async with anyio.create_task_group() as tasks:
            try:
                answer = await ask(tasks)
            except CinderwayError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return answer

    return anyio.run(run)


def _identity(settings: OperatorSettings) -> Identity:
    return Identity(OPERATOR_NAME, settings.shared_key)
