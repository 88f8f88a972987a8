"""Tests of control replicas that are killed, suspended or lose their disks."""

import shutil

from tests.system.support import FleetCase


class ControlTest(FleetCase):
    def test_accepted_edits_survive_the_kill_of_every_control_replica(self):
        for value in range(1, 6):
            self.set_server_weight(value)
        for address in self.fleet.control:
            self.fleet.kill(f"control-{address}")
        for address in self.fleet.control:
            self.fleet.wait_for_exit(f"control-{address}")
            self.fleet.start_replica("control", address)
        self.wait_until(self.find_leader, "a leader after the restart")
        shown = self.fleet.cli("table", "show", "servers").stdout
        self.assertRegex(shown, r"weight +5 ")

    def test_edits_succeed_after_the_leader_is_killed(self):
        leader = self.find_leader()
        self.fleet.kill(f"control-{leader}")
        self.set_server_weight(7)
        self.wait_until(
            lambda: min(map(self.get_applied_revision, self.fleet.entries)) >= 2,
            "the edit applied by all entries",
        )

    def test_replicas_that_lose_their_disks_in_turn_rejoin_without_data_loss(self):
        for number, address in enumerate(self.fleet.control):
            self.set_server_weight(number + 1)
            old_ids = self.wait_for_group()
            self.fleet.kill(f"control-{address}")
            self.fleet.wait_for_exit(f"control-{address}")
            shutil.rmtree(self.fleet.data_folder("control", address))
            self.fleet.start_replica("control", address)
            self.wait_until(
                lambda old_ids=old_ids: self.is_replaced(old_ids),
                "the replica replaced",
            )
        shown = self.fleet.cli("table", "show", "servers").stdout
        self.assertRegex(shown, r"weight +3 ")

    def wait_for_group(self):
        """Return the ids of the three replicas once a quorum confirms them.

        A status that no quorum confirms lists no replicas. Compared with such a list no
        later one looks replaced, and the test timed out waiting for the replacement.
        """
        groups = []

        def has_three_replicas():
            groups.append(self.replica_ids())
            return len(groups[-1]) == 3

        self.wait_until(has_three_replicas, "a confirmed group")
        return groups[-1]

    def replica_ids(self):
        lines = [line.split() for line in self.read_status().splitlines()]
        return {words[1] for words in lines if words and words[0] == "replica"}

    def is_replaced(self, old_ids):
        ids = self.replica_ids()
        return (
            len(ids) == 3
            and len(ids - old_ids) == 1
            and "learner" not in (self.read_status())
        )

    def test_status_names_a_replica_that_is_unresponsive(self):
        follower = next(a for a in self.fleet.control if a != self.find_leader())
        self.fleet.kill(f"control-{follower}", 19)
        self.wait_until(
            lambda: (
                f"at {follower}"
                in "".join(
                    line
                    for line in self.read_status().splitlines()
                    if "CUT OFF" in line
                )
            ),
            "the suspended replica named",
        )

    def test_an_entry_restarted_without_control_gets_the_table_from_its_peers(self):
        self.set_server_weight(9)
        self.wait_until(
            lambda: min(map(self.get_applied_revision, self.fleet.entries)) >= 2,
            "the edit applied by all entries",
        )
        for address in self.fleet.control:
            self.fleet.kill(f"control-{address}")
        entry = self.fleet.entries[0]
        self.fleet.kill(entry.name)
        self.fleet.wait_for_exit(entry.name)
        self.fleet.start_entry(entry)
        self.wait_until(
            lambda: self.fleet.is_ready(entry), "an entry made ready by its peers"
        )
        self.assertGreaterEqual(self.get_applied_revision(entry), 2)

    def test_edit_without_a_quorum_is_refused(self):
        for address in self.fleet.control[:2]:
            self.fleet.kill(f"control-{address}")
        self.assertNotEqual(self.set_server_weight(3, check=False).returncode, 0)
