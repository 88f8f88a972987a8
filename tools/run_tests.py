"""Run the tests side by side with nose2 and print the closing line that CI reads.

    python tools/run_tests.py               on half of the cores
    python tools/run_tests.py --jobs 1      one after the other

Each part runs in a process of its own. A test that no part has run counts as failed. A
failing test that KNOWN-RED.txt lists is printed and passed over; a listed test that
passes is printed too, so that the list stays true.
"""

import argparse
import os
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import nose2

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3
# Their tests take most of the time: each class is a part, and they begin first.
SLOW_FOLDERS = ("system", "experiment")
SLOWEST_PRINTED = 20


class Outcomes(msgspec.Struct):
    """What became of some tests; seconds by the id of each."""

    passed_ids: set[str] = set()
    failed_ids: set[str] = set()
    seconds: dict[str, float] = {}

    def add(self, other: "Outcomes") -> None:
        """Take over another part's."""
        self.passed_ids |= other.passed_ids
        self.failed_ids |= other.failed_ids
        self.seconds |= other.seconds


@dataclass
class Recorder:
    """Collects outcomes from nose2's hooks."""

    outcomes: Outcomes = field(default_factory=Outcomes)
    _started_s: dict[str, float] = field(default_factory=dict)

    def startTest(self, event) -> None:  # noqa: N802 - the hook's name
        """Note when a test begins."""
        self._started_s[event.test.id()] = time.monotonic()

    def testOutcome(self, event) -> None:  # noqa: N802 - the hook's name
        """Take one test's outcome."""
        test_id = event.test.id()
        if event.outcome in ("failed", "error") or (
            event.outcome == "subtest" and event.exc_info
        ):
            # A subtest's id begins with its test's.
            self.outcomes.failed_ids.add(test_id.split(" ")[0])
        elif event.outcome == "passed":
            self.outcomes.passed_ids.add(test_id)
        began_s = self._started_s.get(test_id)
        if began_s is not None:
            self.outcomes.seconds[test_id] = time.monotonic() - began_s


def known_red_tests() -> dict[str, str]:
    """Return the listed test ids, each with its whole line."""
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    listed = {line.split()[0].rstrip(":,"): line for line in lines if line}
    if len(listed) > KNOWN_RED_LIMIT:
        raise SystemExit(
            f"KNOWN-RED.txt lists {len(listed)} tests; {KNOWN_RED_LIMIT} are allowed"
        )
    return listed


def all_test_ids() -> set[str]:
    """Return the id of every test below tests/."""
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    return {test.id() for test in _tests_in(suite)}


def _tests_in(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _tests_in(item)
        else:
            yield item


def parts_of(test_ids: set[str]) -> list[str]:
    """Return the names of the parts that hold these tests, the slow ones first."""
    slow, others = set(), set()
    for test_id in test_ids:
        words = test_id.split(".")
        if words[1] in SLOW_FOLDERS:
            slow.add(".".join(words[:-1]))
        else:
            others.add(".".join(words[:2]))
    return sorted(slow, reverse=True) + sorted(others)


def run_here(names: list[str], outcomes_file: Path) -> int:
    """Run the named tests in this process, and write what became of them."""
    recorder = Recorder()
    nose2.discover(
        exit=False,
        argv=["nose2", "-s", "tests", "-t", ".", "--log-level", "ERROR", *names],
        extraHooks=[("startTest", recorder), ("testOutcome", recorder)],
    )
    outcomes_file.write_bytes(msgspec.json.encode(recorder.outcomes))
    return 0


def run_part(name: str, folder: Path) -> Outcomes:
    """Run one part in a process of its own; print what it says if a test failed."""
    file = folder / f"{name}.json"
    began_s = time.monotonic()
    done = subprocess.run(
        [sys.executable, __file__, "--outcomes", str(file), name],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    if not file.exists():
        print(f"{name} ended with code {done.returncode}\n{done.stdout}", flush=True)
        return Outcomes()
    found = msgspec.json.decode(file.read_bytes(), type=Outcomes)
    print(
        f"{name}: {len(found.passed_ids - found.failed_ids)} passed, "
        f"{len(found.failed_ids)} failed, {time.monotonic() - began_s:.0f} s",
        flush=True,
    )
    if found.failed_ids:
        print(done.stdout, flush=True)
    return found


def run_side_by_side(test_ids: set[str], jobs: int) -> Outcomes:
    """Run all tests, so many parts at a time."""
    outcomes = Outcomes(set(), set(), {})
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(jobs) as pool:
        for found in pool.map(
            lambda name: run_part(name, Path(folder)), parts_of(test_ids)
        ):
            outcomes.add(found)
    return outcomes


def print_slowest(outcomes: Outcomes) -> None:
    """Print the tests that take longest."""
    slowest = sorted(outcomes.seconds.items(), key=lambda item: -item[1])
    for test_id, seconds in slowest[:SLOWEST_PRINTED]:
        print(f"{seconds:6.1f} s  {test_id}")


def conclude(outcomes: Outcomes, test_ids: set[str], summary: Path | None) -> int:
    """Print what came of all tests and the closing line; return the exit code."""
    listed = known_red_tests()
    not_run = test_ids - outcomes.passed_ids - outcomes.failed_ids
    for test_id in sorted(not_run):
        print(f"not run: {test_id}")
    failed_ids = outcomes.failed_ids | not_run
    passed_ids = outcomes.passed_ids - failed_ids
    unexpected = failed_ids - listed.keys()
    for test_id in sorted(unexpected - not_run):
        print(f"failed: {test_id}")
    for test_id in sorted(failed_ids & listed.keys()):
        print(f"known red, passed over: {listed[test_id]}")
    for test_id in sorted(listed.keys() - failed_ids):
        print(f"listed in KNOWN-RED.txt but not failing: {test_id}")
    closing_line = f"{len(passed_ids)} passed, {len(unexpected)} failed"
    print(closing_line)
    if summary:
        summary.write_text(closing_line + "\n")
    return 1 if unexpected or not passed_ids else 0


def main() -> int:
    """Run every test below tests/ and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--summary", type=Path, help="also write the closing line here")
    parser.add_argument("--jobs", type=int, default=max((os.cpu_count() or 2) // 2, 1))
    parser.add_argument("--outcomes", type=Path, help="run the names given here")
    options, names = parser.parse_known_args()
    os.chdir(ROOT)
    sys.path.insert(0, str(ROOT))
    if options.outcomes:
        return run_here(names, options.outcomes)
    known_red_tests()
    test_ids = all_test_ids()
    outcomes = run_side_by_side(test_ids, options.jobs)
    print_slowest(outcomes)
    return conclude(outcomes, test_ids, options.summary)


if __name__ == "__main__":
    sys.exit(main())
