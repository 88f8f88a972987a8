"""Mutation test: remove safety checks one at a time and expect a test to fail.

    python tools/guards.py            all guards
    python tools/guards.py WORD…      guards whose names contain one of the words

Each guard names the tests that must notice its removal, and only these are run, first
with the guard in place. A removal that leaves code which cannot be executed proves
nothing and is reported as BROKEN. Prints one line per guard; the exit status is 0 only
if every removal is caught.

Changes only temporary copies of the tree. CI does not run it: it checks the tests, not
the product.
"""

import argparse
import enum
import os
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec

if __package__:
    from tools._named_tests import Report
else:
    from _named_tests import Report

ROOT = Path(__file__).resolve().parent.parent
SOURCE = Path("src/cinderway")
FOLDERS = ("src", "tests", "standins", "tools")
# The named tests of a guard end within a few seconds; more means that they hang.
TIMEOUT_S = 60
# Undefined names and syntax errors, also in lines that no test executes.
LINT_RULES = "F821,F822,F823,E9"


@dataclass(frozen=True)
class Guard:
    """A safety check, the edit that removes it, and the tests that must then fail."""

    name: str
    path: str
    old: str
    new: str
    tests: str


CORE = "replication/_core.py"
ELECTIONS = "replication/_elections.py"
MEMBER_CHANGES = "replication/_member_changes.py"
CORE_TESTS = "tests.replication.test_core"
SAFETY_TESTS = "tests.replication.test_group_safety"
COMMIT_TESTS = "tests.replication.test_commit_safety"
QUORUM_TESTS = "tests.replication.test_quorum"
LOSS_TESTS = "tests.replication.test_losses.LossesTest"
WRITE_TESTS = "tests.replication.test_interrupted_writes"
QUORUM = "replication/_quorum.py"
STORAGE = "replication/_storage.py"
PUSHBACK_TESTS = "tests.entry.servers.test_pushback"
RELAY_TESTS = "tests.entry.servers.test_relays"
LIMIT_TESTS = "tests.entry.servers.test_limits"
SHARE_TESTS = "tests.pushback.test_rate_shares"
TURN_TESTS = "tests.pushback.test_token_bucket"

