"""What the cases on the first start of the whole system have in common."""

import asyncio
import time

from fleet2 import (
    BOUNDS,
    ClosedError,
    Server,
    build_route,
    build_sheet,
    call,
    call_any,
    wait_ready,
)

# Routes of the order; each adds 3 ms to the time in which it is to be acknowledged.
ROUTES = [
    build_route("look", "repeatable", "lookup"),
    build_route("once", "once", "submit"),
]
ACK_S = BOUNDS["ackMs"] / 1000 + 0.003 * len(ROUTES)
REQUESTS = 20


async def send_first_order(fleet, record, until):
    """Send the first order until it is taken; return the seconds it took or None."""
    controls = [c.fields["listen"]["control"] for c in fleet.controls]
    sheet = build_sheet(1, ROUTES, ["lookup", "submit"])
    started = time.monotonic()
    answer = await call_any(controls, "PUT", "/v1/sheet", sheet, until)
    took = time.monotonic() - started
    if answer is None:
        record.say(f"order: no acknowledgement in {took:.1f} s")
        return None
    record.say(f"order: answered {answer.status} after {took:.1f} s")
    return took if answer.status == 200 else None


async def count_served(fleet, record):
    """Send requests to the entry with a sound server; return how many are served."""
    controls = [c.fields["listen"]["control"] for c in fleet.controls]
    server = Server(record, f"{fleet.net}.200", 0, "i-1", "lookup", "hall-a")
    await server.start()
    server.start_beats(controls)
    entry = fleet.entries[0]
    record.write(f"entry ready: {await wait_ready(entry, 5.0)}")
    served = 0
    for number in range(REQUESTS):
        headers = {
            "Host": "a.example",
            "Cinderway-Attempt-Id": f"a{number}",
            "Cinderway-Deadline-Ms": "4000",
        }
        try:
            answer = await call(
                entry.fields["listen"]["front"], "GET", "/look/x", b"", headers, 5.0
            )
        except (OSError, ClosedError, TimeoutError) as error:
            record.write(f"a{number}: {error!r}")
        else:
            record.write(f"a{number}: {answer.status} {answer.body[:120]}")
            served += answer.status == 200
        await asyncio.sleep(0.2)
    await server.stop()
    record.say(f"requests served: {served} of {REQUESTS}")
    return served
