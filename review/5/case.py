"""Whether an acknowledged config outlives a freeze and two lost disks."""

import asyncio
import json
import os
import shutil
import signal
import sys
import time
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib2"))

from fleet2 import (
    BOUNDS,
    RUN_LIMIT_S,
    Fleet,
    Record,
    build_route,
    build_sheet,
    call_any,
)

# 0: none of the disruptions. 2: all but the freeze, to show that it takes this one.
TROUBLE = os.environ.get("TROUBLE", "1")
CATCH_UP_S = BOUNDS["catchUpS"]
RECOVERY_S = BOUNDS["recoveryS"]
FREEZE_S = 5.0
# Which of the five machines is frozen, which one is replaced, and whose disks are lost.
FROZEN, REPLACED, WIPED = 3, 1, (2, 4)


def find_controls(fleet):
    """Return the addresses of the nodes that serve control now."""
    return [c.fields["listen"]["control"] for c in fleet.controls if c.is_running]


async def put_order(fleet, record, version, timeout):
    """Send an order until it is taken; return whether it was acknowledged."""
    sheet = build_sheet(version, [build_route("look", "repeatable", "desk")], ["desk"])
    until = time.monotonic() + timeout
    answer = await call_any(find_controls(fleet), "PUT", "/v1/sheet", sheet, until)
    is_acknowledged = answer is not None and answer.status == 200
    record.say(f"order {version}: {'acknowledged' if is_acknowledged else 'not taken'}")
    return is_acknowledged


async def read_version(fleet, record, timeout):
    """Read the config back, at any node, for a time; return its version or None."""
    until = time.monotonic() + timeout
    answer = await call_any(find_controls(fleet), "GET", "/v1/sheet", b"", until)
    version = json.loads(answer.body)["version"] if answer is not None else None
    record.say(f"read back: {'nothing' if version is None else f'order {version}'}")
    return version


async def disturb(fleet, record):
    """Replace one machine by a new one as planned, while another one is frozen."""
    successor = fleet.add_control()
    successor.start()
    await asyncio.sleep(CATCH_UP_S - 1.5)
    frozen, replaced = fleet.controls[FROZEN], fleet.controls[REPLACED]
    if TROUBLE != "2":
        frozen.signal(signal.SIGSTOP)
    thaw_at = time.monotonic() + FREEZE_S
    await asyncio.sleep(1.7)
    # The successor has had `catchUpS` since its start.
    replaced.signal(signal.SIGTERM)
    until = time.monotonic() + BOUNDS["graceS"]
    while replaced.is_running and time.monotonic() < until:
        await asyncio.sleep(0.02)
    if replaced.is_running:
        replaced.kill()
    record.write(f"{replaced.name}: gone for good")
    return thaw_at


async def lose_disks(fleet, record):
    """Kill two machines, empty their disks and start them again a second later."""
    lost = [fleet.controls[number] for number in WIPED]
    for process in lost:
        process.kill()
        shutil.rmtree(process.data_folder)
        record.write(f"{process.name}: its disk is lost")
    await asyncio.sleep(1.0)
    for process in lost:
        process.start()


async def run(record, fleet):
    """Return 0 if the newest acknowledged order is read back, 1 if not."""
    fleet.start_all()
    fleet.end_first_start()
    if not await put_order(fleet, record, 1, 20):
        return 2
    await asyncio.sleep(CATCH_UP_S)
    thaw_at = time.monotonic()
    if TROUBLE != "0":
        thaw_at = await disturb(fleet, record)
    if not await put_order(fleet, record, 2, 3):
        return 2
    if TROUBLE != "0":
        await lose_disks(fleet, record)
        await asyncio.sleep(max(thaw_at - time.monotonic(), 0))
        fleet.controls[FROZEN].signal(signal.SIGCONT)
    # All are back: service may rest for `recoveryS`.
    await asyncio.sleep(RECOVERY_S)
    running = [process.name for process in fleet.controls if process.is_running]
    record.say(f"core processes that run: {', '.join(running)}")
    version = await read_version(fleet, record, 2 * BOUNDS["contactMs"] / 1000)
    takes_orders = await put_order(fleet, record, 3, 2 * BOUNDS["ackMs"] / 1000)
    if version != 2:
        record.say("broken: the newest acknowledged order is 2")
    return 0 if version == 2 and takes_orders else 1


async def main():
    """Run the case with a fleet of its own."""
    record = Record(Path(__file__).resolve().parent / "record.txt")
    record.say(f"trouble: {TROUBLE}")
    fleet = Fleet(record, controls=5, entries=0, tolerated=2)
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            return await run(record, fleet)
    finally:
        fleet.stop()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception:
        traceback.print_exc()
        sys.exit(2)
