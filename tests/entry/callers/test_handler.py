"""Requests routed by the service table, with a fake in place of `Attempts`."""

import random
import unittest

import anyio

from cinderway._ids import DataHall, EntryName, ServiceName
from cinderway._operators import Metrics
from cinderway._settings import EntrySettings, parse_settings
from cinderway.entry._blackboard import Blackboard
from cinderway.entry.callers._handler import Handler
from cinderway.entry.callers._relay import WholeAnswer
from cinderway.entry.fleet._report_server import ReportServer
from cinderway.poison import REFUSAL_THRESHOLD
from cinderway.routing import RouteTable
from cinderway.table import ServiceRow


class AnsweringAttempts:
    """Answers each request at once and records it."""

    def __init__(self):
        self.requests = []

    async def fetch_answer(self, service, request, is_repeatable):
        self.requests.append(request)
        return WholeAnswer(200, [], b"done")


class PoisonTests(unittest.TestCase):
    def setUp(self):
        settings = parse_settings(
            EntrySettings,
            {
                "name": "e1",
                "data_hall": "suva",
                "listen": "127.0.0.1:0",
                "callers_listen": "127.0.0.1:0",
                "control": "127.0.0.1:1",
                "shared_key": "a key of sixteen",
            },
        )
        board = Blackboard(EntryName("e1"), DataHall("suva"), random.Random(1))
        row = ServiceRow(name=ServiceName("lookup"), routes=frozenset({"/lookup"}))
        board.refresh_services({row.name: row}, lambda name: {}, 0)
        board.routes = RouteTable([row])
        board.is_table_trusted = True
        self.attempts = AnsweringAttempts()
        self.handler = Handler(
            settings,
            board,
            self.attempts,
            streams=None,
            run_once=None,
            metrics=Metrics(),
            reports=ReportServer(board),
        )

    def ask(self, path="/lookup/x"):
        """Send one request; return the status and the headers of the answer."""
        sent = []
        parts = [{"type": "http.request", "body": b"", "more_body": False}]

        async def receive():
            if not parts:
                await anyio.sleep_forever()
            return parts.pop()

        async def send(message):
            sent.append(message)

        scope = {
            "type": "http",
            "method": "GET",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [(b"host", b"a.example")],
            "client": ("10.0.0.7", 40_000),
        }
        anyio.run(self.handler, scope, receive, send)
        return sent[0]["status"], dict(sent[0]["headers"])

    def test_a_request_that_ends_servers_is_refused_and_others_are_served(self):
        self.assertEqual(self.ask()[0], 200)
        for number in range(REFUSAL_THRESHOLD):
            self.attempts.requests[0].permit.record_failed_run(f"s{number}", 90)
        status, headers = self.ask()
        self.assertEqual(status, 503)
        self.assertEqual(headers[b"cinderway-outcome"], b"not_run")
        self.assertGreater(float(headers[b"retry-after"]), 60)
        self.assertEqual(self.ask("/lookup/y")[0], 200)
        self.assertEqual(len(self.attempts.requests), 2)