GUARDS = [
    Guard(
        "an entry relays nothing to a server that must get no requests from it",
        "entry/fleet/_relay_server.py",
        "        error = check_server(*found, now_ms)\n",
        "        error = None\n",
        RELAY_TESTS,
    ),
    Guard(
        "an unexpected answer to a relayed request leaves the outcome unknown",
        "entry/servers/_relays.py",
        "if not isinstance(message, RelayedHead | RelayRefused | RelayedFailure):",
        "if False:",
        RELAY_TESTS,
    ),
    Guard(
        "an entry that is cut off from a service relays nothing to it",
        "entry/fleet/_relay_server.py",
        "        if self.board.uplinks.of(request.service).is_cut_off:\n",
        "        if False:\n",
        RELAY_TESTS,
    ),
    Guard(
        "failures that a cut explains are dropped when the entry is cut off",
        "reachability/_uplink.py",
        "        if self.is_cut_off:\n            return\n",
        "",
        "tests.reachability.test_uplink",
    ),
    Guard(
        "a silent control replica is left while a retry waits",
        "entry/fleet/_catalog_follower.py",
        "            self._silence_scope.deadline = anyio.current_time()\n",
        "            pass\n",
        "tests.entry.fleet.test_retry_at_replica_change",
    ),
    Guard(
        "a former member's vote request lets it join again",
        CORE,
        "                self._member_changes.receive_vote_request("
        "message, self._target_voters)\n",
        "",
        f"{CORE_TESTS}.ReplacementTest",
    ),
    Guard(
        "a silent voter joins again in series of losses",
        CORE,
        "                self._member_changes.receive_vote_request("
        "message, self._target_voters)\n",
        "",
        f"{LOSS_TESTS}.test_five_machines_of_which_two_may_be_lost",
    ),
    Guard(
        "a replica that knows itself as a learner asks to join",
        CORE,
        "if self._target_voters == 0 or self.replica_id in self.membership.voters:",
        "if self._target_voters == 0 or self.replica_id in self.membership.members:",
        f"{CORE_TESTS}.ReplacementTest",
    ),
    Guard(
        "a voter whose loss is proven is not waited for",
        QUORUM,
        "    return needed - min(proven, _max_reduction(membership))\n",
        "    return needed\n",
        f"{QUORUM_TESTS}.ReplacedVoterTests",
    ),
    Guard(
        "a voter whose loss is proven is not waited for in series of losses",
        QUORUM,
        "    return needed - min(proven, _max_reduction(membership))\n",
        "    return needed\n",
        f"{LOSS_TESTS}.test_five_machines_that_are_replaced_in_series",
    ),
    Guard(
        "proven losses leave quorums that overlap",
        QUORUM,
        "    return needed - min(proven, _max_reduction(membership))\n",
        "    return needed - proven\n",
        f"{QUORUM_TESTS}.QuorumSizeTests",
    ),
    Guard(
        "entries survive replaced members and lost disks together",
        QUORUM,
        "    return max(majority, min(voters - tolerated, 2 * tolerated + 1))\n",
        "    return majority\n",
        f"{QUORUM_TESTS}.QuorumSizeTests",
    ),
    Guard(
        "a loss that is proven during an election does not count",
        ELECTIONS,
        "        if target is not None and self._state.role is Role.PRE_CANDIDATE:\n"
        "            self._proven_lost.add(target)\n",
        "        if target is not None:\n"
        "            self._proven_lost.add(target)\n"
        "            self._state.proven_lost |= {target}\n"
        "            self._count_votes()\n",
        f"{QUORUM_TESTS}.ProvenLossTests",
    ),
    Guard(
        "an answer to an earlier round of pre-votes proves nothing",
        ELECTIONS,
        "        self._votes = {state.replica_id}\n        self._asked = {}\n",
        "        self._votes = {state.replica_id}\n",
        f"{QUORUM_TESTS}.ProvenLossTests",
    ),
    Guard(
        "a replica with state proves no loss",
        CORE,
        "        if self.membership.members:\n"
        "            return\n"
        "        match message:",
        "        match message:",
        f"{QUORUM_TESTS}.EmptyReplicaTests",
    ),
    Guard(
        "a removal needs quorums of both memberships until it is committed",
        "replication/_state.py",
        "        if counts_proven_losses(newest) or counts_proven_losses(previous):\n",
        "        if False:\n",
        f"{QUORUM_TESTS}.UncommittedRemovalTests",
    ),
    Guard(
        "a new leader counts a removed member until its removal is committed",
        "replication/_leader_log.py",
        "        for membership in state.memberships_in_force:\n",
        "        for membership in [state.membership]:\n",
        f"{QUORUM_TESTS}.UncommittedRemovalTests",
    ),
    Guard(
        "logs show that the membership is committed",
        "replication/_state.py",
        "        if previous is None or previous == newest:\n",
        "        if True:\n",
        f"{QUORUM_TESTS}.ReplacedVoterTests",
    ),
    Guard(
        "a new leader goes on counting how long a voter is silent",
        "replication/_leader_log.py",
        "last_heard_ms=state.silent_since_ms.get(replica_id, state.now_ms),",
        "last_heard_ms=state.now_ms,",
        f"{QUORUM_TESTS}.SilentVoterTests",
    ),
    Guard(
        "a replica that stops gives up a vote that can be spared",
        MEMBER_CHANGES,
        "        if leaving:\n",
        "        if False:\n",
        f"{QUORUM_TESTS}.LeavingTests",
    ),
    Guard(
        "proven losses count in a group with one voter fewer than wanted",
        QUORUM,
        "    return membership.counts_all_proofs and _max_reduction(membership) > 0\n",
        "    return False\n",
        f"{QUORUM_TESTS}.SilentVoterRemovedFirstTests",
    ),
    Guard(
        "one more voter goes until one removed while it was silent votes again",
        "replication/_state.py",
        "            and self._may_voter_return()\n",
        "            and False\n",
        f"{QUORUM_TESTS}.SilentVoterRemovedFirstTests",
    ),
    Guard(
        "three voters are never two",
        "replication/_state.py",
        "        is_large_enough = self.membership.tolerated_losses > 1\n",
        "        is_large_enough = True\n",
        f"{QUORUM_TESTS}.SilentVoterOfThreeTests",
    ),
    Guard(
        "rules end before a learner that does not know them votes",
        MEMBER_CHANGES,
        "        if rules < _QuorumRules.of(current):\n",
        "        if False:\n",
        f"{QUORUM_TESTS}.MixedBuildTests",
    ),
    Guard(
        "a round of pre-votes ends with the last answer",
        ELECTIONS,
        "        if is_complete and state.has_quorum(self._votes, proven_lost):\n",
        "        if False:\n",
        f"{QUORUM_TESTS}.ProvenLossTests",
    ),
    Guard(
        "a first start that was marked is gone on with",
        STORAGE,
        "        signs = (self.path / MARK_FILE, path, _temporary_path(path))\n",
        "        signs = (path, _temporary_path(path))\n",
        f"{WRITE_TESTS}.FirstStartTests",
    ),
    Guard(
        "a response's head has no line that ends without CR",
        "entry/servers/_head_check.py",
        "        if BARE_LF.search(head) is not None:\n",
        "        if False:\n",
        "tests.entry.servers.test_head_check.HeadCheckTests",
    ),
    Guard(
        "a status that is not final is not forwarded",
        "entry/servers/_messages.py",
        "    if OK <= status <= LAST_STATUS:\n",
        "    if OK <= status:\n",
        "tests.entry.servers.test_backends.AnswerTests",
    ),
    Guard(
        "a kept connection that was reset counts as closed",
        "entry/servers/_backends.py",
        "            return not is_open(self.raw) or is_readable(self.raw)\n",
        "            return is_readable(self.raw)\n",
        "tests.entry.servers.test_backends.ResetTests",
    ),
    Guard(
        "a stopping entry refuses what it would end before its answer",
        "entry/callers/_route_handler.py",
        "        if monotonic_ms() + max(pace.slow_ms, pace.late_ms) > end_at_ms:\n",
        "        if False:\n",
        "tests.entry.callers.test_route_handler.RouteHandlerTests",
    ),
    Guard(
        "trailers do not become headers",
        "_request_parser.py",
        "            self._protocol.headers = list(self._protocol.headers)\n",
        "            pass\n",
        "tests.test_request_parser.RequestParserTests",
    ),
    Guard(
        "answers together stay within the bound",
        "limits/_held_bytes.py",
        "        if answer_bytes <= ALWAYS_READ_BYTES:\n",
        "        if True:\n",
        "tests.limits.test_held_bytes.HeldBytesTests",
    ),
    Guard(
        "a former member's address is told where the group is",
        CORE,
        "            self._member_changes.contact_former_members()\n",
        "            pass\n",
        f"{QUORUM_TESTS}.FormerMemberTests",
    ),
    Guard(
        "a late join request does not remove a member in contact",
        MEMBER_CHANGES,
        "        if self._is_in_contact_at(request.address):\n",
        "        if False:\n",
        f"{QUORUM_TESTS}.LateJoinRequestTests",
    ),
    Guard(
        "proven losses count only once all voters support them",
        MEMBER_CHANGES,
        "    if False in support:\n        return type(wanted)()\n",
        "",
        f"{QUORUM_TESTS}.MixedBuildTests",
    ),
    Guard(
        "an interrupted first start is begun anew",
        STORAGE,
        "                if is_complete and records in (EMPTY_WAL, BOOTSTRAP_WAL):\n"
        "                    return\n",
        "",
        f"{WRITE_TESTS}.FirstStartTests",
    ),
    Guard(
        "an interrupted bootstrap is completed at any later start",
        "control/_catalog_daemon.py",
        "    if (is_first and folder.is_new) or folder.is_bootstrap_interrupted:\n",
        "    if is_first and folder.is_new:\n",
        f"{WRITE_TESTS}.FirstStartTests",
    ),
    Guard(
        "a used folder without its identity is refused",
        STORAGE,
        "            self._check_never_used()\n",
        "",
        f"{WRITE_TESTS}.DamageTests",
    ),
    Guard(
        "no batch is durable before the name of its log is",
        STORAGE,
        "        if not self._is_rename_synced:\n            self._sync_folder()\n",
        "",
        f"{WRITE_TESTS}.FailedSyncTests",
    ),
    Guard(
        "a partial record is truncated before the next one",
        STORAGE,
        "        if self._has_failed_write:\n"
        "            os.ftruncate(self._wal, self.wal_bytes)\n",
        "",
        f"{WRITE_TESTS}.FailedSyncTests",
    ),
    Guard(
        "a replica drops messages for its previous identity",
        CORE,
        "        if message.target != self.replica_id:\n"
        "            self._answer_for_previous_identity(message)\n"
        "            return\n",
        "",
        f"{SAFETY_TESTS}.PreviousIdentityTest",
    ),
    Guard(
        "a vote requires a log that is at least as up to date",
        ELECTIONS,
        "        if (request.last_term, request.last_index) < own_last:\n"
        "            return False\n",
        "",
        f"{CORE_TESTS}.VoteTest",
    ),
    Guard(
        "a replica votes once per term",
        ELECTIONS,
        "state.hard_state.voted_for in (\n            NO_REPLICA,\n"
        "            request.sender,\n        )",
        "True",
        f"{CORE_TESTS}.VoteTest",
    ),
    Guard(
        "a replica with a live leader neither votes nor adopts the term",
        ELECTIONS,
        "if self._has_leader_contact() and not request.is_transfer:",
        "if False:",
        f"{SAFETY_TESTS}.LeaderContactTest",
    ),
    Guard(
        "a leader without contact to a quorum steps down",
        CORE,
        "        if not self._leader_log.has_quorum_contact():\n"
        "            self._become_follower(self.term)\n            return\n",
        "",
        f"{CORE_TESTS}.QuorumContactTest",
    ),
    Guard(
        "a read waits for confirmation by a quorum",
        "replication/_reads.py",
        "        confirmed = self._state.reached_by_quorum(self._round_of)\n",
        "        confirmed = self.round\n",
        f"{SAFETY_TESTS}.ReadConfirmationTest",
    ),
    Guard(
        "a learner is caught up only once its log holds its own membership",
        MEMBER_CHANGES,
        "            progress.match_index >= progress.joined_at_index\n"
        "            and progress.match_index",
        "            progress.match_index",
        f"{SAFETY_TESTS}.LearnerPromotionTest",
    ),
    Guard(
        "the old identity is removed before the new one becomes a voter",
        "replication/_progress.py",
        "        if replaced is not None:\n"
        "            return membership.without(replaced)\n",
        "        if replaced is not None:\n"
        "            membership = membership.without(replaced)\n"
        "            return membership.with_member(\n"
        "                replica_id, Member(address, is_voter=True)\n"
        "            )\n",
        f"{SAFETY_TESTS}.IdentityReplacementTest",
    ),
    Guard(
        "only one membership change is in progress",
        MEMBER_CHANGES,
        "            state.log.membership_index <= state.commit_index\n"
        "            and ",
        "            ",
        f"{SAFETY_TESTS}.SingleChangeTest",
    ),
    Guard(
        "a learner that is silent is not caught up",
        MEMBER_CHANGES,
        "        if replica_id in state.silent_members():\n            return False\n",
        "",
        f"{SAFETY_TESTS}.SilentLearnerTest",
    ),
    Guard(
        "a leader commits by counting only entries of its own term",
        "replication/_leader_log.py",
        "if index > state.commit_index and state.log.term_at(index) == state.term:",
        "if index > state.commit_index:",
        f"{COMMIT_TESTS}.OwnTermTest",
    ),
    Guard(
        "a leader changes the membership only after a commit in its term",
        MEMBER_CHANGES,
        "            state.log.membership_index <= state.commit_index\n"
        "            and state.has_committed_in_term\n",
        "            state.log.membership_index <= state.commit_index\n",
        f"{COMMIT_TESTS}.ChangeInOwnTermTest",
    ),
    Guard(
        "a leader reads only after a commit in its term",
        "replication/_reads.py",
        "        if not state.has_committed_in_term:",
        "        if False:",
        f"{COMMIT_TESTS}.ReadInOwnTermTest",
    ),
    Guard(
        "no entries are sent before a new term is durable",
        "replication/_output.py",
        "        if self.hard_state is not None or self.snapshot is not None:\n"
        "            return []\n",
        "",
        f"{COMMIT_TESTS}.DurabilityTest",
    ),
    Guard(
        "a write of entries that were overwritten meanwhile does not count",
        CORE,
        "        if self.log.term_at(index) != term:\n            return\n",
        "",
        f"{COMMIT_TESTS}.DurabilityTest",
    ),
    Guard(
        "overwritten entries no longer count as durable",
        "replication/_state.py",
        "        self.persisted_index = min(self.persisted_index, "
        "entries[0].index - 1)\n",
        "",
        f"{COMMIT_TESTS}.DurabilityTest",
    ),
    Guard(
        "a committed entry is never overwritten",
        "replication/_follower_log.py",
        "if missing and missing[0].index <= state.commit_index:",
        "if False:",
        f"{COMMIT_TESTS}.DurabilityTest",
    ),
    Guard(
        "the last voter cannot be removed",
        MEMBER_CHANGES,
        "        if state.membership.voters == {replica_id}:\n"
        '            raise _refused_error("the last voter cannot be removed")\n',
        "",
        f"{COMMIT_TESTS}.DurabilityTest",
    ),
    Guard(
        "a leader that was suspended for too long steps down",
        CORE,
        "        if self.is_leader and has_others and self._has_stalled(now_ms):\n"
        "            self._become_follower(self.term)\n",
        "",
        f"{CORE_TESTS}.SuspendedLeaderTest",
    ),
    Guard(
        "a replica has caught up only by a commit in its leader's term",
        "replication/_follower_log.py",
        "if has_all and state.log.term_at(request.commit_index) == request.term:",
        "if has_all:",
        f"{CORE_TESTS}.CaughtUpTest",
    ),
    Guard(
        "entries that join bring no retries for the time before",
        "limits/_retry_pool.py",
        "        self._grow_extra(now_ms)\n        self.extra = extra\n",
        "        self.extra = extra\n",
        "tests.control.test_retry_pools",
    ),
    Guard(
        "a failure waits for a replica only shortly after the loss",
        "entry/fleet/_shared_retries.py",
        "        until_ms = min(until_ms, lost_at_ms + 1000 * RETRY_TIMEOUT_S)\n",
        "",
        "tests.entry.fleet.test_retry_at_replica_change",
    ),
    Guard(
        "the write-ahead log is truncated only at a torn tail",
        "replication/_records.py",
        "    if _has_record_after(content, position + 1) or not "
        "_is_cut_short(content, position):",
        "    if False:",
        "tests.replication.test_storage",
    ),
    Guard(
        "an identity without its write-ahead log is refused",
        "replication/_storage.py",
        '            raise self._damaged_error("the write-ahead log is missing")\n',
        "            self._start_wal(0, HardState(), [])\n"
        "            return RecoveredState(Log(EMPTY_SNAPSHOT), HardState())\n",
        "tests.replication.test_storage",
    ),
    Guard(
        "a data folder of another replica is refused",
        "replication/_storage.py",
        "if (identity.group, identity.address) != (group, address):",
        "if False:",
        "tests.replication.test_storage",
    ),
    Guard(
        "a repeated edit id gets its stored answer",
        "table/_machine.py",
        "        if remembered is not None:\n"
        "            if remembered.content_digest == content_digest:\n"
        "                return remembered.answer\n",
        "        if remembered is not None:\n",
        "tests.table.test_machine",
    ),
    Guard(
        "an edit based on an outdated revision is refused",
        "table/_machine.py",
        "        if current != change.seen_revision:\n            raise _Refusal(\n"
        "                refused(\n                    ErrorCode.REVISION_CONFLICT,\n"
        '                    f"{self._label}, column',
        "        if False:\n            raise _Refusal(\n"
        "                refused(\n                    ErrorCode.REVISION_CONFLICT,\n"
        '                    f"{self._label}, column',
        "tests.table.test_machine",
    ),
    Guard(
        "an edit older than the deduplication window is refused",
        "table/_machine.py",
        "        if edit.seen_sequence < self._forgotten_sequence:",
        "        if False:",
        "tests.table.test_machine",
    ),
    Guard(
        "an edit that violates a table rule is refused",
        "table/_machine.py",
        "            check_rules(self.table, touched)\n",
        "",
        "tests.table.test_machine",
    ),
    Guard(
        "a table never returns to an older revision",
        "table/_table.py",
        "        if delta.revision <= self.revision or "
        "delta.base_revision > self.revision:",
        "        if False:",
        "tests.table.test_machine",
    ),
    Guard(
        "no second attempt is granted while the first may be running",
        "ledger/_machine.py",
        "        if ruling is not None:\n            return ruling\n",
        "",
        "tests.ledger.test_machine",
    ),
    Guard(
        "an abandoned attempt is never granted",
        "ledger/_machine.py",
        "        if claim.attempt_id in self._tombstones:\n"
        "            return ClaimAnswer(Ruling.ATTEMPT_ABANDONED)\n",
        "",
        "tests.ledger.test_machine",
    ),
    Guard(
        "the same key with another body is refused",
        "ledger/_machine.py",
        "if stored is not None and stored.fingerprint != claim.fingerprint:",
        "if False:",
        "tests.ledger.test_machine",
    ),
    Guard(
        "a claim in doubt is never forgotten",
        "ledger/_machine.py",
        "            if stored.resolution in (Resolution.RAN, Resolution.NOT_RUN):",
        "            if True:",
        "tests.ledger.test_machine",
    ),
    Guard(
        "the floor limits ejections",
        "judgement/_floor.py",
        "        if healthy_slots >= floor_slots:\n            break\n",
        "        break\n",
        "tests.judgement.test_floor tests.judgement.test_merge",
    ),
    Guard(
        "an ejection expires with its lease",
        "judgement/_merge.py",
        "            is_valid = now_ms < held.report_sent_at_ms + verdict.lease_ms",
        "            is_valid = True",
        "tests.judgement.test_merge",
    ),
    Guard(
        "a single assessor cannot eject a server",
        "judgement/_merge.py",
        "    is_ejected = votes >= quorum",
        "    is_ejected = votes >= 1",
        "tests.judgement.test_merge",
    ),
    Guard(
        "a single entry cannot condemn a server",
        "judgement/_sequential.py",
        "REPORTER_CAP_SHARE = 0.6",
        "REPORTER_CAP_SHARE = 100.0",
        "tests.judgement.test_service_judge",
    ),
    Guard(
        "a server is ejected only if its peers are healthy",
        "judgement/_service_judge.py",
        "            if scope is not None and self._has_healthy_peers(",
        "            if scope is not None or self._has_healthy_peers(",
        "tests.judgement.test_service_judge",
    ),
    Guard(
        "a server is not ejected for halls that see it healthy",
        "judgement/_service_judge.py",
        "        if not has_contradiction(others, tallies[failing]):\n"
        "            return frozenset()\n",
        "        return frozenset()\n",
        "tests.judgement.test_service_judge",
    ),
    Guard(
        "expired reports are dropped",
        "judgement/_assessor.py",
        "        return sent_at_ms is not None and "
        "now_ms - sent_at_ms <= REPORT_VALID_MS",
        "        return True",
        "tests.judgement.test_assessor",
    ),
    Guard(
        "retries need a token of the retry budget",
        "limits/_retry_budget.py",
        "        if self._tokens < 1:\n            return False\n",
        "",
        "tests.limits.test_limits",
    ),
    Guard(
        "a restarted entry does not return to an older revision",
        "entry/fleet/_table_trust.py",
        "revision < evidence.own_revision",
        "False",
        "tests.entry.fleet.test_table_trust",
    ),
    Guard(
        "a download is resumed only with the same ETag",
        "entry/callers/_relay.py",
        "            and etag == self.etag\n",
        "",
        "tests.entry.callers.test_relay",
    ),
    Guard(
        "a connection without a valid proof is refused",
        "wire/_connection.py",
        "        if not hmac.compare_digest(expected, answer.proof):",
        "        if False:",
        "tests.wire.test_wire",
    ),
    Guard(
        "a server that is backing off is not chosen",
        "entry/servers/_send_checks.py",
        "    return server.accepts_requests(now_ms) and "
        "server.pushback.can_accept(now_ms)\n",
        "    return server.accepts_requests(now_ms)\n",
        PUSHBACK_TESTS,
    ),
    Guard(
        "a server's pushback is checked again before the request is written",
        "entry/servers/_dispatch.py",
        "    return error or refusal or check_rate_limit",
        "    return refusal or check_rate_limit",
        PUSHBACK_TESTS,
    ),
    Guard(
        "a request's permit is checked again before it is written",
        "entry/servers/_dispatch.py",
        "    return error or refusal or check_rate_limit",
        "    return error or check_rate_limit",
        PUSHBACK_TESTS,
    ),
    Guard(
        "pushback is kept when a server is listed again",
        "pushback/_store.py",
        "        return self._servers.get(server) or ServerPushback()\n",
        "        return ServerPushback()\n",
        PUSHBACK_TESTS,
    ),
    Guard(
        "a server's rate limit is checked again before the request is written",
        "entry/servers/_dispatch.py",
        " or check_rate_limit(outgoing.server, outgoing.token, now_ms)\n",
        "\n",
        LIMIT_TESTS,
    ),
    Guard(
        "a rate-limited server is chosen only with a token available",
        "pushback/_store.py",
        "        return now_ms >= self.accepts_at_ms(now_ms)\n",
        "        return now_ms >= self.backoff_until_ms\n",
        LIMIT_TESTS,
    ),
    Guard(
        "an entry starts its rate share without a token",
        "pushback/_token_bucket.py",
        "        if not self.share_per_s:\n            self._last_ms = now_ms\n",
        "",
        TURN_TESTS,
    ),
    Guard(
        "an entry without a group sends nothing to a rate-limited server",
        "pushback/_rate_shares.py",
        "        return 0.0\n    holders",
        "        return rate_per_s\n    holders",
        SHARE_TESTS,
    ),
    Guard(
        "an older report does not restore a rate limit",
        "pushback/_limits.py",
        "limit.received_at_ms < known.received_at_ms",
        "False",
        LIMIT_TESTS,
    ),
    Guard(
        "only the first entries in a server's hashing order have a share",
        "pushback/_rate_shares.py",
        "    if entry not in chosen:\n        return 0.0\n",
        "",
        SHARE_TESTS,
    ),
    Guard(
        "idle servers not sampled are considered before a request is refused",
        "entry/servers/_slots.py",
        "            lambda found: "
        "self._filter_timely(service, found, wanted, now_ms),\n",
        "            lambda found: [],\n",
        "tests.entry.servers.test_queue_check",
    ),
]


