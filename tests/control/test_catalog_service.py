import unittest

from cinderway.control._commands import can_accept_commands


class CommandsTests(unittest.TestCase):
    def test_a_new_group_accepts_no_command_before_enough_replicas_vote(self):
        self.assertFalse(can_accept_commands(4, 5, has_sheet=False))
        self.assertTrue(can_accept_commands(5, 5, has_sheet=False))

    def test_a_group_that_replaces_a_lost_disk_still_accepts_commands(self):
        self.assertTrue(can_accept_commands(4, 5, has_sheet=True))
