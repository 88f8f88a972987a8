import unittest

import msgspec

from cinderway._ids import Address, DataHall, EntryName, ServerName, ServiceName
from cinderway.catalog import (
    AnnounceReplica,
    CatalogMachine,
    EvidenceBatch,
    Register,
    RegisteredServer,
    ServerStatus,
    encode_command,
)
from cinderway.control._hall_assessor import HallAssessor, JudgementRules
from cinderway.judgement import ServerEvidence
from cinderway.table import Bias

LOOKUP = ServiceName("lookup")
SERVERS = [ServerName(f"i-{n}") for n in range(1, 6)]
ENTRIES = [EntryName(f"e{n}") for n in range(1, 5)]


def catalog():
    machine = CatalogMachine()
    commands = [
        Register(
            RegisteredServer(
                name,
                LOOKUP,
                Address(f"10.0.0.{n}:80"),
                DataHall("suva"),
                3,
                ServerStatus.ACTIVE,
            )
        )
        for n, name in enumerate(SERVERS)
    ]
    replica = AnnounceReplica(
        Address("10.1.0.1:7100"), DataHall("suva"), Address("10.1.0.1:80")
    )
    for index, command in enumerate([*commands, replica], 1):
        machine.apply(index, encode_command(command))
    return machine


def build_batch(entry, bad=(), good=()):
    found = [ServerEvidence(LOOKUP, name, error=1) for name in bad]
    found += [ServerEvidence(LOOKUP, name, good=1) for name in good]
    return EvidenceBatch(entry, DataHall("suva"), msgspec.msgpack.encode(found), [], [])


