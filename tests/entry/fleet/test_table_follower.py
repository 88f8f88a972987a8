import random
import unittest

import msgspec

from cinderway.entry._blackboard import Blackboard
from cinderway.entry.fleet._table_follower import TableFollower
from cinderway.table import Action, Change, Edit, Sheet, TableMachine

CELLS = {"service": "lookup", "data_hall": "suva", "address": "10.0.0.1:80"}


def machine_with(revisions):
    machine = TableMachine()
    changes = [
        Change(Action.CREATE, Sheet.SERVICES, "lookup"),
        Change(Action.CREATE, Sheet.SERVERS, "s1"),
    ]
    for column, value in CELLS.items():
        changes.append(Change(Action.SET, Sheet.SERVERS, "s1", column, value))
    machine.apply_edit(Edit("e0", "op", 0, changes))
    for number in range(1, revisions):
        change = Change(Action.SET, Sheet.SERVERS, "s1", "weight", str(number), number)
        machine.apply_edit(Edit(f"e{number}", "op", number, [change]))
    return machine


class FollowTest(unittest.TestCase):
    def setUp(self):
        self.board = Blackboard("e1", "suva", random.Random(1))
        self.follower = TableFollower(None, self.board, None, None)

    def test_older_table_is_not_installed(self):
        newer, older = machine_with(5), machine_with(3)
        self.follower._apply_delta(newer.table.delta_since(0))
        self.follower._apply_delta(older.table.delta_since(0))
        self.assertEqual(self.board.table.revision, 5)

    def test_damaged_table_does_not_allow_an_older_one(self):
        machine = machine_with(5)
        self.follower._apply_delta(machine.table.delta_since(0))
        newer = machine_with(7).table.delta_since(5)
        self.follower._apply_delta(msgspec.structs.replace(newer, digest=1))
        self.follower._apply_delta(machine_with(3).table.delta_since(0))
        self.assertEqual(len(self.board.table), 0)
        self.follower._apply_delta(machine_with(5).table.delta_since(0))
        self.assertEqual(self.board.table.revision, 5)
        self.assertIn("lookup", self.board.services)
