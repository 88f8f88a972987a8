"""`python -m bench NAME …`: run one benchmark; without a name, a short run of some."""

import importlib
import sys

NAMES = ("latency", "table", "ledger", "decisions")
BRIEF = {"decisions": ["--trials", "1"]}


def main() -> None:
    """Run the benchmark named on the command line, or else all of `NAMES`."""
    if len(sys.argv) > 1:
        module = importlib.import_module(f"bench.{sys.argv[1]}")
        module.main(sys.argv[2:])
        return
    for name in NAMES:
        print(f"\n## {name}", flush=True)
        importlib.import_module(f"bench.{name}").main(BRIEF.get(name, []))


if __name__ == "__main__":
    main()
