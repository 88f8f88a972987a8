"""Ask one control replica's HTTP interface for what it lists."""

from typing import Annotated

import httpcore
import typer

from cinderway._errors import CinderwayError, ErrorCode, Step

OK = 200
TIMEOUT_S = 2.0

Replicas = Annotated[
    list[str], typer.Argument(help="IP-number:port of replicas' HTTP interfaces.")
]


def read_from(replica: str, path: str) -> bytes:
    """Return what a replica lists; raises CinderwayError if it does not."""
    return call_replica("GET", replica, path)


def call_replica(method: str, replica: str, path: str) -> bytes:
    """Return a replica's answer; raises CinderwayError if its status is not 200."""
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
            f"the replica answered {answer.status}",
            step=Step.RECEIVE,
            peer=replica,
        )
    return answer.content
