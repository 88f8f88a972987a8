"""What an entry learns of the fleet bounds what it takes of a server by itself.

Servers name how many connections they take from all callers together. Entries that
serve by the catalog took the whole of that for themselves: nothing told them how many
they are, and each counted itself as the only one.
"""

import random
import unittest

from cinderway._ids import DataHall, EntryName
from cinderway.entry._blackboard import Blackboard
from cinderway.pushback import EntryGroup


class FleetSizeTests(unittest.TestCase):
    def test_an_entry_that_knows_its_group_counts_the_others_too(self):
        board = Blackboard(EntryName("e1"), DataHall("suva"), random.Random(1))
        names = frozenset(EntryName(f"e{number}") for number in range(8))
        board.use_group(EntryGroup("a", frozenset("abcde"), names), 0)
        self.assertEqual(board.entry_count, 40)

    def test_an_entry_that_knows_of_nobody_counts_itself(self):
        board = Blackboard(EntryName("e1"), DataHall("suva"), random.Random(1))
        self.assertEqual(board.entry_count, 1)
