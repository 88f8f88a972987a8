"""Tests of callers' requests while backend servers, entries and the ledger fail."""

import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor

from standins.backend import map_bytes
from standins.fleet import request
from tests.system.support import FleetCase

KEY = {"Idempotency-Key": "key-1", "X-Caller": "ana"}
MAP_KIB = 1024


class RunOnceTest(FleetCase):
    def post(self, entry, key="key-1", body=b"42", **headers):
        fields = {**KEY, "Idempotency-Key": key, **headers}
        return request(entry, "POST", "/readings/m", body, fields)

    def test_a_submission_sent_concurrently_through_every_entry_runs_once(self):
        for number in range(5):
            key = f"many-{number}"
            with ThreadPoolExecutor(6) as pool:
                answers = list(
                    pool.map(
                        lambda e, key=key: self.post(e, key), self.fleet.entries * 2
                    )
                )
            self.assertEqual(self.count_runs(key), 1)
            self.assertEqual({answer[2] for answer in answers}, {answers[0][2]})
            self.assertEqual({answer[0] for answer in answers}, {200})

    def test_same_key_with_another_body_is_refused_and_not_run(self):
        self.post(self.fleet.entries[0])
        status, headers, _ = self.post(self.fleet.entries[1], body=b"43")
        self.assertEqual(status, 422)
        self.assertEqual(headers["cinderway-outcome"], "not_run")
        self.assertEqual(self.count_runs("key-1"), 1)

    def test_submission_without_a_key_is_refused_where_one_is_required(self):
        status, headers, _ = request(self.fleet.entries[0], "POST", "/readings/m", b"1")
        self.assertEqual((status, headers["cinderway-outcome"]), (428, "not_run"))

    def test_a_submission_whose_response_is_lost_is_unknown_and_not_rerun(self):
        for server in ("readings-1", "readings-2"):
            self.fleet.set_faults(server, drop_answer=True)
        deadline = {"Cinderway-Deadline-Ms": "800"}
        first = self.post(self.fleet.entries[0], **deadline)
        again = self.post(self.fleet.entries[1], **deadline)
        self.assertEqual(first[1]["cinderway-outcome"], "unknown")
        self.assertEqual(again[1]["cinderway-outcome"], "unknown")
        self.assertEqual(self.count_runs("key-1"), 1)

    def test_entry_killed_while_it_runs_leaves_a_claim_that_operators_settle(self):
        for server in ("readings-1", "readings-2"):
            self.fleet.set_faults(server, stall=True)
        entry, other = self.fleet.entries[:2]
        deadline = {"Cinderway-Deadline-Ms": "1500"}
        with ThreadPoolExecutor(1) as pool:
            sent = pool.submit(lambda: self.post(entry, **deadline))
            self.wait_until(
                lambda: any(
                    self.fleet.counts(s)["in_use"] for s in ("readings-1", "readings-2")
                ),
                "the submission at a backend server",
            )
            self.fleet.kill(entry.name)
            self.assertIsNotNone(sent.exception())
        status, headers, _ = self.post(other, **deadline)
        self.assertEqual((status, headers["cinderway-outcome"]), (409, "unknown"))
        self.wait_until(
            lambda: "1 in doubt" in self.fleet.cli("claims", "list").stdout,
            "the claim listed in doubt",
        )
        self.fleet.cli("claims", "settle", "readings", "ana", "key-1", "ran")
        self.assertIn("0 in doubt", self.fleet.cli("claims", "list").stdout)

    def test_without_a_ledger_quorum_only_run_once_requests_are_refused(self):
        for address in self.fleet.ledger[:2]:
            self.fleet.kill(f"ledger-{address}")
        status, headers, _ = self.post(
            self.fleet.entries[0], **{"Cinderway-Deadline-Ms": "1000"}
        )
        self.assertEqual(status, 503)
        self.assertEqual(headers["cinderway-outcome"], "not_run")
        self.assertIn("retry-after", headers)
        self.assertEqual(self.count_runs("key-1"), 0)
        self.assertEqual(request(self.fleet.entries[0], "GET", "/lookup/a")[0], 200)

    def test_run_once_requests_succeed_after_a_ledger_replica_is_killed(self):
        for number, address in enumerate(self.fleet.ledger):
            self.fleet.kill(f"ledger-{address}")
            self.fleet.wait_for_exit(f"ledger-{address}")
            key = f"kill-{number}"
            status, _, answer = self.post(self.fleet.entries[number], key)
            self.assertEqual(status, 200, answer)
            self.assertEqual(self.count_runs(key), 1)
            self.fleet.start_replica("ledger", address)
            # With two of three replicas down the request would be refused, correctly.
            self.wait_until(
                lambda: self.fleet.is_group_complete(self.fleet.ledger),
                "the replica in the group",
            )
            again = self.post(self.fleet.entries[0], f"kill-{number}")
            self.assertEqual(again[1]["cinderway-outcome"], "ran")
            self.assertEqual(self.count_runs(key), 1)


