"""Detection of each kind of gray failure, in virtual time."""

import random
import unittest

from cinderway.judgement import ServerEvidence, ServerStanding, ServiceJudge
from cinderway.table import Bias, ServiceRow

SERVERS = [f"s{n}" for n in range(10)]
ENTRIES = [f"e{n}" for n in range(12)]
HALLS = ["suva", "lautoka", "nadi"]
REPORT_MS = 100
RATE_PER_S = 100


def hall_of(entry):
    return HALLS[int(entry[1:]) % len(HALLS)]


class World:
    """Simulates entries that send requests at random and report the outcomes.

    `failing(entry, server, now_ms)` returns the probability that a request fails.
    """

    def __init__(
        self,
        failing,
        bias=Bias.BALANCED,
        entries=ENTRIES,
        rate=RATE_PER_S,
        seed=7,
    ):
        self.failing = failing
        self.service = ServiceRow(
            name="lookup",
            bias=bias,
            slow_start_ms=1000,
            probe_path="/lookup/probe",
        )
        self.entries = entries
        self.rate = rate
        self.rng = random.Random(seed)
        self.judge = ServiceJudge()
        self.now_ms = 0
        self.history = []

    def run(self, ms):
        for _ in range(ms // REPORT_MS):
            self.now_ms += REPORT_MS
            for entry in self.entries:
                self.judge.record_reporter(entry, hall_of(entry), self.now_ms)
            requests = round(self.rate * REPORT_MS / 1000)
            for _ in range(requests):
                self.send_one()
            self.probe_suspects()
            self.judge.decide(self.service, SERVERS, self.now_ms)
            self.history.append((self.now_ms, self.out()))
        return self

    def probe_suspects(self):
        for record in self.judge.records():
            probes = self.judge.probes_per_s(record, self.service) * REPORT_MS / 1000
            for _ in range(round(probes)):
                self.observe(self.rng.choice(self.entries), record.name)

    def send_one(self):
        entry = self.rng.choice(self.entries)
        usable = [s for s in SERVERS if s not in self.out(hall_of(entry))]
        self.observe(entry, self.rng.choice(usable))

    def observe(self, entry, server):
        is_bad = self.rng.random() < self.failing(entry, server, self.now_ms)
        evidence = ServerEvidence(
            "lookup",
            server,
            good=int(not is_bad),
            overdue=int(is_bad),
            time_sum_ms=25.0,
            time_count=1,
        )
        self.judge.record_evidence(
            entry, hall_of(entry), evidence, self.service, self.now_ms
        )

    def out(self, hall=None):
        return {
            record.name
            for record in self.judge.records()
            if record.standing is ServerStanding.EJECTED
            and (hall is None or not record.halls or hall in record.halls)
        }

    def ever_out(self):
        return set().union(*(out for _, out in self.history))

    def first_out_ms(self, server):
        return next((ms for ms, out in self.history if server in out), None)


class JudgeTest(unittest.TestCase):
    def test_stalled_server_is_ejected_within_a_second(self):
        world = World(lambda entry, server, now: server == "s3").run(5000)
        self.assertLessEqual(world.first_out_ms("s3"), 1000)
        self.assertEqual(world.ever_out(), {"s3"})

    def test_server_that_fails_a_third_of_its_requests_is_ejected(self):
        world = World(lambda e, server, now: 0.3 * (server == "s3")).run(8000)
        self.assertLessEqual(world.first_out_ms("s3"), 4000)
        self.assertEqual(world.ever_out(), {"s3"})

    def test_server_that_fails_a_third_is_soon_ejected_for_every_hall(self):
        """Guards against an ejection that stays limited to one data hall.

        The early observations of one hall can look like a network partition, so the
        server may be ejected for that hall first; the others must follow.
        """
        for seed in range(12):
            world = World(lambda e, server, now: 0.3 * (server == "s3"), seed=seed)
            while not world.out() and world.now_ms < 20_000:
                world.run(100)
            found_ms = {hall: None for hall in HALLS}
            began_ms = world.now_ms
            while None in found_ms.values() and world.now_ms < began_ms + 6_000:
                for hall in HALLS:
                    if world.out(hall) and found_ms[hall] is None:
                        found_ms[hall] = world.now_ms
                world.run(100)
            self.assertNotIn(None, found_ms.values(), f"seed {seed}")

    def test_healthy_servers_with_occasional_failures_are_not_ejected(self):
        world = World(lambda entry, server, now: 0.005).run(120_000)
        self.assertEqual(world.ever_out(), set())

    def test_faulty_entry_ejects_nothing(self):
        world = World(lambda entry, server, now: entry == "e0").run(30_000)
        self.assertEqual(world.ever_out(), set())

    def test_faulty_entry_and_one_unrelated_failure_eject_nothing(self):
        unrelated_failures = [True]

        def failing(entry, server, now):
            if server != "s3":
                return False
            return entry == "e0" or (
                now >= 5_000 and bool(unrelated_failures) and unrelated_failures.pop()
            )

        world = World(failing, bias=Bias.DETECT_SOON).run(20_000)
        self.assertEqual(world.ever_out(), set())

    def test_faulty_entry_does_not_hide_a_failing_server(self):
        world = World(lambda e, server, now: e == "e0" or server == "s3").run(6000)
        self.assertEqual(world.ever_out(), {"s3"})

    def test_service_that_is_slow_as_a_whole_keeps_its_servers(self):
        world = World(lambda entry, server, now: 0.9 * (now > 3000)).run(20_000)
        self.assertEqual(world.ever_out(), set())

    def test_requests_that_fail_on_every_server_eject_nothing(self):
        world = World(lambda entry, server, now: 0.25 * (now > 3000)).run(20_000)
        self.assertEqual(world.ever_out(), set())

    def test_half_of_the_servers_failing_at_once_are_all_ejected(self):
        failing_servers = set(SERVERS[:5])
        world = World(
            lambda e, server, now: server in failing_servers and now > 2000
        ).run(15_000)
        self.assertEqual(world.ever_out(), failing_servers)

    def test_server_partitioned_from_one_hall_is_ejected_there_only(self):
        def failing(entry, server, now):
            return server == "s3" and hall_of(entry) == "nadi"

        world = World(failing).run(6000)
        self.assertIn("s3", world.out("nadi"))
        self.assertNotIn("s3", world.out("suva"))

    def test_hall_of_entries_partitioned_later_ejects_nothing_elsewhere(self):
        """Guards against ejections in the healthy halls when a partition begins later.

        As test_partitioned_hall_of_entries_ejects_nothing_elsewhere, for many seeds.
        """
        far = set(SERVERS[:6])

        def failing(entry, server, now):
            return now > 3_000 and hall_of(entry) == "nadi" and server in far

        for seed in range(12):
            world = World(failing, bias=Bias.DETECT_SOON, seed=seed)
            for _ in range(60):
                world.run(100)
                elsewhere = world.out("suva") | world.out("lautoka")
                self.assertEqual(elsewhere, set(), f"seed {seed}, {world.now_ms} ms")

    def test_partitioned_hall_of_entries_ejects_nothing_elsewhere(self):
        far = set(SERVERS[:6])

        def failing(entry, server, now):
            return hall_of(entry) == "nadi" and server in far

        world = World(failing).run(8000)
        self.assertEqual(world.out("suva") | world.out("lautoka"), set())

    def test_flapping_server_is_ejected_for_longer_each_time(self):
        def failing(entry, server, now):
            return server == "s3" and now // 3000 % 2 == 0

        world = World(failing).run(60_000)
        out = [ms for ms, servers in world.history if "s3" in servers]
        early = sum(ms <= 20_000 for ms in out)
        late = sum(ms > 40_000 for ms in out)
        self.assertGreater(late, early)

    def test_recovered_server_is_readmitted_by_trial_and_slow_start(self):
        world = World(lambda e, server, now: server == "s3" and now < 3000).run(15_000)
        record = next(r for r in world.judge.records() if r.name == "s3")
        self.assertIs(record.standing, ServerStanding.HEALTHY)

    def test_only_entry_of_a_small_fleet_can_eject_alone(self):
        world = World(lambda e, server, now: server == "s3", entries=["e0"]).run(5000)
        self.assertEqual(world.ever_out(), {"s3"})

    def test_bias_trades_detection_time_for_false_ejections(self):
        def found_ms(bias):
            world = World(lambda e, server, now: 0.4 * (server == "s3"), bias)
            return world.run(9000).first_out_ms("s3")

        self.assertLess(found_ms(Bias.DETECT_SOON), found_ms(Bias.EJECT_RARELY))

    def test_only_server_of_a_service_is_never_ejected(self):
        judge = ServiceJudge()
        service = ServiceRow(name="lookup")
        for now_ms in range(100, 5000, 100):
            for entry in ENTRIES:
                judge.record_reporter(entry, "suva", now_ms)
                evidence = ServerEvidence("lookup", "s0", overdue=1)
                judge.record_evidence(entry, "suva", evidence, service, now_ms)
            judge.decide(service, ["s0"], now_ms)
        self.assertIs(judge.records()[0].standing, ServerStanding.HEALTHY)