class Verdict(enum.Enum):
    """What the removal of a guard has shown; only CAUGHT is a success."""

    CAUGHT = "caught"
    GREEN = "GREEN"
    BROKEN = "BROKEN"
    TIMED_OUT = "TIMED OUT"
    UNUSABLE = "UNUSABLE"


@dataclass(frozen=True)
class Finding:
    """The verdict on one guard, with the test or the reason that it follows from."""

    guard: Guard
    verdict: Verdict
    detail: str
    duration_s: float

    def __str__(self) -> str:
        return (
            f"{self.verdict.value:9} {self.guard.name} "
            f"({self.duration_s:.1f} s): {self.detail}"
        )


def main(arguments: list[str] | None = None) -> int:
    """Test the chosen guards; return 0 if the removal of each one is caught."""
    parser = argparse.ArgumentParser(description="Remove guards, expect failing tests.")
    parser.add_argument("words", nargs="*", help="parts of the names of guards")
    parser.add_argument(
        "--jobs", type=int, default=2, help="guards tested at a time [1 or more; 2]"
    )
    options = parser.parse_args(arguments)
    words = options.words
    chosen = [g for g in GUARDS if not words or any(w in g.name for w in words)]
    if not chosen:
        print("no guard has such a name")
        return 1
    with ThreadPoolExecutor(options.jobs) as pool:
        names = sorted({guard.tests for guard in chosen})
        intact = dict(zip(names, pool.map(run_with_all_guards, names), strict=True))
        caught_count = 0
        for finding in pool.map(lambda g: check_guard(g, intact[g.tests]), chosen):
            print(finding, flush=True)
            caught_count += finding.verdict is Verdict.CAUGHT
    print(f"{caught_count} of {len(chosen)} removed guards are caught")
    return 0 if caught_count == len(chosen) else 1


