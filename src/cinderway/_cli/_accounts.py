"""`cinderway accounts`: client accounts, what they may send and what they use."""

from collections.abc import Iterable

import msgspec

from cinderway._cli._options import exit_on_error
from cinderway._cli._replica_http import Replicas, read_from
from cinderway.catalog import ACCOUNTS_PATH, AccountUse

HEADER = ("account", "keys", "priority", "rate/s", "burst", "charged", "share", "loans")

_decoder = msgspec.json.Decoder(list[AccountUse])


def accounts(replicas: Replicas) -> None:
    """List client accounts, without their keys; uses are sums over the replicas."""
    with exit_on_error():
        listed = [
            _decoder.decode(read_from(replica, ACCOUNTS_PATH)) for replica in replicas
        ]
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
