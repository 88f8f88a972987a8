"""Stateful tests of a replica group under random faults, and focused test cases."""

import random
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cinderway._errors import CinderwayError
from cinderway.replication._core import Replica, Timing
from cinderway.replication._log import Log
from cinderway.replication._messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    HardState,
    JoinRequest,
    Member,
    Membership,
    Snapshot,
    VoteRequest,
)

TIMING = Timing()
SIZE = 3


class Disk:
    """A fake data folder: holds what one replica has synced."""

    def __init__(self, snapshot=None):
        self.snapshot = snapshot
        self.hard_state = HardState(term=1) if snapshot else HardState()
        self.entries = []

    def write(self, output, hard_state):
        if output.snapshot is not None:
            self.snapshot = output.snapshot
            self.hard_state = hard_state
            self.entries = list(output.entries)
            return
        self.hard_state = output.hard_state or self.hard_state
        for entry in output.entries:
            self.entries = [e for e in self.entries if e.index < entry.index]
            self.entries.append(entry)

    def log(self):
        log = Log(self.snapshot) if self.snapshot else Log()
        log.append([e for e in self.entries if e.index > log.snapshot.index])
        return log


class Node:
    """A replica with its disk and its applied commands."""

    def __init__(self, replica_id, address, disk, seed, now_ms):
        self.replica_id = replica_id
        self.address = address
        self.disk = disk
        self.seed = seed
        self.start(now_ms)

    def start(self, now_ms):
        log = self.disk.log()
        self.core = Replica(
            self.replica_id,
            self.address,
            log,
            self.disk.hard_state,
            TIMING,
            random.Random(self.seed),
            now_ms,
        )
        self.applied = _decode(log.snapshot.data)
        self.is_up = True
        self.is_frozen = False
        self.output = None
        self.is_written = False


def _decode(data):
    return [part for part in data.split(b",") if part]