def run_with_all_guards(tests: str) -> str:
    """Run tests on the unchanged tree; return why they prove nothing, or ""."""
    try:
        report = run_tests(ROOT, tests)
    except RunError as error:
        return str(error)
    for test_id, error in (report.defects | report.failures).items():
        return f"fails with the guard in place: {test_id}: {error}"
    return "" if report.run_count else f"no test is called {tests}"


def check_guard(guard: Guard, obstacle: str, root: Path = ROOT) -> Finding:
    """Remove one guard from a copy of the tree and run its tests there.

    `obstacle` says why the tests prove nothing, if so.
    """
    began_s = time.monotonic()
    if obstacle:
        return Finding(guard, Verdict.UNUSABLE, obstacle, 0)
    with tempfile.TemporaryDirectory(prefix="cinderway-guards-") as name:
        scratch = Path(name)
        copy_tree(root, scratch)
        try:
            remove_guard(guard, scratch)
            verdict, detail = judge(run_tests(scratch, guard.tests))
        except EditError as error:
            verdict, detail = Verdict.BROKEN, str(error)
        except RunError as error:
            verdict, detail = error.verdict, str(error)
    return Finding(guard, verdict, detail, time.monotonic() - began_s)


class EditError(Exception):
    """A guard's text was not found once, or the edited file cannot be executed."""


