"""When an entry leaves the control replica that it follows."""

import random
import unittest
from unittest.mock import patch

import anyio

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, DataHall, EntryName, ServiceName
from cinderway._settings import CatalogEntrySettings, parse_settings
from cinderway.entry._blackboard import Blackboard, ServiceState
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.fleet import _catalog_follower
from cinderway.entry.fleet._catalog_follower import (
    KNOWLEDGE_AGE_LIMIT_MS,
    CatalogFollower,
)
from cinderway.entry.fleet._replica_choice import LEADERLESS_AVOID_MS
from cinderway.judgement import EvidenceLog
from cinderway.limits import RetryBudget
from cinderway.table import ServiceRow
from cinderway.wire import Identity

HERE, THERE = (Address(f"10.0.0.{number}:7100") for number in (1, 2))
STALE_MS = KNOWLEDGE_AGE_LIMIT_MS + 1


class SilentReplica:
    """A connection on which nothing comes, and that ends at once."""

    async def send(self, message, call_id=0):
        pass

    async def receive(self):
        raise CinderwayError(
            ErrorCode.PEER_UNREACHABLE, "the connection ended", step=Step.RECEIVE
        )

    async def aclose(self):
        pass


class StalledReplica(SilentReplica):
    """A connection that stays open and on which nothing comes."""

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

    def test_a_replica_that_hears_a_leader_says_how_old_the_catalog_may_be(self):
        self.follower._hear(HERE, 300, 10_000)
        self.assertEqual(self.state.age_ms(10_000), 300)

    def test_one_without_a_leader_is_left_for_another(self):
        with self.assertRaises(CinderwayError) as raised:
            self.follower._hear(HERE, STALE_MS, 10_000)
        self.assertEqual(raised.exception.code, ErrorCode.NO_QUORUM)

    def test_where_all_are_without_a_leader_an_entry_stays_with_one_for_a_while(self):
        self.follower._choice.avoid(THERE, 10_000, LEADERLESS_AVOID_MS)
        self.follower._hear(HERE, STALE_MS, 10_000)
        self.assertEqual(self.state.current_at_ms, 10_000 - STALE_MS)
        with self.assertRaises(CinderwayError):
            self.follower._hear(HERE, STALE_MS, 10_000 + LEADERLESS_AVOID_MS)

    def test_what_was_earned_alone_is_given_up_for_the_shared_budget(self):
        row = ServiceRow(name=ServiceName("lookup"))
        service = ServiceState(row, RetryBudget(100, initial=1, maximum=1))
        self.state.board.services[row.name] = service
        with self.assertRaises(CinderwayError):
            anyio.run(self.follower._follow, SilentReplica(), HERE)
        self.assertFalse(anyio.run(self.follower.spend, service))
        self.follower.earn(service)
        self.assertTrue(anyio.run(self.follower.spend, service))

    def test_a_replica_whose_connection_went_silent_is_left(self):
        with patch.object(_catalog_follower, "SILENT_LIMIT_S", 0.01):
            with self.assertRaises(TimeoutError):
                anyio.run(self.follower._follow, StalledReplica(), HERE)
        self.assertFalse(self.follower.is_following)
