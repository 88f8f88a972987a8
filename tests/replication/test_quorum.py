"""Quorums of a group in which members are replaced, and what proves a lost disk."""

import itertools
import random
import unittest

from cinderway._ids import Address
from cinderway.replication._core import Replica, Role, Timing
from cinderway.replication._log import Log
from cinderway.replication._messages import (
    AppendReply,
    AppendRequest,
    HardState,
    JoinRequest,
    Member,
    Membership,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from cinderway.replication._quorum import (
    copies_needed,
    counts_proven_losses,
    quorum_size,
)
from tests.replication.test_core import TIMING
from tests.replication.virtual_group import Group, Setup

RECOVERY_MS = 15_000
CATCH_UP_MS = 4_000
SETUP = Setup(5, 2, Timing())


def build_membership(voters, tolerated_losses=2, *, counts_all_proofs=False):
    members = {i: Member(f"a{i}", is_voter=True) for i in range(1, voters + 1)}
    return Membership(7, members, tolerated_losses, counts_all_proofs)


class QuorumSizeTests(unittest.TestCase):
    """Every two quorums must share a voter that took part in both.

    The losses proven to one candidate need not be those proven to another. A voter
    whose loss is proven to a candidate has not voted for it, nor acknowledged its
    entries, but may have done so for the other before.
    """

    def memberships(self):
        for tolerated in (1, 2, 3):
            for voters in range(1, 13):
                for counts_all in (False, True):
                    yield build_membership(
                        voters, tolerated, counts_all_proofs=counts_all
                    )

    def sizes(self, membership):
        """Return the quorum's size for each possible number of proven losses."""
        voters = sorted(membership.voters)
        return [
            quorum_size(membership, frozenset(voters[:count]))
            for count in range(len(voters) + 1)
        ]

    def test_two_quorums_overlap_whatever_losses_were_proven_to_each(self):
        for membership in self.memberships():
            voters = len(membership.voters)
            sizes = self.sizes(membership)
            with self.subTest(voters=voters, tolerated=membership.tolerated_losses):
                for count, size in enumerate(sizes):
                    # The other quorum is outside this one and of voters not proven to
                    # be lost to this one's candidate.
                    outside = voters - size - min(count, voters - size)
                    self.assertLess(outside, min(sizes))

    def test_a_quorum_without_proofs_overlaps_even_if_a_proof_is_wrong(self):
        for membership in self.memberships():
            sizes = self.sizes(membership)
            self.assertGreater(sizes[0] + min(sizes), len(membership.voters))

    def test_entries_survive_replaced_members_and_lost_disks_together(self):
        """A majority of seven could vanish: two replaced, and two lost."""
        for tolerated in (1, 2, 3):
            for replaced in range(1, tolerated + 1):
                membership = build_membership(2 * tolerated + 1 + replaced, tolerated)
                with self.subTest(tolerated=tolerated, replaced=replaced):
                    vanished = replaced + tolerated
                    self.assertGreater(copies_needed(membership), vanished)
                    proven = frozenset(itertools.islice(membership.voters, tolerated))
                    left = len(membership.voters) - vanished
                    self.assertGreaterEqual(left, quorum_size(membership, proven))

    def test_a_group_with_one_voter_less_survives_as_many_lost_disks(self):
        """Every entry is on one voter more than are lost, and the rest is a quorum."""
        for tolerated in (1, 2, 3):
            voters = 2 * tolerated
            membership = build_membership(voters, tolerated, counts_all_proofs=True)
            self.assertGreater(copies_needed(membership), tolerated)
            proven = frozenset(itertools.islice(membership.voters, tolerated))
            self.assertEqual(quorum_size(membership, proven), voters - tolerated)

    def test_an_odd_group_without_spare_voters_has_majorities_despite_proofs(self):
        """Two quorums of a majority share one voter, so none can be left out."""
        for voters in (1, 3, 5):
            membership = build_membership(voters, counts_all_proofs=True)
            self.assertFalse(counts_proven_losses(membership))
            self.assertEqual(set(self.sizes(membership)), {voters // 2 + 1})

    def test_without_spare_voters_older_builds_know_no_proofs(self):
        for voters in range(1, 6):
            membership = build_membership(voters)
            self.assertFalse(counts_proven_losses(membership))
            self.assertEqual(set(self.sizes(membership)), {voters // 2 + 1})

    def test_a_plain_membership_has_majorities(self):
        for voters in range(1, 9):
            membership = build_membership(voters, tolerated_losses=0)
            self.assertEqual(set(self.sizes(membership)), {voters // 2 + 1})


class CandidateCase(unittest.TestCase):
    """Replica 1 of six voters requests votes; the others are played by the test."""

    tolerated_losses = 2

    def setUp(self):
        self.now_ms = 0
        membership = build_membership(6, self.tolerated_losses)
        snapshot = Snapshot(5, 2, membership.encode(), b"")
        self.replica = Replica(
            1, "a1", Log(snapshot), HardState(2), TIMING, random.Random(1), 0, 5
        )

    def run_until(self, role):
        """Let time pass until the replica has a role; return its last vote requests."""
        requests = {}
        for _ in range(100):
            for sent in self.replica.take_output().outgoing:
                if isinstance(sent.message, VoteRequest):
                    requests[sent.message.target] = sent.message
            if self.replica.role is role:
                return requests
            self.now_ms += 20
            self.replica.tick(self.now_ms)
        raise AssertionError(f"the replica is not a {role.value}")

    def grant(self, requests, *voters):
        for voter in voters:
            request = requests[voter]
            reply = VoteReply(voter, 1, request.term, True, request.is_pre_vote)
            self.replica.step(reply, self.now_ms)

    def prove_lost(self, requests, voter, *, nonce=None):
        """Answer from a replica without state at a voter's address."""
        nonce = requests[voter].nonce if nonce is None else nonce
        request = JoinRequest(99, 0, f"a{voter}", 0, nonce)
        self.replica.step(request, self.now_ms)

    def end_round(self):
        """Let the time of the current round pass."""
        began_as = self.replica.role
        for _ in range(60):
            self.now_ms += 20
            self.replica.tick(self.now_ms)
            if self.replica.role is not began_as:
                return

    def acknowledge(self, *voters):
        """Let the replica's disk and some voters hold the whole log."""
        core = self.replica
        core.take_output()
        core.record_persisted(core.log.last_index, core.log.last_term)
        for voter in voters:
            reply = AppendReply(voter, 1, core.term, True, core.log.last_index, 1, True)
            core.step(reply, self.now_ms)

    def elect(self):
        """Win an election with three of six votes, as the loss of voter 6 is proven."""
        requests = self.run_until(Role.PRE_CANDIDATE)
        self.grant(requests, 2, 3)
        self.prove_lost(requests, 6)
        requests = self.run_until(Role.CANDIDATE)
        self.grant(requests, 2, 3)


class ProvenLossTests(CandidateCase):
    """Half of the voters elect a leader only if a lost disk is proven to be lost."""

    def test_half_of_the_voters_and_a_proven_loss_elect_a_leader(self):
        self.elect()
        self.assertTrue(self.replica.is_leader)

    def test_half_of_the_voters_alone_elect_nobody(self):
        """The other half may be alive, and elect another leader in the same term."""
        requests = self.run_until(Role.PRE_CANDIDATE)
        self.grant(requests, 2, 3)
        self.end_round()
        self.assertIs(self.replica.role, Role.PRE_CANDIDATE)

    def test_a_proof_counts_only_after_a_round_without_a_full_quorum(self):
        requests = self.run_until(Role.PRE_CANDIDATE)
        self.grant(requests, 2, 3)
        self.prove_lost(requests, 6)
        self.assertIs(self.replica.role, Role.PRE_CANDIDATE)
        self.end_round()
        self.assertIs(self.replica.role, Role.CANDIDATE)

    def test_a_round_ends_once_every_voter_has_voted_or_is_proven_lost(self):
        """A leaving voter may be gone before a whole election timeout has passed."""
        requests = self.run_until(Role.PRE_CANDIDATE)
        self.grant(requests, 2, 3)
        for voter in (4, 5):
            self.prove_lost(requests, voter)
        self.assertIs(self.replica.role, Role.PRE_CANDIDATE)
        self.prove_lost(requests, 6)
        self.assertIs(self.replica.role, Role.CANDIDATE)
        self.assertEqual(self.replica.proven_lost, {4, 5, 6})

    def test_a_loss_proven_during_the_election_does_not_count(self):
        """The lost voter may have voted for another candidate of this term before."""
        requests = self.run_until(Role.PRE_CANDIDATE)
        self.grant(requests, 2, 3, 4)
        self.assertIs(self.replica.role, Role.CANDIDATE)
        self.grant(self.run_until(Role.CANDIDATE), 2, 3)
        self.prove_lost(requests, 6)
        self.assertIs(self.replica.role, Role.CANDIDATE)
        self.end_round()
        self.assertFalse(self.replica.is_leader)

    def test_a_late_answer_to_an_earlier_round_proves_nothing(self):
        """The voter may have replaced the replica that answered."""
        earlier = self.run_until(Role.PRE_CANDIDATE)
        for _ in range(60):
            self.now_ms += 20
            self.replica.tick(self.now_ms)
        requests = self.run_until(Role.PRE_CANDIDATE)
        self.assertNotEqual(earlier[6].nonce, requests[6].nonce)
        self.grant(requests, 2, 3)
        self.prove_lost(requests, 6, nonce=earlier[6].nonce)
        self.end_round()
        self.assertIs(self.replica.role, Role.PRE_CANDIDATE)

    def test_a_join_request_that_answers_no_vote_request_proves_nothing(self):
        """It may be old, or forged by a process at another address."""
        requests = self.run_until(Role.PRE_CANDIDATE)
        self.grant(requests, 2, 3)
        for nonce in (0, 12345):
            self.prove_lost(requests, 6, nonce=nonce)
        self.end_round()
        self.assertIs(self.replica.role, Role.PRE_CANDIDATE)

    def test_a_leader_that_hears_from_a_voter_no_longer_takes_it_for_lost(self):
        self.elect()
        self.assertEqual(self.replica.proven_lost, {6})
        self.replica.step(AppendReply(6, 1, 3, True, 5, 1), self.now_ms)
        self.assertEqual(self.replica.proven_lost, set())

    def test_without_all_voters_support_half_of_them_elect_nobody(self):
        plain = build_membership(6, tolerated_losses=0)
        self.replica.log = Log(Snapshot(5, 2, plain.encode(), b""))
        requests = self.run_until(Role.PRE_CANDIDATE)
        self.grant(requests, 2, 3)
        self.prove_lost(requests, 6)
        self.end_round()
        self.assertIs(self.replica.role, Role.PRE_CANDIDATE)


class SilentVoterTests(CandidateCase):
    """A new leader goes on counting how long a voter has been silent.

    Each election gave a dead voter its time anew, and the leader that followed removed
    any voter that was silent to it, such as one with a slow disk, in its place.
    """

    def receive_heartbeat(self, at_ms, silent_members):
        self.now_ms = at_ms
        request = AppendRequest(2, 1, 2, 5, 2, 5, 1, [], Address("a2"), silent_members)
        self.replica.step(request, at_ms)

    def test_the_voter_that_was_silent_to_the_leader_before_is_removed_first(self):
        self.receive_heartbeat(0, [5])
        self.receive_heartbeat(300, [5])
        for role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            self.grant(self.run_until(role), 3, 4, 6)
        self.acknowledge(3, 4, 6)
        self.replica.tick(self.now_ms)
        self.assertEqual(self.replica.membership.voters, {1, 2, 3, 4, 6})

    def test_a_voter_that_has_voted_is_not_silent(self):
        self.receive_heartbeat(0, [5])
        for role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            self.grant(self.run_until(role), 3, 4, 5)
        self.acknowledge(3, 4, 5)
        self.replica.tick(self.now_ms)
        self.assertIn(5, self.replica.membership.voters)


class EmptyReplicaTests(unittest.TestCase):
    """A replica without state answers what is meant for its address's previous one."""

    def answer(self, replica):
        request = VoteRequest(2, 1, 3, 5, 2, True, False, "a2", 7, 4711)
        replica.step(request, 0)
        return [sent.message for sent in replica.take_output().outgoing]

    def build(self, snapshot):
        return Replica(
            9, "a1", Log(snapshot), HardState(), TIMING, random.Random(1), 0, 5
        )

    def test_it_asks_the_sender_to_join_and_returns_the_nonce(self):
        (request,) = self.answer(
            self.build(Snapshot(0, 0, Membership(0, {}).encode(), b""))
        )
        self.assertEqual(request, JoinRequest(9, 0, "a1", 0, 4711))

    def test_a_replica_with_state_does_not_prove_a_loss(self):
        """A previous member's folder that is mounted again is no lost disk."""
        snapshot = Snapshot(5, 2, build_membership(5).encode(), b"")
        self.assertEqual(self.answer(self.build(snapshot)), [])


class UncommittedRemovalTests(CandidateCase):
    """A removal that is not committed yet needs a quorum of both memberships.

    Otherwise the rest could commit entries that half of the old membership, with the
    proof of one lost disk, knows nothing of.
    """

    def setUp(self):
        super().setUp()
        for role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            self.grant(self.run_until(role), 2, 3, 4)
        self.acknowledge(2, 3, 4)
        self.replica.remove_member(6)
        self.removal_index = self.replica.log.last_index

    def test_a_majority_of_the_new_membership_commits_nothing(self):
        self.acknowledge(2, 3)
        self.assertLess(self.replica.commit_index, self.removal_index)

    def test_a_quorum_of_both_memberships_commits_the_removal(self):
        self.acknowledge(2, 3, 4)
        self.assertEqual(self.replica.commit_index, self.removal_index)

    def test_the_removed_voter_counts_until_the_removal_is_committed(self):
        self.acknowledge(2, 3, 6)
        self.assertEqual(self.replica.commit_index, self.removal_index)

    def test_a_new_leader_counts_the_removed_voter_that_voted_for_it(self):
        """It was elected with that vote, and could commit nothing without it."""
        self.replica.step(self.append_removal_again(), self.now_ms)
        self.assertFalse(self.replica.is_leader)
        for role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            self.grant(self.run_until(role), 2, 3, 6)
        self.assertTrue(self.replica.is_leader)
        self.acknowledge(2, 3, 6)
        self.assertGreater(self.replica.commit_index, self.removal_index)

    def append_removal_again(self):
        """Return a later leader's message with the removal that this replica made."""
        core = self.replica
        removal = core.log.entries_from(self.removal_index)[0]
        previous = self.removal_index - 1
        return AppendRequest(
            sender=2,
            target=1,
            term=core.term + 1,
            previous_index=previous,
            previous_term=core.log.term_at(previous),
            commit_index=previous,
            round=1,
            entries=[removal],
            sender_address=Address("a2"),
        )

    def test_the_removed_voter_is_dropped_once_logs_show_the_commit(self):
        self.acknowledge(2, 3, 4)
        self.assertIn(6, self.replica.progress)
        self.replica.tick(self.now_ms)
        self.acknowledge(2, 3)
        self.assertNotIn(6, self.replica.progress)


class ReplacedVoterTests(unittest.TestCase):
    """Two disks are lost at the moment at which a replaced machine goes.

    The machine still had a vote, so that three of six voters were left: no quorum for
    good, although no more disks were lost than are tolerated.
    """

    def check_recovery(self, *, with_notice, lose_power=False):
        for seed in range(10):
            for delay_ms in (0, 50, 500, 1_000):
                with self.subTest(seed=seed, delay_ms=delay_ms):
                    group, machines = self.replace(seed, with_notice=with_notice)
                    group.run_for(delay_ms)
                    self.lose(group, machines[:2], machines if lose_power else [])
                    self.assert_recovers(group)

    def replace(self, seed, *, with_notice):
        """Return a group whose replaced machine is just going, and the others."""
        group = Group(SETUP, seed)
        group.run_for(CATCH_UP_MS)
        machines = list(group.machines.values())
        random.Random(seed).shuffle(machines)
        machines.append(group.add_machine())
        group.start(machines[-1])
        group.run_for(CATCH_UP_MS)
        group.remove(machines.pop(0), with_notice=with_notice)
        return group, machines

    def lose(self, group, lost, restarted):
        for machine in restarted:
            group.kill(machine)
        for machine in lost:
            group.lose_disk(machine)
        group.run_for(1_000)
        for machine in {machine.address: machine for machine in (*lost, *restarted)}:
            group.start(group.machines[machine])

    def assert_recovers(self, group):
        back_at_ms = group.now_ms
        self.assertTrue(
            group.run_until(lambda: (group.read_at_ms or 0) > back_at_ms, RECOVERY_MS)
        )

    def test_a_group_recovers_if_the_machine_goes_without_notice(self):
        self.check_recovery(with_notice=False)

    def test_a_group_recovers_if_the_machine_is_told_to_stop(self):
        self.check_recovery(with_notice=True)

    def test_a_group_recovers_if_all_others_lose_power_meanwhile(self):
        """Restarted replicas do not know that the last membership is committed."""
        self.check_recovery(with_notice=False, lose_power=True)

    def test_one_lost_disk_is_enough_of_a_proof(self):
        """The other machine may stay down for long."""
        group, machines = self.replace(1, with_notice=False)
        group.kill(machines[1])
        self.lose(group, machines[:1], [])
        self.assert_recovers(group)


class WrongProofTests(unittest.TestCase):
    """A data folder that was only unavailable returns after its loss was proven.

    Its replica votes again. One wrong proof alone must not let two halves of the group
    acknowledge commands; the group of this test fails if they do.
    """

    def test_an_old_identity_that_returns_beside_the_other_half_elects_nobody(self):
        group = Group(SETUP, 1)
        group.run_for(CATCH_UP_MS)
        group.start(group.add_machine())
        group.run_for(CATCH_UP_MS)
        machines = list(group.machines.values())
        returning, *others = machines[:3]
        rest = [machine.address for machine in machines[3:]]
        cut_off = [machine.address for machine in others]
        group.cut(cut_off, [returning.address, *rest])
        group.cut([returning.address, *rest], cut_off)
        disk, replica_id = returning.disk, returning.replica_id
        group.lose_disk(returning)
        group.run_for(500)
        group.start(returning)
        leads_by_proof = group.run_until(
            lambda: any(
                group.machines[address].process.core.proven_lost == {replica_id}
                and group.machines[address].process.core.has_committed_in_term
                for address in rest
            ),
            RECOVERY_MS,
        )
        self.assertTrue(leads_by_proof)
        group.kill(returning)
        returning.disk, returning.replica_id = disk, replica_id
        group.start(returning)
        group.heal(cut_off, [returning.address])
        group.heal([returning.address], cut_off)
        group.cut([returning.address], rest)
        group.cut(rest, [returning.address])
        group.run_for(RECOVERY_MS)
        half = [returning, *others]
        self.assertFalse(any(machine.process.core.is_leader for machine in half))
        group.heal(group.machines, group.machines)
        healed_at_ms, acknowledged = group.now_ms, group.acknowledged_index
        self.assertTrue(
            group.run_until(
                lambda: (
                    group.read_at_ms > healed_at_ms
                    and group.acknowledged_index > acknowledged
                ),
                RECOVERY_MS,
            )
        )


class LateJoinRequestTests(unittest.TestCase):
    """A request to join that an earlier replica at a member's address once sent.

    It was taken for a proof that the member's disk is lost, and the member removed.
    """

    def test_a_member_in_contact_is_not_removed(self):
        group = Group(SETUP, 1)
        group.run_for(CATCH_UP_MS)
        leader = group.find_leader()
        voters = leader.core.membership.voters
        machine = next(
            machine
            for machine in group.machines.values()
            if machine.process is not leader
        )
        leader.receive(JoinRequest(99, 0, machine.address, 0))
        self.assertEqual(leader.core.membership.voters, voters)
        group.run_for(CATCH_UP_MS)
        self.assertEqual(leader.core.membership.members.keys(), voters)


class MixedBuildTests(unittest.TestCase):
    """While a voter does not know these quorums, the group decides by majorities."""

    def test_tolerated_losses_are_used_only_once_all_voters_support_them(self):
        group = Group(SETUP, 1)
        group.run_for(CATCH_UP_MS)
        leader = group.find_leader()
        self.assertEqual(leader.core.membership.tolerated_losses, 2)
        follower = next(
            i for i in leader.core.membership.voters if i != leader.core.replica_id
        )
        reply = AppendReply(
            follower, leader.core.replica_id, leader.core.term, True, 1, 0
        )
        leader.receive(reply)
        leader.core.tick(group.now_ms)
        self.assertEqual(leader.core.membership.tolerated_losses, 0)
        group.run_for(1_000)
        self.assertEqual(group.find_leader().core.membership.tolerated_losses, 2)

    def answer_as_older_build(self, group, follower):
        """Let the leader receive a reply of the build that knows fewer rules."""
        leader = group.find_leader()
        core = leader.core
        index = core.log.last_index
        leader.receive(
            AppendReply(follower, core.replica_id, core.term, True, index, 0, True)
        )
        core.tick(group.now_ms)

    def test_all_proofs_count_only_once_all_voters_know_the_rule(self):
        group = Group(SETUP, 1)
        group.run_for(CATCH_UP_MS)
        core = group.find_leader().core
        self.assertTrue(core.membership.counts_all_proofs)
        follower = max(core.membership.voters - {core.replica_id})
        self.answer_as_older_build(group, follower)
        self.assertFalse(core.membership.counts_all_proofs)
        self.assertEqual(core.membership.tolerated_losses, 2)

    def test_rules_that_a_learner_does_not_know_end_before_it_votes(self):
        """It would commit beside candidates that do without a voter."""
        group = Group(SETUP, 1)
        group.run_for(CATCH_UP_MS)
        leader = group.find_leader()
        leader.receive(JoinRequest(99, 0, "a9", 0))
        group.run_for(200)
        self.answer_as_older_build(group, 99)
        self.assertFalse(leader.core.membership.counts_all_proofs)
        self.assertNotIn(99, leader.core.membership.voters)
        group.run_for(200)
        self.answer_as_older_build(group, 99)
        self.assertIn(99, leader.core.membership.voters)
        self.assertFalse(leader.core.membership.counts_all_proofs)


class SpareVoterCase(unittest.TestCase):
    """A group of five voters and a sixth one that is to replace one of them."""

    def setUp(self):
        self.group = Group(SETUP, 1)
        self.group.run_for(CATCH_UP_MS)
        self.machine = list(self.group.machines.values())[-1]

    def add_spare(self):
        self.group.start(self.group.add_machine())
        self.group.run_for(CATCH_UP_MS)

    def voters(self):
        return self.group.find_leader().core.membership.voters


class LeavingTests(SpareVoterCase):
    """A machine that is told to stop gives up a vote that can be spared.

    It kept its vote until it was out of contact. Other machines that go without notice
    meanwhile leave half of the voters, and nothing that proves a loss.
    """

    def test_a_replaced_machine_that_is_told_to_stop_goes_without_a_vote(self):
        self.add_spare()
        replica_id = self.machine.replica_id
        self.group.remove(self.machine, with_notice=True)
        self.group.run_for(300)
        self.assertIsNone(self.machine.process)
        self.assertNotIn(replica_id, self.voters())

    def test_machines_may_go_without_notice_right_after_it(self):
        self.add_spare()
        others = list(self.group.machines.values())[:2]
        self.group.remove(self.machine, with_notice=True)
        self.group.run_for(300)
        for machine in others:
            self.group.remove(machine, with_notice=False)
        gone_at_ms = self.group.now_ms
        self.assertTrue(
            self.group.run_until(
                lambda: (self.group.read_at_ms or 0) > gone_at_ms + 1_000, RECOVERY_MS
            )
        )

    def test_a_machine_stays_on_while_a_removal_may_need_its_vote(self):
        """Its log has the removal already, and with it no spare voter."""
        self.add_spare()
        self.group.remove(self.machine, with_notice=False)
        while len(self.voters()) == 6:
            self.group.run_for(1)
        # The other logs have the removal now, and the leader no answer yet.
        self.group.run_for(SETUP.delay_ms + 1)
        self.group.remove(self.group.find_leader().machine, with_notice=False)
        self.group.run_for(100)
        others = [m for m in self.group.machines.values() if not m.is_gone]
        self.group.remove(others[0], with_notice=True)
        gone_at_ms = self.group.now_ms
        self.assertTrue(
            self.group.run_until(
                lambda: (self.group.read_at_ms or 0) > gone_at_ms + 5_000, RECOVERY_MS
            )
        )

    def test_a_stop_without_a_spare_voter_keeps_the_vote(self):
        replica_id = self.machine.replica_id
        self.group.remove(self.machine, with_notice=True)
        self.group.run_for(300)
        self.assertIsNone(self.machine.process)
        self.assertIn(replica_id, self.voters())

    def test_a_machine_that_is_only_restarted_votes_again(self):
        self.add_spare()
        replica_id = self.machine.replica_id
        self.group.remove(self.machine, with_notice=True)
        self.group.run_for(300)
        self.machine.gone_at_ms = None
        self.group.start(self.machine)
        self.group.run_for(CATCH_UP_MS)
        self.assertIn(replica_id, self.voters())


class SilentVoterRemovedFirstTests(SpareVoterCase):
    """A frozen voter is removed in place of the one that a new machine replaces.

    The replaced one then kept its vote, as there was none to spare, and went with it:
    two lost disks left two of five voters, and the acknowledged entries unreadable.
    """

    setup = SETUP
    catch_up_ms = CATCH_UP_MS

    def setUp(self):
        self.group = Group(self.setup, 1)
        self.group.run_for(self.catch_up_ms)
        self.add_spare()
        leader = self.group.find_leader().machine
        others = [m for m in self.group.machines.values() if m is not leader]
        # The leader's disk is lost, too, so that a new leader needs proofs.
        self.frozen, self.replaced, *self.steady = others
        self.lost = [leader, *self.steady][: self.setup.tolerated_losses]
        self.frozen.process.is_frozen = True
        self.group.run_for(2_500)
        self.assertNotIn(self.frozen.replica_id, self.voters())

    def lose_disks(self):
        for machine in self.lost:
            self.group.lose_disk(machine)
        self.group.run_for(1_000)
        for machine in self.lost:
            self.group.start(machine)

    def assert_recovers(self):
        since_ms = self.group.now_ms
        acknowledged = self.group.acknowledged_index
        self.assertTrue(
            self.group.run_until(
                lambda: (
                    (self.group.read_at_ms or 0) > since_ms
                    and self.group.acknowledged_index > acknowledged
                ),
                RECOVERY_MS,
            )
        )

    def test_the_replaced_voter_goes_with_notice_and_disks_are_lost(self):
        self.group.remove(self.replaced, with_notice=True)
        self.group.run_for(1_000)
        self.assertIsNone(self.replaced.process)
        self.lose_disks()
        self.assert_recovers()

    def test_the_replaced_voter_goes_without_notice_and_disks_are_lost(self):
        self.group.remove(self.replaced, with_notice=False)
        self.group.run_for(2_000)
        self.lose_disks()
        self.assert_recovers()

    def test_a_new_leader_knows_which_voter_was_removed_while_it_was_silent(self):
        self.group.kill(self.group.find_leader().machine)
        self.group.run_for(2_000)
        self.group.start(self.lost[0])
        self.group.run_for(500)
        self.group.remove(self.replaced, with_notice=True)
        self.group.run_for(2_500)
        self.assertNotIn(self.replaced.replica_id, self.voters())
        self.lose_disks()
        self.assert_recovers()

    def test_the_frozen_voter_is_back_as_a_learner_when_the_replaced_one_goes(self):
        self.frozen.slowdown = 500
        self.frozen.process.thaw()
        self.group.run_for(500)
        self.assertNotIn(self.frozen.replica_id, self.voters())
        self.group.remove(self.replaced, with_notice=True)
        self.group.run_for(1_500)
        self.assertNotIn(self.replaced.replica_id, self.voters())

    def test_the_frozen_voter_votes_again_once_it_is_back(self):
        self.group.remove(self.replaced, with_notice=True)
        self.group.run_for(1_000)
        self.frozen.process.thaw()
        self.group.run_for(2_000)
        self.assertEqual(
            self.voters(),
            {m.replica_id for m in self.group.machines.values() if not m.is_gone},
        )

    def test_no_more_than_one_voter_is_removed_below_the_wanted_number(self):
        """With fewer voters, an entry might be on lost disks alone."""
        wanted = self.setup.target_voters
        self.group.remove(self.replaced, with_notice=False)
        self.group.run_for(2_000)
        self.assertEqual(len(self.voters()), wanted - 1)
        leader = self.group.find_leader().machine
        other = next(m for m in self.steady if m is not leader)
        other.process.is_frozen = True
        self.group.run_for(2_000)
        voting = max(
            (m.process.core for m in self.group.machines.values() if m.process),
            key=lambda core: core.log.last_index,
        )
        self.assertEqual(len(voting.membership.voters), wanted - 1)


class SilentVoterOfThreeTests(SpareVoterCase):
    """Three voters keep their number: two, of which one is gone, are no quorum."""

    def setUp(self):
        self.group = Group(Setup(3, 1, Timing()), 1)
        self.group.run_for(CATCH_UP_MS)
        self.add_spare()

    def test_a_restart_beside_a_frozen_and_a_replaced_voter_leaves_a_quorum(self):
        leader = self.group.find_leader().machine
        frozen, replaced, restarted = (
            m for m in self.group.machines.values() if m is not leader
        )
        frozen.process.is_frozen = True
        self.group.run_for(2_500)
        self.group.remove(restarted, with_notice=True)
        self.group.run_for(1_000)
        self.group.remove(replaced, with_notice=False)
        restarted.gone_at_ms = None
        self.group.start(restarted)
        back_at_ms = self.group.now_ms
        self.assertTrue(
            self.group.run_until(
                lambda: (self.group.read_at_ms or 0) > back_at_ms, RECOVERY_MS
            )
        )


class SilentVoterRemovedFromSevenTests(SilentVoterRemovedFirstTests):
    """The same with seven voters of which three may be lost."""

    setup = Setup(7, 3, Timing())


class MachineAwayFromTheStartTests(unittest.TestCase):
    """A group that never had its fifth voter survives two lost disks."""

    def test_any_two_disks_are_lost_right_after_a_change(self):
        for seed, lost in enumerate(itertools.combinations(range(4), 2)):
            with self.subTest(lost=lost):
                self.assertTrue(self.recovers(seed, lost))

    def recovers(self, seed, lost):
        group = Group(Setup(4, 2, Timing()), seed)
        group.run_for(CATCH_UP_MS)
        self.assertGreater(group.acknowledged_index, 0)
        machines = list(group.machines.values())
        for index in lost:
            group.lose_disk(machines[index])
        for index in lost:
            group.start(machines[index])
        recovered_from_ms = group.now_ms + 1_000
        return group.run_until(
            lambda: (group.read_at_ms or 0) > recovered_from_ms, RECOVERY_MS
        )


class FormerMemberTests(SpareVoterCase):
    """A machine that was removed while it was silent starts again with an empty disk.

    Messages for its previous replica told it where the group is, but a removed member
    is sent none. With contacts that are all gone it never joined.
    """

    def test_a_replica_at_a_former_members_address_is_found(self):
        self.add_spare()
        self.group.lose_disk(self.machine)
        self.group.run_for(1_500)
        self.assertEqual(len(self.voters()), 5)
        self.group.find_seeds = list
        self.group.start(self.machine)
        self.group.run_for(CATCH_UP_MS)
        self.assertIn(self.machine.replica_id, self.voters())
