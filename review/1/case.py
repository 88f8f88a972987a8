"""A core machine freezes while another one is being replaced as planned.

The frozen machine is back and has had its time long before two others lose their
disks. The acknowledged config must still be readable.
"""

import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BOUNDS,
    NOT_RUN,
    START_LIMIT_S,
    Operator,
    Platform,
    Record,
    build_sheet,
    lose_disks_and_read_back,
    run_case,
)

CORE = 5
# The freeze begins this long after the successor's start.
FREEZE_AFTER_S = 1.5
FREEZE_S = 7.0
# A machine counts as lost until catchUpS after it is back; a second is added.
RETURN_TIME_S = BOUNDS["catchUpS"] + 1
# Calm time before the next loss, far longer than any bound of the pages.
CALM_S = 9.0


def play(platform: Platform, record: Record, is_troubled: bool) -> int:
    """Play the events and judge the read back; without trouble nothing freezes."""
    core, successor = platform.machines[:CORE], platform.machines[CORE]
    frozen, replaced = core[1], core[4]
    operator = Operator(record, [machine.control for machine in platform.machines])
    for machine in core:
        machine.start(bootstrap=True)
    if not operator.put(build_sheet(7), START_LIMIT_S):
        return NOT_RUN
    record.write(f"{successor.name} is added with an empty disk")
    successor.start()
    time.sleep(FREEZE_AFTER_S)
    if is_troubled:
        record.write(f"{frozen.name} freezes for {FREEZE_S:g} s")
        frozen.process.send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    if is_troubled:
        frozen.process.send_signal(signal.SIGCONT)
        record.write(f"{frozen.name} wakes")
    time.sleep(RETURN_TIME_S)
    record.write(f"{replaced.name} gets SIGTERM and is gone for good")
    replaced.terminate()
    if not operator.put(build_sheet(8), BOUNDS["ackMs"] / 1000):
        return NOT_RUN
    time.sleep(CALM_S)
    return lose_disks_and_read_back(record, operator, core[2:4], 8)


if __name__ == "__main__":
    sys.exit(
        run_case(
            FOLDER / "record.txt",
            play,
            is_troubled=os.environ.get("TROUBLE") != "0",
            machines=CORE + 1,
            subnet=21,
        )
    )