class AnswerTest(FleetCase):
    def test_an_interrupted_download_is_resumed_at_another_server(self):
        for server in ("maps-1", "maps-2"):
            self.fleet.set_faults(server, cut_body=True)
        for entry in self.fleet.entries:
            _, _, body = request(entry, "GET", f"/maps/{MAP_KIB}")
            self.assertEqual(body, map_bytes(0, MAP_KIB * 1024))

    def test_a_download_that_cannot_be_resumed_ends_with_an_error(self):
        for server in ("maps-1", "maps-2", "maps-3"):
            self.fleet.set_faults(server, cut_body=True, weak_etag=True)
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.fleet.entries[0].callers_port, timeout=30
        )
        self.addCleanup(connection.close)
        connection.request("GET", f"/maps/{MAP_KIB * 16}")
        answer = connection.getresponse()
        with self.assertRaises((http.client.IncompleteRead, OSError)):
            answer.read()

    def test_a_late_response_never_reaches_another_request(self):
        entry = self.fleet.entries[0]
        for server in (f"lookup-{n}" for n in range(1, 5)):
            self.fleet.set_faults(server, stall=True)
        late = {"Cinderway-Deadline-Ms": "400"}
        with ThreadPoolExecutor(8) as pool:
            list(
                pool.map(
                    lambda n: request(entry, "GET", f"/lookup/late-{n}", None, late),
                    range(8),
                )
            )
        for server in (f"lookup-{n}" for n in range(1, 5)):
            self.fleet.set_faults(server)
        for number in range(40):
            path = f"/lookup/own-{number}"
            status, _, body = request(entry, "GET", path)
            if status == 200:
                self.assertEqual(json.loads(body)["echo"], path + "?")

    def test_a_callers_disconnect_cancels_its_request_at_the_server(self):
        """Uses a service without probes.

        A probe in progress would otherwise be counted as the caller's request.
        """
        for number in (1, 2, 3):
            self.fleet.set_faults(f"maps-{number}", stall=True)
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.fleet.entries[0].callers_port, timeout=30
        )
        connection.request("GET", "/maps/64")
        counts = self.map_counts
        self.wait_until(lambda: counts("in_use") > 0, "the request at a server")
        connection.close()
        self.wait_until(
            lambda: counts("in_use") == 0 and counts("cancelled") > 0,
            "the request cancelled",
        )

    def map_counts(self, counter):
        return sum(self.fleet.counts(f"maps-{n}")[counter] for n in (1, 2, 3))

    def test_drain_signal_seen_by_one_entry_reaches_all(self):
        self.fleet.set_faults("lookup-1", drain=True)
        self.wait_until(
            lambda: "lookup-1" not in self.find_answering_servers(30),
            "every entry informed",
        )
        self.assertNotIn("lookup-1", self.find_answering_servers(60))

    def test_a_server_with_retry_after_gets_at_most_one_request_per_entry(self):
        self.fleet.set_faults("readings-1", rest_s=30)
        shed_before = self.fleet.counts("readings-1")["shed"]
        for number in range(18):
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            fields = {"Idempotency-Key": f"rest-{number}", "X-Caller": "ana"}
            status, _, _ = request(entry, "POST", "/readings/m", b"42", fields)
            self.assertEqual(status, 200)
        shed = self.fleet.counts("readings-1")["shed"] - shed_before
        self.assertLessEqual(shed, len(self.fleet.entries))

    def test_all_entries_together_stay_within_a_servers_rate_limit(self):
        """The assessors distribute a server's rate limit to all entries.

        Acting on its own, each entry would send this server a third of the requests.
        """
        rate_per_s = 0.5
        self.fleet.set_faults("readings-1", rate_limit_per_s=rate_per_s)
        served_before = self.fleet.counts("readings-1")["served"]
        began_s = time.monotonic()
        for number in range(60):
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            fields = {"Idempotency-Key": f"limit-{number}", "X-Caller": "ana"}
            status, _, _ = request(entry, "POST", "/readings/m", b"42", fields)
            self.assertEqual(status, 200)
        elapsed_s = time.monotonic() - began_s
        served = self.fleet.counts("readings-1")["served"] - served_before
        # The number of requests the server accepts in this time, plus one from each
        # entry that did not yet know the limit.
        allowed = 1.5 * rate_per_s * elapsed_s + 5
        self.assertLessEqual(served, allowed + len(self.fleet.entries))

    def find_answering_servers(self, count):
        """Return the servers that answer `count` lookups spread over all entries."""
        entries = self.fleet.entries * (count // len(self.fleet.entries))
        answers = [request(entry, "GET", "/lookup/a") for entry in entries]
        return {json.loads(body)["server"] for _, _, body in answers}

    def test_a_refusal_names_its_error_and_outcome(self):
        status, headers, body = request(self.fleet.entries[0], "GET", "/nowhere")
        problem = json.loads(body)
        self.assertEqual((status, headers["cinderway-outcome"]), (404, "not_run"))
        self.assertEqual(problem["type"], "urn:cinderway:error:unknown-service")
        self.assertEqual(problem["step"], "route")


class StopTest(FleetCase):
    def test_a_rolling_restart_of_the_entries_interrupts_no_request(self):
        stop, results = [], []

        def caller(number):
            while not stop:
                ready = [
                    e for e in self.fleet.entries if e.callers_port in balanced_ports
                ]
                if not ready:
                    continue
                entry = ready[number % len(ready)]
                path = f"/maps/{MAP_KIB}" if number % 2 else "/lookup/a"
                try:
                    results.append(request(entry, "GET", path)[0])
                except (OSError, http.client.HTTPException) as error:
                    results.append(repr(error))

        balanced_ports = {entry.callers_port for entry in self.fleet.entries}
        with ThreadPoolExecutor(6) as pool:
            for number in range(6):
                pool.submit(caller, number)
            try:
                for entry in self.fleet.entries:
                    self.fleet.kill(entry.name, 15)
                    time.sleep(0.5)
                    balanced_ports.discard(entry.callers_port)
                    self.assertEqual(self.fleet.wait_for_exit(entry.name), 0)
                    self.fleet.start_entry(entry)
                    self.wait_until(
                        lambda entry=entry: self.fleet.is_ready(entry), "ready again"
                    )
                    balanced_ports.add(entry.callers_port)
            finally:
                stop.append(True)
        self.assertEqual(set(results), {200})

    def test_a_stopping_entry_completes_its_submissions(self):
        entry = self.fleet.entries[0]
        with ThreadPoolExecutor(4) as pool:
            sent = [
                pool.submit(request, entry, "POST", "/readings/m", b"1", headers)
                for headers in ({**KEY, "Idempotency-Key": f"k{n}"} for n in range(4))
            ]
            self.wait_until(
                lambda: any(self.count_runs(f"k{n}") for n in range(4)), "one running"
            )
            self.fleet.kill(entry.name, 15)
            self.assertEqual({answer.result()[0] for answer in sent}, {200})
        self.assertEqual(self.fleet.wait_for_exit(entry.name), 0)
