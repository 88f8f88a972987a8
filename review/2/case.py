"""A core machine that has lost its disk is killed while it starts again.

The kill hits it while it writes its first files. Once it has been back for its time,
two others lose their disks. The acknowledged config must still be readable.
"""

import os
import re
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BOUNDS,
    DOWN_S,
    NOT_RUN,
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
# Losses of the disk that are tried until a kill hits the first writes.
ATTEMPTS = 8
START_WATCH_S = 8.0
LOG_FILE = re.compile(r"wal-\d+")
# A machine counts as lost until catchUpS after its start; two seconds are added.
RETURN_TIME_S = BOUNDS["catchUpS"] + 2
NEXT_LOSS_S = 0.5


def play(platform: Platform, record: Record, is_troubled: bool) -> int:
    """Play the events and judge the read back; without trouble there is no kill."""
    core = platform.machines
    operator = Operator(record, [machine.control for machine in core])
    for machine in core:
        machine.start(bootstrap=True)
    if not operator.put(build_sheet(7), START_LIMIT_S):
        return NOT_RUN
    returning = core[4]
    if not is_troubled:
        _lose_disk(returning, record)
    elif not _kill_at_first_writes(returning, record):
        record.write("no kill hit the first writes")
        return NOT_RUN
    returning.start()
    record.write(f"{returning.name} starts, its disk as it was")
    time.sleep(RETURN_TIME_S)
    record.write(f"{returning.name} ended by itself {returning.own_ends} times")
    if not operator.put(build_sheet(8), BOUNDS["ackMs"] / 1000):
        return NOT_RUN
    time.sleep(NEXT_LOSS_S)
    return lose_disks_and_read_back(record, operator, core[2:4], 8)


def _lose_disk(machine: Machine, record: Record) -> None:
    machine.kill()
    machine.lose_disk()
    record.write(f"{machine.name} loses its disk")
    time.sleep(DOWN_S)


def _kill_at_first_writes(machine: Machine, record: Record) -> bool:
    """Kill a machine while it starts with an empty disk; False if no kill hit."""
    for _ in range(ATTEMPTS):
        _lose_disk(machine, record)
        machine.start()
        give_up_at_s = time.monotonic() + START_WATCH_S
        while time.monotonic() < give_up_at_s and not _has_log(machine):
            pass
        machine.kill()
        record.write(f"{machine.name} is killed while it starts: {machine.files}")
        if _has_log(machine) and "identity" not in machine.files:
            return True
    return False


def _has_log(machine: Machine) -> bool:
    return any(map(LOG_FILE.fullmatch, machine.files))


if __name__ == "__main__":
    sys.exit(
        run_case(
            FOLDER / "record.txt",
            play,
            is_troubled=os.environ.get("TROUBLE") != "0",
            machines=CORE,
            subnet=22,
        )
    )