class HallAssessorTests(unittest.TestCase):
    def setUp(self):
        self.catalog = catalog()
        self.now_ms = 0

    def assessor(self, floor_percent=50):
        return HallAssessor(JudgementRules(Bias.BALANCED, floor_percent))

    def observe(self, assessor, bad, rounds=8):
        """Let all entries see some servers fail and the others succeed."""
        good = [name for name in SERVERS if name not in bad]
        for _ in range(rounds):
            for entry in ENTRIES:
                self.now_ms += 20
                assessor.record_evidence(build_batch(entry, bad, good), self.now_ms)
        return assessor.decide(self.catalog, self.now_ms)["suva"].lines

    def test_a_server_that_entries_see_fail_is_ejected(self):
        lines = self.observe(self.assessor(), SERVERS[:1])
        self.assertEqual([(li.server, li.is_ejected) for li in lines], [("i-1", True)])

    def test_failures_seen_by_one_entry_alone_eject_no_server(self):
        assessor = self.assessor()
        for _ in range(8):
            for entry in ENTRIES[1:]:
                assessor.record_evidence(build_batch(entry, (), SERVERS), self.now_ms)
            assessor.record_evidence(build_batch(ENTRIES[0], SERVERS[:1]), self.now_ms)
        self.assertEqual(assessor.decide(self.catalog, self.now_ms)["suva"].lines, [])

    def test_the_floor_prevents_ejections(self):
        lines = self.observe(self.assessor(floor_percent=100), SERVERS[:1])
        self.assertFalse(any(line.is_ejected for line in lines))

    def test_a_new_suspect_is_returned_once(self):
        assessor = self.assessor()
        assessor.record_evidence(build_batch(ENTRIES[0], SERVERS[:1]), 100)
        suspects = assessor.new_suspects(100)
        self.assertEqual(suspects.servers, ["i-1"])
        self.assertIsNone(assessor.new_suspects(100))
        assessor.record_evidence(build_batch(ENTRIES[1], SERVERS[:1]), 100)
        self.assertIsNone(assessor.new_suspects(100))

    def test_two_suspects_at_the_same_time_are_both_returned(self):
        assessor = self.assessor()
        assessor.record_evidence(build_batch(ENTRIES[0], SERVERS[:1]), 100)
        self.assertEqual(assessor.new_suspects(100).servers, ["i-1"])
        assessor.record_evidence(build_batch(ENTRIES[0], SERVERS[1:2]), 100)
        self.assertEqual(assessor.new_suspects(100).servers, ["i-2"])

    def suspects_after(self, evidence):
        assessor = self.assessor()
        sent = build_batch(ENTRIES[0])
        sent = msgspec.structs.replace(sent, servers=msgspec.msgpack.encode([evidence]))
        assessor.record_evidence(sent, 100)
        return assessor.new_suspects(100)

    def test_a_slow_answer_makes_no_suspect(self):
        slow = ServerEvidence(LOOKUP, SERVERS[0], slow=1)
        self.assertIsNone(self.suspects_after(slow))

    def test_an_overdue_request_makes_a_suspect_before_it_has_failed(self):
        overdue = ServerEvidence(LOOKUP, SERVERS[0], overdue=1)
        self.assertEqual(self.suspects_after(overdue).servers, ["i-1"])

    def answer(self, assessor, times_ms):
        evidence = ServerEvidence(
            LOOKUP,
            SERVERS[0],
            good=len(times_ms),
            time_sum_ms=sum(times_ms),
            time_count=len(times_ms),
            answer_times_ms=times_ms,
        )
        sent = msgspec.structs.replace(
            build_batch(ENTRIES[0]), servers=msgspec.msgpack.encode([evidence])
        )
        assessor.record_evidence(sent, self.now_ms)
        return assessor.decide(self.catalog, self.now_ms)["suva"].paces

    def test_entries_are_sent_the_response_times_of_a_service(self):
        (pace,) = self.answer(self.assessor(), list(range(1, 101)))
        self.assertEqual((pace.usual_ms, pace.slow_ms, pace.late_ms), (50, 90, 95))

    def test_too_few_answers_give_no_response_times(self):
        self.assertEqual(self.answer(self.assessor(), [100] * 10), [])

    def test_response_times_are_sent_again_only_after_a_large_change(self):
        assessor = self.assessor()
        (first,) = self.answer(assessor, [100] * 50)
        self.assertEqual(self.answer(assessor, [110] * 100), [first])
        (moved,) = self.answer(assessor, [200] * 500)
        self.assertEqual(moved.usual_ms, 200)

    def test_old_response_times_are_forgotten(self):
        assessor = self.assessor()
        self.answer(assessor, [100] * 50)
        for _ in range(2):
            self.now_ms += 10_000
            (pace,) = self.answer(assessor, [250] * 50)
        self.assertEqual(pace.usual_ms, 250)

    def serve(self, assessor, slow_ms, rounds=3):
        """Let all entries get answers in 100 ms, except from the first server."""
        for _ in range(rounds):
            self.now_ms += 100
            for entry in ENTRIES:
                found = [
                    ServerEvidence(
                        LOOKUP,
                        name,
                        good=1,
                        time_sum_ms=slow_ms if name == SERVERS[0] else 100.0,
                        time_count=1,
                    )
                    for name in SERVERS
                ]
                sent = msgspec.structs.replace(
                    build_batch(entry), servers=msgspec.msgpack.encode(found)
                )
                assessor.record_evidence(sent, self.now_ms)
        lines = assessor.decide(self.catalog, self.now_ms)["suva"].lines
        return {line.server: line.share for line in lines}

    def test_a_slow_server_keeps_a_part_of_its_weight(self):
        assessor = self.assessor()
        self.assertEqual(self.serve(assessor, slow_ms=190.0), {})
        self.assertEqual(self.serve(assessor, slow_ms=320.0, rounds=9), {"i-1": 0.5})
        self.assertEqual(self.serve(assessor, slow_ms=900.0, rounds=9), {"i-1": 0.25})

    def test_a_server_that_is_no_longer_slow_regains_its_weight_within_seconds(self):
        assessor = self.assessor()
        self.serve(assessor, slow_ms=400.0)
        self.now_ms += 4_000
        self.assertEqual(self.serve(assessor, slow_ms=100.0), {})

    def test_a_few_answers_make_no_server_slow(self):
        assessor = self.assessor()
        found = [ServerEvidence(LOOKUP, SERVERS[0], 3, time_sum_ms=9e3, time_count=3)]
        found += [
            ServerEvidence(LOOKUP, name, 3, time_sum_ms=300.0, time_count=3)
            for name in SERVERS[1:]
        ]
        sent = msgspec.structs.replace(
            build_batch(ENTRIES[0]), servers=msgspec.msgpack.encode(found)
        )
        assessor.record_evidence(sent, 100)
        self.assertEqual(assessor.decide(self.catalog, 100)["suva"].lines, [])
