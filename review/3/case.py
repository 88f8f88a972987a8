"""A planned replacement of a core machine, a killed leader, then two lost disks.

Each event comes when the ones before count as over. The acknowledged config must still
be readable after the last one.
"""

import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BOUNDS,
    NOT_RUN,
    RESTART_DELAY_S,
    START_LIMIT_S,
    Machine,
    Operator,
    Platform,
    Record,
    build_sheet,
    lose_disks_and_read_back,
    run_case,
)

CORE = 5
# A machine counts as lost until catchUpS after its start; a little is added.
RETURN_TIME_S = BOUNDS["catchUpS"] + 0.2
# The leader is killed this long after the replaced machine has ended.
KILL_AFTER_S = 4.0


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
    time.sleep(RETURN_TIME_S)
    if is_troubled:
        replaced = core.pop()
        record.write(f"{replaced.name} gets SIGTERM")
        replaced.terminate()
        record.write(f"{replaced.name} has ended and is gone for good")
        core.append(successor)
    time.sleep(KILL_AFTER_S)
    leader = _put_leader_first(operator, core)[0]
    leader.kill()
    record.write(f"{leader.name}, which leads, is killed")
    time.sleep(RESTART_DELAY_S)
    leader.start()
    record.write(f"{leader.name} starts again with its disk")
    counts_at_s = time.monotonic() + RETURN_TIME_S
    if not operator.put(build_sheet(8), BOUNDS["ackMs"] / 1000):
        return NOT_RUN
    time.sleep(max(counts_at_s - time.monotonic(), 0))
    lost = _put_leader_first(operator, core)[:2]
    return lose_disks_and_read_back(record, operator, lost, 8)


def _put_leader_first(operator: Operator, core: list[Machine]) -> list[Machine]:
    leader = operator.find_leader()
    return sorted(core, key=lambda machine: machine.control != leader)


if __name__ == "__main__":
    sys.exit(
        run_case(
            FOLDER / "record.txt",
            play,
            is_troubled=os.environ.get("TROUBLE") != "0",
            machines=CORE + 1,
            subnet=23,
        )
    )
