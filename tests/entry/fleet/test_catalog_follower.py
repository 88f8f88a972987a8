"""When an entry abandons the control replica that it follows."""

import random
import unittest
from unittest.mock import patch

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, DataHall, EntryName, ServiceName
from cinderway._settings import CatalogEntrySettings, parse_settings
from cinderway.catalog import RetryAnswer
from cinderway.entry._blackboard import Blackboard, ServiceState
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.fleet import _catalog_follower
from cinderway.entry.fleet._catalog_follower import (
    KNOWLEDGE_AGE_LIMIT_MS,
    CatalogFollower,
)
from cinderway.entry.fleet._replica_choice import LEADERLESS_AVOID_MS
from cinderway.experiment._virtual_time import call_later, run_in_virtual_time
from cinderway.judgement import EvidenceLog
from cinderway.limits import RetryBudget
from cinderway.table import ServiceRow
from cinderway.wire import Envelope, Identity

HERE, THERE = (Address(f"10.0.0.{number}:7100") for number in (1, 2))
STALE_MS = KNOWLEDGE_AGE_LIMIT_MS + 1


class SilentReplica:
    """A connection that ends at once, before any message arrives."""

    async def send(self, message, call_id=0):
        pass

    async def receive(self):
        raise CinderwayError(
            ErrorCode.PEER_UNREACHABLE, "the connection ended", step=Step.RECEIVE
        )

    async def aclose(self):
        pass


class SlowGrants(SilentReplica):
    """A connection to a replica that grants each retry after a delay."""

    def __init__(self, follower, answer_ms):
        self.follower = follower
        self.answer_ms = answer_ms

    async def send(self, message, call_id=0):
        granted = RetryAnswer(is_granted=True)
        envelope = Envelope(call_id, granted)
        call_later(self.answer_ms, self.follower._receive_message, envelope, HERE, 0)


class StalledReplica(SilentReplica):
    """A connection that stays open and delivers no message."""

    async def receive(self):
        await anyio.sleep_forever()


class HearTests(unittest.TestCase):
    def setUp(self):
        settings = parse_settings(
            CatalogEntrySettings,
            {
                "name": "e1",
                "data_hall": "suva",
                "callers_listen": "127.0.0.1:0",
                "seeds": "10.0.0.1:80,10.0.0.2:80",
                "control_port": "7100",
                "shared_key": "a key of sixteen",
            },
        )
        board = Blackboard(EntryName("e1"), DataHall("suva"), random.Random(1))
        self.state = CatalogBoard(board, EvidenceLog(), lone_retry_percent=5)
        identity = Identity("e1", b"a key of sixteen")
        self.follower = CatalogFollower(settings, self.state, identity)

    def test_a_heartbeat_of_a_replica_with_a_leader_sets_the_catalogs_age(self):
        self.follower._receive_heartbeat(HERE, 300, 10_000)
        self.assertEqual(self.state.age_ms(10_000), 300)

    def test_a_heartbeat_read_after_a_long_pause_may_be_as_old_as_the_pause(self):
        self.follower._receive_heartbeat(HERE, 300, 10_000)
        self.follower._receive_heartbeat(HERE, 300, 18_000)
        self.assertGreater(self.state.age_ms(18_000), 7_000)

    def test_a_replica_without_a_leader_is_abandoned_for_another(self):
        with self.assertRaises(CinderwayError) as raised:
            self.follower._receive_heartbeat(HERE, STALE_MS, 10_000)
        self.assertEqual(raised.exception.code, ErrorCode.NO_QUORUM)

    def test_an_entry_keeps_its_replica_while_no_replica_has_a_leader(self):
        self.follower._choice.avoid(THERE, 10_000, LEADERLESS_AVOID_MS)
        self.follower._receive_heartbeat(HERE, STALE_MS, 10_000)
        self.assertEqual(self.state.current_at_ms, 10_000 - STALE_MS)
        with self.assertRaises(CinderwayError):
            self.follower._receive_heartbeat(
                HERE, STALE_MS, 10_000 + LEADERLESS_AVOID_MS
            )

    def consume(self, service):
        until_ms = monotonic_ms() + 60_000
        return anyio.run(lambda: self.follower.consume(service, until_ms=until_ms))

    def test_the_local_retry_budget_is_emptied_when_a_replica_is_followed(self):
        row = ServiceRow(name=ServiceName("lookup"))
        service = ServiceState(row, RetryBudget(100, initial=1, maximum=1))
        self.state.board.services[row.name] = service
        with self.assertRaises(CinderwayError):
            anyio.run(self.follower._follow, SilentReplica(), HERE)
        self.assertFalse(self.consume(service))
        self.follower.credit(service)
        self.assertTrue(self.consume(service))

    def retry_granted_after(self, answer_ms, for_ms):
        """Return whether a retry is granted by a replica that answers late."""

        async def ask():
            service = ServiceState(ServiceRow(name=ServiceName("x")), RetryBudget(0))
            replica = SlowGrants(self.follower, answer_ms)
            self.follower._connection = replica
            self.follower._requests.connect(replica)
            until_ms = monotonic_ms() + for_ms
            return await self.follower.consume(service, until_ms=until_ms)

        return run_in_virtual_time(ask)

    def test_a_retry_grant_is_awaited_until_the_deadline(self):
        """A busy replica answered after 400 ms, later than the entry waited.

        The caller got the server's 500, although its deadline was seconds away and
        another server was free.
        """
        self.assertTrue(self.retry_granted_after(400, for_ms=3_000))
        self.assertFalse(self.retry_granted_after(400, for_ms=300))

    def test_a_replica_that_goes_silent_is_abandoned(self):
        with patch.object(_catalog_follower, "SILENCE_TIMEOUT_S", 0.01):
            with self.assertRaises(TimeoutError):
                anyio.run(self.follower._follow, StalledReplica(), HERE)
        self.assertFalse(self.follower.is_following)