class RunError(Exception):
    """The tests of a guard left no report."""

    def __init__(self, verdict: Verdict, detail: str):
        super().__init__(detail)
        self.verdict = verdict


def copy_tree(root: Path, scratch: Path) -> None:
    """Copy what the tests need to an empty folder."""
    for folder in FOLDERS:
        if (root / folder).exists():
            shutil.copytree(root / folder, scratch / folder)


def remove_guard(guard: Guard, scratch: Path) -> None:
    """Apply a guard's edit to a copy of the tree."""
    path = scratch / SOURCE / guard.path
    text = path.read_text()
    if text.count(guard.old) != 1:
        raise EditError(f"the text to replace must occur once in {guard.path}")
    path.write_text(text.replace(guard.old, guard.new))
    linter = [sys.executable, "-m", "ruff", "check", "--isolated", "--quiet"]
    result = subprocess.run(
        [*linter, "--output-format", "concise", "--select", LINT_RULES, str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    if result.returncode:
        lines = (result.stdout or result.stderr).splitlines()
        raise EditError(lines[0] if lines else "the linter failed")


def judge(report: Report) -> tuple[Verdict, str]:
    """Return the verdict that follows from the tests without the guard."""
    for test_id, error in report.defects.items():
        return Verdict.BROKEN, f"{test_id}: {error}"
    for test_id, error in report.failures.items():
        return Verdict.CAUGHT, f"{test_id}: {error}"
    return Verdict.GREEN, f"{report.run_count} tests pass without the guard"


def run_tests(scratch: Path, tests: str) -> Report:
    """Run named tests against the code of a tree."""
    with tempfile.TemporaryDirectory(prefix="cinderway-guards-") as folder:
        file = Path(folder) / "report.json"
        runner = scratch / "tools" / "_named_tests.py"
        try:
            result = subprocess.run(
                [sys.executable, str(runner), str(file), *tests.split()],
                cwd=scratch,
                env={**os.environ, "PYTHONPATH": str(scratch / "src")},
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            raise RunError(
                Verdict.TIMED_OUT, f"no result after {TIMEOUT_S} s"
            ) from None
        if not file.exists():
            last_line = (result.stderr.splitlines() or ["no output"])[-1]
            raise RunError(Verdict.BROKEN, f"the tests did not run: {last_line}")
        return msgspec.json.decode(file.read_bytes(), type=Report)


if __name__ == "__main__":
    sys.exit(main())
