import random
import unittest

from cinderway.entry._blackboard import Blackboard, ServerState, ServiceState
from cinderway.entry.fleet._platform import (
    InstanceState,
    ListedInstance,
    PlatformList,
    apply_list,
)
from cinderway.entry.servers._slots import find_usable_servers
from cinderway.limits import RetryBudget
from cinderway.table import ServerRow, ServiceRow


def board():
    service = ServiceState(ServiceRow(name="lookup"), RetryBudget(10))
    for number in range(2):
        row = ServerRow(
            name=f"s{number}",
            service="lookup",
            data_hall="suva",
            address=f"10.0.0.{number}:80",
        )
        service.servers[row.name] = ServerState(row)
    found = Blackboard("e1", "suva", random.Random(1))
    found.services["lookup"] = service
    return found


def listed(state):
    return PlatformList([ListedInstance("s0", "10.0.0.0:80", state)])


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.board = board()

    def usable(self):
        return [s.row.name for s in find_usable_servers(self.board.services["lookup"])]

    def test_server_listed_as_leaving_gets_no_new_work(self):
        apply_list(self.board, listed(InstanceState.LEAVING))
        self.assertEqual(self.usable(), ["s1"])

    def test_server_that_is_not_listed_stays_in_use(self):
        apply_list(self.board, listed(InstanceState.LIVE))
        self.assertEqual(self.usable(), ["s0", "s1"])

    def test_list_that_cannot_be_read_removes_no_server(self):
        apply_list(self.board, listed(InstanceState.LEAVING))
        apply_list(self.board, None)
        self.assertEqual(self.usable(), ["s0", "s1"])
