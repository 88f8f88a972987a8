"""What is refused outlives a loss of all power, and what is allowed again does too."""

import unittest

from cinderway._ids import RequestDigest
from cinderway.catalog import (
    AllowRequest,
    CatalogMachine,
    RefuseRequest,
    encode_command,
)
from cinderway.catalog._machine import REFUSED_LIMIT
from cinderway.control._poison_store import build_due_commands, build_ruling
from cinderway.poison import REFUSED_FOR_MS, REMEMBERED_MS, PoisonTally, Standing

D = RequestDigest(b"d" * 16)
WALL_MS = 1_790_000_000_000


def stored(machine, tally, now_ms=0, wall_ms=WALL_MS):
    """Let the group commit all that is due; return how many commands that were."""
    due = list(build_due_commands(tally.rulings(now_ms), machine, now_ms, wall_ms))
    for command in due:
        machine.apply(1, encode_command(command))
    return len(due)


def started_again(machine):
    """Return a machine that was restored from a snapshot."""
    again = CatalogMachine()
    again.restore(machine.freeze()())
    return again


class PoisonStoreTests(unittest.TestCase):
    def setUp(self):
        self.machine, self.tally = CatalogMachine(), PoisonTally()
        for server in ("a", "b", "c"):
            self.tally.note_end(D, server, 0)

    def restored(self, now_ms, wall_ms):
        """Return how the request stands for a replica that knows the snapshot only."""
        tally = PoisonTally()
        for refused in started_again(self.machine).refused.values():
            tally.learn(build_ruling(refused, now_ms, wall_ms), now_ms)
        return tally.standing_of(D, now_ms)

    def test_what_is_refused_is_stored_once(self):
        self.assertEqual(stored(self.machine, self.tally), 1)
        self.assertEqual(stored(self.machine, self.tally), 0)

    def test_after_a_loss_of_all_power_it_is_refused_for_the_rest_of_its_time(self):
        stored(self.machine, self.tally)
        left_ms = 1_000
        wall_ms = WALL_MS + REFUSED_FOR_MS - left_ms
        self.assertIs(self.restored(77, wall_ms), Standing.REFUSED)
        self.assertIs(self.restored(77, wall_ms + left_ms), Standing.UNKNOWN)

    def test_what_is_cleared_is_forgotten(self):
        stored(self.machine, self.tally)
        self.tally.note_good(D, 1)
        self.assertEqual(stored(self.machine, self.tally, now_ms=1), 1)
        self.assertIs(self.restored(2, WALL_MS + 2), Standing.UNKNOWN)

    def test_what_has_been_over_for_long_is_forgotten(self):
        stored(self.machine, self.tally)
        over_ms = WALL_MS + REFUSED_FOR_MS + REMEMBERED_MS
        due = list(build_due_commands([], self.machine, 0, over_ms))
        self.assertEqual(due, [AllowRequest(D)])

    def test_a_watched_request_is_not_stored(self):
        tally = PoisonTally()
        for server in ("a", "b"):
            tally.note_end(D, server, 0)
        self.assertEqual(stored(CatalogMachine(), tally), 0)

    def test_refusals_are_no_change_of_the_catalog(self):
        stored(self.machine, self.tally)
        self.assertEqual(self.machine.revision, 0)

    def test_of_too_many_the_oldest_are_forgotten(self):
        for number in range(REFUSED_LIMIT + 2):
            digest = RequestDigest(number.to_bytes(16))
            command = RefuseRequest(digest, 1, WALL_MS, ["a"], 1)
            self.machine.apply(number + 1, encode_command(command))
        self.assertEqual(len(self.machine.refused), REFUSED_LIMIT)
        self.assertNotIn(RequestDigest((1).to_bytes(16)), self.machine.refused)
