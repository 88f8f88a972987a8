"""Refusals of requests, and their removal, survive a power loss of the whole group."""

import unittest

from cinderway._ids import RequestDigest
from cinderway.catalog import (
    AllowRequest,
    CatalogMachine,
    RefuseRequest,
    encode_command,
)
from cinderway.catalog._machine import MAX_REFUSALS
from cinderway.control._poison_store import build_due_commands, build_ruling
from cinderway.poison import END_MEMORY_MS, REFUSED_FOR_MS, PoisonTally, RequestStanding

DIGEST = RequestDigest(b"d" * 16)
WALL_MS = 1_790_000_000_000


def commit_due(machine, tally, now_ms=0, wall_ms=WALL_MS):
    """Let the group commit all due commands; return their number."""
    due = list(build_due_commands(tally.rulings(now_ms), machine, now_ms, wall_ms))
    for command in due:
        machine.apply(1, encode_command(command))
    return len(due)


def restore_from_snapshot(machine):
    """Return a state machine restored from a snapshot."""
    again = CatalogMachine()
    again.restore(machine.capture_snapshot()())
    return again


class PoisonStoreTests(unittest.TestCase):
    def setUp(self):
        self.machine, self.tally = CatalogMachine(), PoisonTally()
        for server in ("a", "b", "c"):
            self.tally.record_end(DIGEST, server, 0)

    def restored_standing(self, now_ms, wall_ms):
        """Return the request's standing at a replica that has the snapshot only."""
        tally = PoisonTally()
        for refused in restore_from_snapshot(self.machine).refused.values():
            tally.apply_ruling(build_ruling(refused, now_ms, wall_ms), now_ms)
        return tally.standing_of(DIGEST, now_ms)

    def test_a_refusal_is_stored_once(self):
        self.assertEqual(commit_due(self.machine, self.tally), 1)
        self.assertEqual(commit_due(self.machine, self.tally), 0)

    def test_after_a_power_loss_a_request_is_refused_for_the_remaining_time(self):
        commit_due(self.machine, self.tally)
        left_ms = 1_000
        wall_ms = WALL_MS + REFUSED_FOR_MS - left_ms
        self.assertIs(self.restored_standing(77, wall_ms), RequestStanding.REFUSED)
        self.assertIs(
            self.restored_standing(77, wall_ms + left_ms), RequestStanding.UNKNOWN
        )

    def test_the_refusal_of_a_cleared_request_is_removed(self):
        commit_due(self.machine, self.tally)
        self.tally.record_good(DIGEST, 1)
        self.assertEqual(commit_due(self.machine, self.tally, now_ms=1), 1)
        self.assertIs(self.restored_standing(2, WALL_MS + 2), RequestStanding.UNKNOWN)

    def test_a_refusal_that_expired_long_ago_is_removed(self):
        commit_due(self.machine, self.tally)
        over_ms = WALL_MS + REFUSED_FOR_MS + END_MEMORY_MS
        due = list(build_due_commands([], self.machine, 0, over_ms))
        self.assertEqual(due, [AllowRequest(DIGEST)])

    def test_a_watched_request_is_not_stored(self):
        tally = PoisonTally()
        for server in ("a", "b"):
            tally.record_end(DIGEST, server, 0)
        self.assertEqual(commit_due(CatalogMachine(), tally), 0)

    def test_refusals_do_not_change_the_catalog_revision(self):
        commit_due(self.machine, self.tally)
        self.assertEqual(self.machine.revision, 0)

    def test_beyond_the_limit_the_oldest_refusals_are_removed(self):
        for number in range(MAX_REFUSALS + 2):
            digest = RequestDigest(number.to_bytes(16))
            command = RefuseRequest(digest, 1, WALL_MS, ["a"], 1)
            self.machine.apply(number + 1, encode_command(command))
        self.assertEqual(len(self.machine.refused), MAX_REFUSALS)
        self.assertNotIn(RequestDigest((1).to_bytes(16)), self.machine.refused)
