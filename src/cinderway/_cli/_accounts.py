"""`cinderway accounts`: the limits of client accounts and their use."""

from collections.abc import Iterable

import msgspec

from cinderway._cli._options import exit_on_error
from cinderway._cli._replica_http import Replicas, get_from_replica
from cinderway.catalog import ACCOUNTS_PATH, AccountUse

HEADER = ("account", "keys", "priority", "rate/s", "burst", "charged", "share", "loans")

_decoder = msgspec.json.Decoder(list[AccountUse])


def accounts(replicas: Replicas) -> None:
    """List client accounts without their keys, with their use at all given replicas."""
    with exit_on_error():
        uses_by_replica = [
            _decoder.decode(get_from_replica(replica, ACCOUNTS_PATH))
            for replica in replicas
        ]
        print("\t".join(HEADER))
        for line in sum_uses(uses_by_replica):
            print("\t".join(_format_row(line)))


def sum_uses(uses_by_replica: Iterable[list[AccountUse]]) -> list[AccountUse]:
    """Return each account once, with the sum of its uses at all replicas."""
    totals: dict[str, AccountUse] = {}
    for use in (use for uses in uses_by_replica for use in uses):
        total = totals.get(use.name)
        if total is None:
            totals[use.name] = use
            continue
        share = None if use.share is None else use.share + (total.share or 0.0)
        totals[use.name] = msgspec.structs.replace(
            use,
            charged=use.charged + total.charged,
            share=share,
            borrowed=use.borrowed + total.borrowed,
        )
    return list(totals.values())


def _format_row(use: AccountUse) -> list[str]:
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
