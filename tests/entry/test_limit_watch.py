"""The number of entries in the fleet, by which each entry divides servers' limits.

Servers state how many connections they accept from all callers together. Guards against
entries in catalog mode that each use the whole limit: they did not know the number of
entries, and each one counted itself as the only one.
"""

import random
import unittest

from cinderway._ids import DataHall, EntryName
from cinderway.entry._blackboard import Blackboard
from cinderway.pushback import EntryGroup


class FleetSizeTests(unittest.TestCase):
    def test_an_entry_that_knows_its_group_counts_all_entries_of_all_groups(self):
        board = Blackboard(EntryName("e1"), DataHall("suva"), random.Random(1))
        names = frozenset(EntryName(f"e{number}") for number in range(8))
        board.apply_group(EntryGroup("a", frozenset("abcde"), names), 0)
        self.assertEqual(board.entry_count, 40)

    def test_an_entry_without_a_group_counts_only_itself(self):
        board = Blackboard(EntryName("e1"), DataHall("suva"), random.Random(1))
        self.assertEqual(board.entry_count, 1)
