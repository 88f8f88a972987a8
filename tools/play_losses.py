"""Play random series of losses on a replica group in virtual time, with fresh seeds.

    python tools/play_losses.py --first 1000 --count 400
    python tools/play_losses.py --machines 3 --tolerated 1 --kinds REPLACE,FREEZE

The tests play a few seeds of the same series. Prints the seeds that fail, and why; the
exit status is 0 only if none does. A tenth of a second each, for five machines.
"""

import argparse
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.replication.losses import Kind, Scope  # noqa: E402
from tests.replication.test_losses import TIMING, run_series  # noqa: E402
from tests.replication.virtual_group import Setup  # noqa: E402


def main() -> int:
    """Play the series and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--machines", type=int, default=5)
    parser.add_argument("--tolerated", type=int, default=2)
    parser.add_argument("--catch-up-ms", type=int, default=4_000)
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--scope", choices=list(Scope.__members__), default="COUNTED")
    parser.add_argument("--kinds", default=",".join(Kind.__members__))
    options = parser.parse_args()
    setup = Setup(options.machines, options.tolerated, TIMING)
    kinds = tuple(Kind[name] for name in options.kinds.split(","))
    failed = []
    for seed in range(options.first, options.first + options.count):
        try:
            run_series(setup, options.catch_up_ms, seed, Scope[options.scope], kinds)
        except AssertionError as error:
            failed.append(seed)
            print(error, flush=True)
    print(f"{options.count} series, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
