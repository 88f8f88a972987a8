"""What replicas tell each other and entries of entries that relay requests."""

import unittest

from cinderway._ids import Address
from cinderway.control._relay_directory import (
    FORGET_AFTER_MS,
    SHARE_INTERVAL_MS,
    SHARED_LIMIT,
    RelayDirectory,
)

OWN, OTHER = [[Address(f"10.{n}.0.{i}:7") for i in range(40)] for n in range(2)]


class RelayDirectoryTests(unittest.TestCase):
    def setUp(self):
        self.directory = RelayDirectory(Address("10.0.0.200:1"))

    def test_changes_are_shared_at_once_and_all_again_after_a_while(self):
        shared = self.directory.pop_due(OWN, 0)
        self.assertEqual(len(shared), SHARED_LIMIT)
        self.assertIsNone(self.directory.pop_due(OWN, 1))
        self.assertIsNotNone(self.directory.pop_due(OWN[:5], 2))
        self.assertIsNotNone(self.directory.pop_due(OWN[:5], 2 + SHARE_INTERVAL_MS))

    def test_entries_are_told_of_all_halls_until_a_replica_is_long_silent(self):
        self.directory.record_shared("r2", OTHER[:3], 0)
        self.assertEqual(
            self.directory.select_relays(OWN[:2], 0), sorted(OWN[:2] + OTHER[:3])
        )
        self.assertEqual(
            self.directory.select_relays(OWN[:2], FORGET_AFTER_MS), OWN[:2]
        )
