"""Requests to the HTTP interface of a control replica."""

from typing import Annotated

import httpcore
import typer

from cinderway._errors import CinderwayError, ErrorCode, Step

OK = 200
TIMEOUT_S = 2.0

Replicas = Annotated[
    list[str], typer.Argument(help="IP-number:port of replicas' HTTP interfaces.")
]


def get_from_replica(replica: str, path: str) -> bytes:
    """Send a GET request to a replica and return the body of its answer."""
    return call_replica("GET", replica, path)


def call_replica(method: str, replica: str, path: str) -> bytes:
    """Send a request to a replica and return the body of its answer.

    Raises CinderwayError with PEER_UNREACHABLE if there is no answer or its status is
    not 200.
    """
    limits = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    try:
        answer = httpcore.request(
            method, f"http://{replica}{path}", extensions={"timeout": limits}
        )
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise CinderwayError(
            ErrorCode.PEER_UNREACHABLE,
            f"the replica does not answer: {str(error) or type(error).__name__}",
            step=Step.CONNECT,
            peer=replica,
        ) from error
    if answer.status != OK:
        raise CinderwayError(
            ErrorCode.PEER_UNREACHABLE,
            f"the replica answered with status {answer.status}",
            step=Step.RECEIVE,
            peer=replica,
        )
    return answer.content
