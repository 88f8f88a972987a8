"""A planned replacement of a core machine, then the loss of two disks.

The replaced machine has been taken away and its successor has had its time, so that
two more machines may lose their disks. The acknowledged config must still be readable.
"""

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
# The successor counts as lost until catchUpS after its start; a second is added.
SUCCESSOR_TIME_S = BOUNDS["catchUpS"] + 1
# Two machines lose their disks this long after the replaced machine is gone: later than
# any reading of the pages counts it as lost.
NEXT_LOSS_S = BOUNDS["catchUpS"] + 0.2


def play(platform: Platform, record: Record, is_troubled: bool) -> int:
    """Play the events and judge the read back; without trouble nothing is replaced."""
    core, successor = platform.machines[:CORE], platform.machines[CORE]
    operator = Operator(record, [machine.control for machine in platform.machines])
    for machine in core:
        machine.start(bootstrap=True)
    if not operator.put(build_sheet(7), START_LIMIT_S):
        return NOT_RUN
    if is_troubled:
        record.write(f"{successor.name} is added with an empty disk")
        successor.start()
    time.sleep(SUCCESSOR_TIME_S)
    if is_troubled:
        replaced = core[4]
        record.write(f"{replaced.name} gets SIGTERM")
        replaced.terminate()
        record.write(f"{replaced.name} has ended and is gone for good")
    next_loss_at_s = time.monotonic() + NEXT_LOSS_S
    if not operator.put(build_sheet(8), BOUNDS["ackMs"] / 1000):
        return NOT_RUN
    time.sleep(max(next_loss_at_s - time.monotonic(), 0))
    # The replica that acted last is one of the two, as in the bench's `how = leader`.
    leader = operator.find_leader()
    candidates = [*core[:4], successor] if is_troubled else core
    lost = sorted(candidates, key=lambda machine: machine.control != leader)[:2]
    return lose_disks_and_read_back(record, operator, lost, 8)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, machines=CORE + 1, subnet=23))
