"""Accept authenticated connections and dispatch each to its conversation's handler."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream, TaskStatus

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.wire._codec import Conversation
from cinderway.wire._connection import Connection, Identity, accept, split_address

logger = logging.getLogger(__name__)

Handler = Callable[[Connection, str], Awaitable[None]]


@dataclass(frozen=True)
class Route:
    """A conversation and the handler that serves its connections."""

    conversation: Conversation
    handler: Handler


async def serve_connections(
    address: str,
    routes: tuple[Route, ...],
    identity: Identity,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; `task_status` reports the bound `host:port`.

    An error on one connection ends that connection only.
    """
    conversations = {route.conversation.name: route.conversation for route in routes}
    handlers = {route.conversation.name: route.handler for route in routes}

    async def serve_one(stream: SocketStream) -> None:
        async with stream:
            try:
                connection, name = await accept(stream, conversations, identity)
                await handlers[connection.conversation.name](connection, name)
            except CinderwayError as error:
                logger.debug("connection ended: %s", error)
            except TimeoutError:
                logger.debug("connection ended: the handshake timed out")
            except Exception:
                # An error on one peer's connection must not end the process for others.
                logger.exception("connection ended by an unexpected error")

    host, port = split_address(address)
    try:
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    except OSError as error:
        raise CinderwayError(
            ErrorCode.ADDRESS_UNUSABLE,
            f"cannot listen on {address}: {error.strerror}",
            step=Step.START,
        ) from error
    async with listener:
        bound = listener.extra(anyio.abc.SocketAttribute.local_address)
        task_status.started(f"{bound[0]}:{bound[1]}")
        await listener.serve(serve_one)
