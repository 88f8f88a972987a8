import unittest
from types import SimpleNamespace

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.catalog import CatalogMachine, InstallSheet
from cinderway.control._commands import Commands, can_accept_commands
from cinderway.experiment._virtual_time import run_in_virtual_time
from tests.replication.test_quorum import build_membership

# Operators and servers call another replica if no answer came by then.
CLIENT_TIMEOUT_MS = 1_000


class SilentGroup:
    """A replica's node and its calls to a leader that never answers."""

    leader_address = "10.0.0.1:7100"

    def __init__(self, *, is_leader):
        self.core = SimpleNamespace(is_leader=is_leader, membership=build_membership(1))

    async def propose(self, data, timeout_s):
        await self.call("", data, timeout_s)

    async def call(self, address, message, timeout_s):
        await anyio.sleep(timeout_s)
        raise CinderwayError(ErrorCode.DEADLINE_PASSED, "silent", step=Step.PROPOSE)


class CommandsTests(unittest.TestCase):
    def can_accept(self, voters, *, counts_all_proofs=False, has_sheet=False):
        membership = build_membership(voters, counts_all_proofs=counts_all_proofs)
        return can_accept_commands(membership, 5, has_sheet=has_sheet)

    def test_a_new_group_accepts_no_command_before_enough_replicas_vote(self):
        self.assertFalse(self.can_accept(4))
        self.assertTrue(self.can_accept(5))

    def test_one_machine_may_be_away_from_the_first_start_on(self):
        """No first config was taken for as long as it was away."""
        self.assertTrue(self.can_accept(4, counts_all_proofs=True))
        self.assertFalse(self.can_accept(3, counts_all_proofs=True))

    def test_a_group_that_replaces_a_lost_disk_still_accepts_commands(self):
        self.assertTrue(self.can_accept(4, has_sheet=True))

    def test_a_client_is_answered_before_it_gives_up(self):
        """The answer says that the command may take effect and when to come back."""

        async def measure_submit(group):
            commands = Commands(group, CatalogMachine(), group, target_voters=1)
            began_ms = monotonic_ms()
            with self.assertRaises(CinderwayError):
                await commands.submit(InstallSheet.from_body(b"{}"))
            return monotonic_ms() - began_ms

        for is_leader in (True, False):
            with self.subTest(is_leader=is_leader):
                group = SilentGroup(is_leader=is_leader)
                took_ms = run_in_virtual_time(measure_submit, group)
                self.assertLess(took_ms, CLIENT_TIMEOUT_MS)
