"""The harm that single safety rules of a replica group prevent, one case for each."""

from cinderway.replication._leader_log import SNAPSHOT_RETRY_MS
from cinderway.replication._messages import (
    AppendRequest,
    JoinRequest,
    SnapshotRequest,
)
from tests.replication.test_core import ClusterCase, Disk, Node


class SafetyCase(ClusterCase):
    """Steps that lead a group into a dangerous state."""

    def others(self, leader):
        return [n for n in self.cluster.nodes.values() if n is not leader]

    def cut(self, one, other):
        """Block all messages between two nodes."""
        self.cluster.cuts |= {
            (one.address, other.address),
            (other.address, one.address),
        }

    def deliver_all(self):
        while self.cluster.messages:
            self.cluster.deliver_one(self.cluster.messages.pop(0))

    def run_with_commands(self, ms):
        """Let time pass while commands arrive and replicas without a log ask to join.

        Messages arrive within a tick, in the order in which they were sent.
        """
        for _ in range(ms // 20):
            self.cluster.pass_time(20)
            self.cluster.propose()
            self.cluster.join()
            self.deliver_all()

    def run_idle(self, ms):
        """Let time pass without commands; messages arrive as above."""
        for _ in range(ms // 20):
            self.cluster.pass_time(20)
            self.deliver_all()

    def acknowledged(self):
        return set(self.cluster.acknowledged.values())

    def assert_commands_are_acknowledged(self):
        before = len(self.acknowledged())
        self.run_with_commands(2_000)
        self.assertGreater(len(self.acknowledged()), before)

    def add_node(self, number):
        """Start a replica with an empty disk at an address of its own."""
        node = Node(number, f"a{number}", Disk(), number, self.cluster.now_ms)
        self.cluster.nodes[node.address] = node
        return node

    def ask_to_join(self, node, leader):
        """Deliver a join request; the leader's messages remain in transit."""
        request = JoinRequest(node.replica_id, 0, node.address, 0)
        self.cluster.deliver_one((node.address, leader.address, request))

    def step_until(self, is_reached):
        """Let time pass and deliver messages singly until a condition holds."""
        for _ in range(400):
            self.cluster.pass_time(20)
            while self.cluster.messages:
                self.cluster.deliver_one(self.cluster.messages.pop(0))
                if is_reached():
                    self.cluster.messages.clear()
                    return
        raise AssertionError("the state was not reached")

    def snapshot_for(self, node):
        """Return the snapshot on its way to a node that has missed the log's start."""
        for _ in range(100):
            self.cluster.pass_time(20)
            while self.cluster.messages:
                sent = self.cluster.messages.pop(0)
                if sent[1] == node.address and isinstance(sent[2], SnapshotRequest):
                    return sent
                self.cluster.deliver_one(sent)
        raise AssertionError("no snapshot was sent")


class PreviousIdentityTest(SafetyCase):
    """Without the check, a snapshot for the previous identity ends the join requests.

    The new identity would take itself for a member and never become one. The group
    would keep a voter that no longer exists, and the next failure would end its quorum.
    """

    def test_a_snapshot_for_the_lost_identity_does_not_prevent_its_replacement(self):
        leader = self.leader()
        lost, other = self.others(leader)
        number = int(lost.address[1:])
        self.cluster.kill(number, written=True)
        self.run_with_commands(200)
        self.cluster.compact(int(leader.address[1:]))
        self.cluster.restart(number)
        late = self.snapshot_for(lost)
        self.cluster.messages.clear()
        self.cluster.lose_disk(number)
        self.cluster.deliver_one(late)
        self.run_with_commands(1_000)
        self.cluster.kill(int(other.address[1:]), written=True)
        self.assert_commands_are_acknowledged()


class LeaderContactTest(SafetyCase):
    """Without the rule, a replica cut off from the leader alone is elected.

    The old leader is then the one without contact, so the leadership would move back
    and forth for as long as the cut lasts. No commands arrive, because a replica that
    has missed one gets no vote anyway.
    """

    def test_a_replica_cut_off_from_the_leader_alone_does_not_depose_it(self):
        leader = self.leader()
        term = leader.core.term
        self.cut(leader, self.others(leader)[0])
        self.run_idle(4_000)
        self.assertTrue(leader.core.is_leader)
        self.assertEqual(leader.core.term, term)


class ReadConfirmationTest(SafetyCase):
    """Without the confirmation, a replaced leader answers from its outdated state."""

    def test_a_replaced_leader_confirms_no_read_that_misses_an_acknowledged_write(self):
        old = self.leader()
        old.core.transfer_leadership()
        self.cluster.flush(old)
        for node in self.others(old):
            self.cluster.cuts.add((node.address, old.address))
        self.deliver_all()
        self.cluster.propose()
        self.deliver_all()
        self.assertTrue(self.acknowledged())
        self.assertTrue(old.core.is_leader)
        # The cluster compares each confirmed read with the acknowledged commands.
        self.cluster.read()
        self.deliver_all()


class LearnerPromotionTest(SafetyCase):
    """Without the rule, a learner that never received anything counts as caught up.

    In a short log even an empty learner is within the permitted distance of the end.
    As a voter that does not answer, beside one that is gone, it ends the quorum.
    """

    def test_a_learner_that_received_nothing_does_not_end_the_quorum(self):
        leader = self.leader()
        gone, _ = self.others(leader)
        self.cluster.kill(int(gone.address[1:]), written=True)
        joining = self.add_node(9)
        self.ask_to_join(joining, leader)
        joining.is_up = False
        self.run_with_commands(1_000)
        self.assert_commands_are_acknowledged()


class SilentLearnerTest(SafetyCase):
    """Without the rule, a learner that has died since it caught up becomes a voter.

    The change that added the learner is committed only later, because messages with
    entries do not reach a voter that answers heartbeats (as where large packets are
    lost). As a voter that does not answer, the learner ends the quorum.
    """

    def run_without_entries_for(self, node, ms):
        for _ in range(ms // 20):
            self.cluster.pass_time(20)
            while self.cluster.messages:
                sent = self.cluster.messages.pop(0)
                has_entries = isinstance(sent[2], AppendRequest) and sent[2].entries
                if sent[1] != node.address or not has_entries:
                    self.cluster.deliver_one(sent)

    def test_a_learner_that_died_after_it_caught_up_does_not_end_the_quorum(self):
        leader = self.leader()
        gone, behind = self.others(leader)
        self.cluster.kill(int(gone.address[1:]), written=True)
        joining = self.add_node(9)
        self.ask_to_join(joining, leader)
        # A member that asks again gets a snapshot.
        self.ask_to_join(joining, leader)
        self.run_without_entries_for(behind, 100)
        progress = leader.core.progress[9]
        self.assertGreaterEqual(progress.match_index, progress.joined_at_index)
        joining.is_up = False
        self.run_without_entries_for(behind, 1_000)
        self.assertTrue(leader.core.is_leader)
        # Without commands, the learner's log stays near the end of the leader's.
        self.run_idle(200)
        self.assert_commands_are_acknowledged()


class IdentityReplacementTest(SafetyCase):
    """Without the order, the old and the new identity each form a majority.

    The data folder was only unavailable for a while, for example not mounted, and the
    old identity returns with its vote and log. With a replica that has not heard of the
    replacement, it could elect a leader that lacks what the new one acknowledged.
    """

    def test_an_old_identity_that_returns_loses_no_acknowledged_command(self):
        leader = self.leader()
        lost, behind = self.others(leader)
        old_id, old_disk = lost.replica_id, lost.disk
        # A leader replaces a member only once it is out of contact with it.
        self.cluster.kill(int(lost.address[1:]), written=True)
        self.run_with_commands(1_000)
        self.cut(leader, behind)
        self.cut(lost, behind)
        self.cluster.lose_disk(int(lost.address[1:]))
        self.run_with_commands(600)
        lost.is_up = False
        lost.replica_id, lost.disk = old_id, old_disk
        lost.start(self.cluster.now_ms)
        self.cluster.cuts.clear()
        self.cut(leader, lost)
        self.cut(leader, behind)
        # The cluster fails if two commands are committed at one index.
        self.assert_commands_are_acknowledged()
        self.cluster.settle()


class SingleChangeTest(SafetyCase):
    """Without the rule, two changes in a row give majorities without a common replica.

    The leader and two new voters are three of five, while the other two are still a
    majority of the three that they know.
    """

    def test_two_joining_replicas_do_not_let_two_leaders_acknowledge(self):
        leader = self.leader()
        others = self.others(leader)
        learners = [self.add_node(8), self.add_node(9)]
        for learner in learners:
            self.ask_to_join(learner, leader)
            self.cluster.cuts.add((learner.address, leader.address))
        # The learners answer only the second snapshot, so that both become voters
        # while the leader is partitioned from the others.
        self.run_with_commands(SNAPSHOT_RETRY_MS - 100)
        membership = leader.core.membership
        self.assertEqual(membership.members.keys() - membership.voters, {8, 9})
        self.cluster.cuts.clear()
        for node in others:
            self.cut(leader, node)
            for learner in learners:
                self.cut(learner, node)
        self.run_with_commands(400)
        self.assertGreater(len(leader.core.membership.voters), 3)
        # The cluster fails if two commands are committed at one index.
        self.run_with_commands(2_000)
        self.cluster.settle()