class Cluster(RuleBasedStateMachine):
    """Generates faults and checks that no acknowledged command is lost.

    Messages are dropped, delayed, duplicated, reordered, or blocked in one direction
    between two replicas; nodes are frozen or killed, or lose their disk. A node's
    output is written first and only then sent, and a kill may come between any two of
    these steps.
    """

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.now_ms = 0
        self.rng = random.Random(seed)
        self.messages = []
        self.cuts = set()
        self.next_id = SIZE + 1
        self.next_command = 0
        self.acknowledged = {}
        self.pending = {}
        self.reads = {}
        self.next_read = 0
        self.committed = {}
        self.leaders = {}
        self.lost_disks = 0
        members = {i: Member(f"a{i}", is_voter=True) for i in range(1, SIZE + 1)}
        initial = Snapshot(1, 1, Membership(7, members).encode(), b"")
        self.nodes = {
            f"a{i}": Node(i, f"a{i}", Disk(initial), seed + i, 0) for i in members
        }
        self.settle()

    # Rules.

    @rule(ms=st.sampled_from([20, 60, 200, 900]))
    def pass_time(self, ms):
        self.now_ms += ms
        for node in self.running():
            node.core.tick(self.now_ms)
            self.flush(node)

    @rule(ms=st.sampled_from([100, 500, 2000]), lost_share=st.sampled_from([0, 0.2]))
    def run_on(self, ms, lost_share):
        """Let time pass while messages are delivered and commands arrive."""
        for _ in range(ms // 20):
            self.pass_time(20)
            if self.rng.random() < 0.2:
                self.propose()
                self.read()
            if self.rng.random() < 0.1:
                self.join()
            self.messages = [
                m for m in self.messages if self.rng.random() >= lost_share
            ]
            self.deliver(20)

    @rule(count=st.integers(1, 30))
    def deliver(self, count):
        for _ in range(min(count, len(self.messages))):
            position = self.rng.randrange(min(len(self.messages), 6))
            self.deliver_one(self.messages.pop(position))

    @rule()
    def drop_some(self):
        self.messages = [m for m in self.messages if self.rng.random() < 0.5]

    @rule()
    def duplicate_some(self):
        copies = [m for m in self.messages if self.rng.random() < 0.3]
        self.messages += copies
        self.rng.shuffle(self.messages)

    @rule(sender=st.integers(1, SIZE), receiver=st.integers(1, SIZE))
    def cut_one_way(self, sender, receiver):
        self.cuts.add((f"a{sender}", f"a{receiver}"))

    @rule()
    def heal_cuts(self):
        self.cuts.clear()

    @rule(number=st.integers(1, SIZE))
    def freeze(self, number):
        self.nodes[f"a{number}"].is_frozen = True

    @rule()
    def thaw(self):
        for node in self.nodes.values():
            node.is_frozen = False

    @rule(number=st.integers(1, SIZE), written=st.booleans())
    def kill(self, number, written):
        node = self.nodes[f"a{number}"]
        if not node.is_up:
            return
        output = node.core.take_output()
        self.send(node, output.take_early_messages())
        if written and output.has_records:
            node.disk.write(output, node.core.hard_state)
        node.is_up = False

    @rule(number=st.integers(1, SIZE))
    def restart(self, number):
        node = self.nodes[f"a{number}"]
        if not node.is_up:
            node.start(self.now_ms)

    @precondition(lambda self: self.can_lose_a_disk())
    @rule(number=st.integers(1, SIZE))
    def lose_disk(self, number):
        """Restart a node with an empty disk: a new replica id at the same address."""
        node = self.nodes[f"a{number}"]
        self.kill(number, written=False)
        self.lost_disks += 1
        node.replica_id = self.next_id
        self.next_id += 1
        node.disk = Disk()
        node.start(self.now_ms)

    @rule()
    def join(self):
        for node in self.running():
            if not node.core.membership.members:
                request = JoinRequest(node.replica_id, 0, node.address, 0)
                for address in self.nodes:
                    if address != node.address:
                        self.messages.append((node.address, address, request))

    @rule()
    def propose(self):
        for node in self.running():
            if node.core.is_leader:
                self.next_command += 1
                command = b"%d" % self.next_command
                try:
                    index = node.core.propose(command)
                except CinderwayError:
                    continue
                key = (node.address, index, node.core.term)
                self.pending[key] = command
                self.flush(node)

    @rule()
    def read(self):
        for node in self.running():
            if node.core.is_leader:
                self.next_read += 1
                try:
                    node.core.request_read(self.next_read)
                except CinderwayError:
                    continue
                self.reads[self.next_read] = set(self.acknowledged.values())
                self.flush(node)

    @rule()
    def hand_over(self):
        for node in self.running():
            node.core.transfer_leadership()
            self.flush(node)

    @rule(number=st.integers(1, SIZE))
    def compact(self, number):
        node = self.nodes[f"a{number}"]
        core = node.core
        index = core._delivered_index
        if not node.is_up or index <= core.log.snapshot.index:
            return
        snapshot = Snapshot(
            index,
            core.log.term_at(index),
            core.log.membership_at(index).encode(),
            b",".join(node.applied),
        )
        node.disk.snapshot = snapshot
        core.compact(snapshot)

    @rule()
    def settle(self):
        """Remove all partitions and run all replicas: the group must make progress."""
        self.cuts.clear()
        for node in self.nodes.values():
            node.is_frozen = False
            if not node.is_up:
                node.start(self.now_ms)
        for _ in range(400):
            self.now_ms += 20
            self.join()
            for node in self.running():
                node.core.tick(self.now_ms)
                self.flush(node)
            while self.messages:
                self.deliver_one(self.messages.pop(0))
            if self.is_settled():
                break
        assert self.is_settled(), "the group did not settle"
        leader = next(n for n in self.running() if n.core.is_leader)
        assert set(self.acknowledged.values()) <= set(leader.applied)

    # Invariants.

    @invariant()
    def acknowledged_commands_are_never_lost(self):
        for index, command in self.acknowledged.items():
            assert self.committed[index][1] == command

    @invariant()
    def one_leader_a_term(self):
        for node in getattr(self, "nodes", {}).values():
            if node.is_up and node.core.is_leader:
                holder = self.leaders.setdefault(node.core.term, node.replica_id)
                assert holder == node.replica_id, "two leaders in one term"

    # Helpers.

    def running(self):
        return [n for n in self.nodes.values() if n.is_up and not n.is_frozen]

    def can_lose_a_disk(self):
        """Whether all nodes are voters of a leader's committed membership.

        Losing a disk at any other time could lose a majority permanently.
        """
        if not hasattr(self, "nodes") or self.lost_disks >= 3:
            return False
        ids = {n.replica_id for n in self.nodes.values()}
        leaders = [n for n in self.running() if n.core.is_leader]
        return any(
            node.core.membership.voters == ids
            and node.core.log.membership_index <= node.core.commit_index
            and node.core.progress.keys() == ids
            for node in leaders
        )

    def is_settled(self):
        ids = {n.replica_id for n in self.nodes.values()}
        leaders = [n for n in self.running() if n.core.is_leader]
        if len(leaders) != 1 or leaders[0].core.membership.voters != ids:
            return False
        ends = {n.core._delivered_index for n in self.running()}
        return ends == {leaders[0].core.log.last_index}

    def deliver_one(self, sent):
        source, target, message = sent
        node = self.nodes[target]
        if (source, target) in self.cuts or not node.is_up:
            return
        if node.is_frozen:
            self.messages.append(sent) if len(self.messages) < 200 else None
            node.is_frozen = self.rng.random() < 0.5
            return
        node.core.step(message, self.now_ms)
        self.flush(node)

    def flush(self, node):
        """Process a node's output as the driver does: write, then send, then apply."""
        while True:
            output = node.core.take_output()
            self.send(node, output.take_early_messages())
            if output.has_records:
                last = (node.core.log.last_index, node.core.log.last_term)
                node.disk.write(output, node.core.hard_state)
                if output.snapshot is not None:
                    node.applied = _decode(output.snapshot.data)
                node.core.record_persisted(*last)
            self.send(node, output.outgoing)
            for entry in output.committed:
                self.apply(node, entry)
            for read in output.reads:
                seen = set(node.applied)
                assert self.reads[read.read_id] <= seen, "a read was stale"
            if not (output.has_records or output.committed):
                return

    def send(self, node, outgoing):
        for sent in outgoing:
            self.messages.append((node.address, sent.address, sent.message))

    def apply(self, node, entry):
        known = self.committed.setdefault(entry.index, (entry.term, entry.data))
        assert known == (entry.term, entry.data), "two entries at one index"
        if entry.kind is EntryKind.COMMAND:
            node.applied.append(entry.data)
        command = self.pending.get((node.address, entry.index, entry.term))
        if command == entry.data:
            self.acknowledged[entry.index] = command


class ClusterTest(unittest.TestCase):
    def test_guarantees_hold_under_any_mix_of_faults(self):
        run_state_machine_as_test(
            Cluster, settings=settings(max_examples=250, stateful_step_count=60)
        )


class StartTest(unittest.TestCase):
    """Elections of a replica that has not heard from a leader since its start."""

    TIMING = Timing(startup_min_ms=100, startup_max_ms=300)

    def setUp(self):
        members = {i: Member(f"a{i}", is_voter=True) for i in (1, 2, 3)}
        initial = Snapshot(5, 2, Membership(7, members).encode(), b"")
        self.replica = Replica(
            1, "a1", Log(initial), HardState(2), self.TIMING, random.Random(1), 0
        )

    def requests_votes_within(self, ms, since_ms=0):
        for now_ms in range(since_ms, since_ms + ms, 10):
            self.replica.tick(now_ms)
            sent = [o.message for o in self.replica.take_output().outgoing]
            if any(isinstance(message, VoteRequest) for message in sent):
                return True
        return False

    def receive_heartbeat(self, now_ms):
        request = AppendRequest(
            sender=2,
            target=1,
            term=2,
            previous_index=5,
            previous_term=2,
            commit_index=5,
            round=1,
            entries=[],
            sender_address="a2",
        )
        self.replica.step(request, now_ms)

    def test_it_requests_votes_long_before_an_election_timeout(self):
        self.assertTrue(self.requests_votes_within(310))

    def test_it_requests_votes_again_soon_if_nobody_answers(self):
        self.assertTrue(self.requests_votes_within(310))
        self.assertTrue(self.requests_votes_within(310, since_ms=310))

    def test_a_group_with_slow_messages_still_elects_a_leader(self):
        members = {i: Member(f"a{i}", is_voter=True) for i in (1, 2, 3)}
        initial = Snapshot(5, 2, Membership(7, members).encode(), b"")
        timing = Timing(
            election_min_ms=900,
            election_max_ms=1_500,
            startup_min_ms=80,
            startup_max_ms=320,
            quorum_contact_timeout_ms=900,
        )
        replicas = {
            f"a{i}": Replica(
                i, f"a{i}", Log(initial), HardState(2), timing, random.Random(i), 0
            )
            for i in members
        }
        in_transit = []
        for now_ms in range(0, 20_000, 20):
            due = [m for m in in_transit if m[0] <= now_ms]
            in_transit = [m for m in in_transit if m[0] > now_ms]
            for _, address, message in due:
                replicas[address].step(message, now_ms)
            for replica in replicas.values():
                replica.tick(now_ms)
                output = replica.take_output()
                replica.record_persisted(replica.log.last_index, replica.log.last_term)
                in_transit += [
                    (now_ms + 200, o.address, o.message) for o in output.outgoing
                ]
        self.assertTrue(any(replica.is_leader for replica in replicas.values()))

    def test_once_it_has_heard_a_leader_it_waits_a_whole_timeout(self):
        self.receive_heartbeat(50)
        self.assertFalse(self.requests_votes_within(self.TIMING.election_min_ms))


class VoteTest(unittest.TestCase):
    """How one replica answers vote requests."""

    def setUp(self):
        members = {i: Member(f"a{i}", is_voter=True) for i in (1, 2, 3)}
        initial = Snapshot(5, 2, Membership(7, members).encode(), b"")
        self.replica = Replica(
            1, "a1", Log(initial), HardState(2), TIMING, random.Random(1), 0
        )

    def is_granted(self, sender, *, term=3, last=(2, 5), is_pre_vote=False):
        last_term, last_index = last
        request = VoteRequest(
            sender, 1, term, last_index, last_term, is_pre_vote, False, f"a{sender}"
        )
        self.replica.step(request, 0)
        return self.replica.take_output().outgoing[0].message.is_granted

    def test_it_votes_once_per_term(self):
        self.assertTrue(self.is_granted(2))
        self.assertFalse(self.is_granted(3))
        self.assertTrue(self.is_granted(2))

    def test_vote_is_durable_before_it_is_sent(self):
        request = VoteRequest(2, 1, 3, 5, 2, False, False, "a2")
        self.replica.step(request, 0)
        self.assertEqual(self.replica.take_output().hard_state, HardState(3, 2))

    def test_older_log_gets_no_vote(self):
        self.assertFalse(self.is_granted(2, last=(2, 4)))
        self.assertFalse(self.is_granted(2, last=(1, 9)))
        self.assertTrue(self.is_granted(2, last=(2, 5)))

    def test_pre_vote_changes_nothing(self):
        self.assertTrue(self.is_granted(2, is_pre_vote=True))
        self.assertTrue(self.is_granted(3, is_pre_vote=True))
        self.assertEqual(self.replica.term, 2)


class ClusterCase(unittest.TestCase):
    """Base of tests that start from a settled group."""

    def setUp(self):
        self.cluster = Cluster()
        self.cluster.start(seed=1)
        self.cluster.settle()

    def leader(self):
        return next(n for n in self.cluster.running() if n.core.is_leader)

    def run_for(self, ms):
        for _ in range(ms // 20):
            self.cluster.pass_time(20)
            self.cluster.deliver(30)


class QuorumContactTest(ClusterCase):
    """A partitioned leader steps down after `quorum_contact_timeout_ms`."""

    def test_it_steps_down_once_its_quorum_is_silent_for_too_long(self):
        leader = self.leader()
        leader.core.timing = Timing(quorum_contact_timeout_ms=200)
        for address in self.cluster.nodes:
            self.cluster.cuts.add((address, leader.address))
        self.run_for(340)
        self.assertFalse(leader.core.is_leader)


class SuspendedLeaderTest(ClusterCase):
    """A leader resumes after its process stalled or was suspended.

    Old messages wait in its sockets and are read before any timer fires. If it counts
    them as recent contact, it continues to lead and reports its state to the entries as
    current, although the others have elected another leader and acknowledged changes
    that it does not have.
    """

    def reply_to(self, leader):
        """Return a reply to the leader that has not been delivered yet."""
        while True:
            self.cluster.pass_time(20)
            for _, address, message in self.cluster.messages:
                if address == leader.address and isinstance(message, AppendReply):
                    return message
            self.cluster.deliver(20)

    def test_it_steps_down_before_it_processes_messages_from_the_pause(self):
        leader = self.leader()
        reply = self.reply_to(leader)
        resumed_at_ms = self.cluster.now_ms + TIMING.quorum_contact_timeout_ms + 200
        self.assertFalse(leader.core.is_leader_at(resumed_at_ms))
        leader.core.step(reply, resumed_at_ms)
        self.assertFalse(leader.core.is_leader)

    def test_a_pause_too_short_for_another_election_changes_nothing(self):
        leader = self.leader()
        reply = self.reply_to(leader)
        leader.core.step(
            reply, self.cluster.now_ms + TIMING.quorum_contact_timeout_ms // 2
        )
        self.assertTrue(leader.core.is_leader)


class CommitTest(ClusterCase):
    """Followers learn of a commit one message delay after the leader.

    This guards against a leader that acknowledges a change and loses power within
    milliseconds. If only its next heartbeat carried the new commit index, the followers
    would hold the change but could not serve it before they had elected another leader.
    """

    def test_followers_apply_a_command_without_any_time_passing(self):
        self.cluster.propose()
        while self.cluster.messages:
            self.cluster.deliver_one(self.cluster.messages.pop(0))
        applied = [node.applied for node in self.cluster.running()]
        self.assertEqual(applied, [[b"1"]] * 3)


class PartitionTest(ClusterCase):
    """Specific cases of the faults that the stateful test generates at random."""

    def test_leader_that_receives_no_messages_steps_down(self):
        leader = self.leader()
        for address in self.cluster.nodes:
            self.cluster.cuts.add((address, leader.address))
        self.run_for(1200)
        self.assertFalse(leader.core.is_leader)

    def test_replica_that_receives_no_messages_does_not_depose_the_leader(self):
        leader = self.leader()
        term = leader.core.term
        unreachable = next(n for n in self.cluster.nodes.values() if n is not leader)
        for address in self.cluster.nodes:
            self.cluster.cuts.add((address, unreachable.address))
        self.run_for(4000)
        self.assertTrue(leader.core.is_leader)
        self.assertEqual(leader.core.term, term)

    def test_leader_lists_a_replica_whose_messages_are_lost_as_silent(self):
        leader = self.leader()
        unheard = next(n for n in self.cluster.nodes.values() if n is not leader)
        for address in self.cluster.nodes:
            self.cluster.cuts.add((unheard.address, address))
        self.run_for(1200)
        self.assertEqual(leader.core.silent_members(), [unheard.replica_id])

    def test_replica_that_lost_its_disk_gets_a_new_id_before_it_votes(self):
        leader = self.leader()
        lost = next(n for n in self.cluster.nodes.values() if n is not leader)
        old_id = lost.replica_id
        lost.is_up = False
        self.cluster.lose_disk(int(lost.address[1:]))
        self.assertNotEqual(lost.replica_id, old_id)
        self.assertNotIn(lost.replica_id, leader.core.membership.voters)
        self.cluster.settle()
        self.assertIn(lost.replica_id, self.leader().core.membership.voters)
        self.assertNotIn(old_id, self.leader().core.membership.members)

    def test_a_disk_loss_right_after_a_repair_loses_no_command(self):
        cluster = self.cluster
        cluster.propose()
        for number in (1, 2, 3):
            cluster.settle()
            cluster.kill(number, written=True)
            cluster.lose_disk(number)
        cluster.settle()
        self.assertEqual(set(cluster.acknowledged.values()), set(self.leader().applied))
        self.assertTrue(cluster.acknowledged)


class CaughtUpTest(ClusterCase):
    """`has_caught_up` is true only if a replica has all acknowledged commands."""

    def restart_all(self):
        for number in (1, 2, 3):
            self.cluster.kill(number, written=True)
        for number in (1, 2, 3):
            self.cluster.restart(number)

    def test_after_a_full_restart_no_replica_has_caught_up_before_an_election(self):
        self.restart_all()
        nodes = self.cluster.running()
        self.assertFalse(any(node.core.has_caught_up for node in nodes))
        self.cluster.settle()
        self.run_for(400)
        self.assertTrue(all(node.core.has_caught_up for node in nodes))

    def test_a_replica_that_has_caught_up_has_every_acknowledged_command(self):
        for _ in range(5):
            self.cluster.propose()
            self.cluster.settle()
            self.restart_all()
            for _ in range(100):
                self.run_for(20)
                for node in self.cluster.running():
                    if node.core.has_caught_up:
                        known = set(node.applied)
                        self.assertLessEqual(
                            set(self.cluster.acknowledged.values()), known
                        )


class ReplacementTest(ClusterCase):
    """A replica at a new address replaces one that is permanently gone."""

    def setUp(self):
        super().setUp()
        self.gone = next(
            n for n in self.cluster.nodes.values() if n is not self.leader()
        )
        self.set_target_voters(3)

    def set_target_voters(self, voters):
        for node in self.cluster.nodes.values():
            node.core._target_voters = voters

    def add_joining_node(self, contact):
        """Start a replica with an empty disk that asks `contact` to let it join."""
        joining = Node(99, "a9", Disk(), 9, self.cluster.now_ms)
        self.cluster.nodes["a9"] = joining
        request = JoinRequest(99, 0, "a9", 0)
        self.cluster.messages.append(("a9", contact.address, request))
        return joining

    def voters(self):
        return self.leader().core.membership.voters

    def test_a_follower_forwards_a_join_request_to_the_leader(self):
        follower = next(
            n for n in self.cluster.nodes.values() if n is not self.leader()
        )
        self.add_joining_node(follower)
        self.run_for(1000)
        self.assertIn(99, self.voters())

    def test_a_silent_voter_that_is_not_replaced_keeps_its_vote(self):
        self.gone.is_up = False
        self.run_for(TIMING.quorum_contact_timeout_ms + 1000)
        self.assertIn(self.gone.replica_id, self.voters())

    def test_a_silent_voter_is_removed_once_it_is_replaced(self):
        self.gone.is_up = False
        self.add_joining_node(self.leader())
        self.run_for(600)
        self.assertEqual(len(self.voters()), 4)
        self.run_for(TIMING.quorum_contact_timeout_ms + 1000)
        self.assertNotIn(self.gone.replica_id, self.voters())
        self.assertIn(99, self.voters())

    def cut_off(self, node):
        for address in self.cluster.nodes:
            self.cluster.cuts |= {(address, node.address), (node.address, address)}

    def test_a_voter_removed_while_it_was_silent_becomes_a_voter_again(self):
        """Otherwise a dead voter keeps its vote, and a live replica has none."""
        self.add_joining_node(self.leader())
        self.run_for(1000)
        self.cut_off(self.gone)
        self.run_for(TIMING.quorum_contact_timeout_ms + 1000)
        self.assertNotIn(self.gone.replica_id, self.voters())
        self.cluster.cuts.clear()
        self.run_for(3000)
        self.assertIn(self.gone.replica_id, self.voters())

    def test_a_replica_that_knows_of_its_removal_asks_to_join_again(self):
        members = {2: Member("a2", is_voter=True)}
        snapshot = Snapshot(5, 2, Membership(7, members).encode(), b"")
        removed = Replica(
            1, "a1", Log(snapshot), HardState(2), TIMING, random.Random(1), 0, 3
        )
        self.assertTrue(removed.needs_to_join)
        operated = Replica(
            1, "a1", Log(snapshot), HardState(2), TIMING, random.Random(1), 0
        )
        self.assertFalse(operated.needs_to_join)

    def test_a_replica_removed_before_it_learned_that_it_votes_asks_to_join_again(
        self,
    ):
        """It knows itself as a learner, and learners request no votes."""
        members = {1: Member("a1", is_voter=False), 2: Member("a2", is_voter=True)}
        snapshot = Snapshot(5, 2, Membership(7, members).encode(), b"")
        removed = Replica(
            1, "a1", Log(snapshot), HardState(2), TIMING, random.Random(1), 0, 3
        )
        self.assertTrue(removed.needs_to_join)

    def test_a_replica_that_an_operator_removed_stays_out(self):
        self.set_target_voters(0)
        self.leader().core.remove_member(self.gone.replica_id)
        self.run_for(4000)
        self.assertNotIn(self.gone.replica_id, self.voters())

    def test_no_voter_is_removed_if_no_number_of_voters_is_configured(self):
        self.set_target_voters(0)
        self.gone.is_up = False
        self.add_joining_node(self.leader())
        self.run_for(TIMING.quorum_contact_timeout_ms + 2000)
        self.assertEqual(len(self.voters()), 4)
