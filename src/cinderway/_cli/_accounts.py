"""`cinderway accounts`: client accounts, what they may send and what they use."""

from collections.abc import Iterable
from typing import Annotated

import httpcore
import msgspec
import typer

from cinderway._cli._options import exit_on_error
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.catalog import ACCOUNTS_PATH, AccountUse

OK = 200
TIMEOUT_S = 2.0
HEADER = ("account", "keys", "priority", "rate/s", "burst", "charged", "share", "loans")

_decoder = msgspec.json.Decoder(list[AccountUse])

Replicas = Annotated[
    list[str], typer.Argument(help="IP-number:port of replicas' HTTP interfaces.")
]


def accounts(replicas: Replicas) -> None:
    """List client accounts, without their keys; uses are sums over the replicas."""
    with exit_on_error():
        listed = [_ask(replica) for replica in replicas]
        print("\t".join(HEADER))
        for line in sum_of_uses(listed):
            print("\t".join(_texts_of(line)))


def sum_of_uses(listed: Iterable[list[AccountUse]]) -> list[AccountUse]:
    """Return each account once, with its uses at all replicas added up."""
    found: dict[str, AccountUse] = {}
    for use in (use for uses in listed for use in uses):
        known = found.get(use.name)
        if known is None:
            found[use.name] = use
            continue
        share = None if use.share is None else use.share + (known.share or 0.0)
        found[use.name] = msgspec.structs.replace(
            use,
            charged=use.charged + known.charged,
            share=share,
            borrowed=use.borrowed + known.borrowed,
        )
    return list(found.values())


def _ask(replica: str) -> list[AccountUse]:
    limits = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    try:
        answer = httpcore.request(
            "GET", f"http://{replica}{ACCOUNTS_PATH}", extensions={"timeout": limits}
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
    return _decoder.decode(answer.content)


def _texts_of(use: AccountUse) -> list[str]:
    values = (
        use.name,
        use.key_count,
        use.priority,
        use.rate_per_s,
        use.burst,
        use.charged,
        None if use.share is None else round(use.share, 1),
        use.borrowed,
    )
    return ["-" if value is None else str(value) for value in values]
