"""Heartbeats of backend servers at control's HTTP interface."""

import json
import unittest
from types import SimpleNamespace

import anyio

from cinderway.catalog import CatalogMachine, encode_command
from cinderway.control._catalog_http import CatalogHttp
from cinderway.control._displaced_liveness import ALIVE_AFTER_MS, DisplacedLiveness


class ModelCommands:
    """Applies submitted commands at once, as a group of one replica would."""

    def __init__(self, machine):
        self.machine = machine
        self.submitted = []

    async def submit(self, command):
        self.submitted.append(type(command).__name__)
        self.machine.apply(len(self.submitted), encode_command(command))


class AlwaysAlive(DisplacedLiveness):
    """Treats each server as if it had sent heartbeats for long."""

    def record_heartbeat(self, server, now_ms):
        super().record_heartbeat(server, now_ms - ALIVE_AFTER_MS)
        return super().record_heartbeat(server, now_ms)


class HeartbeatTests(unittest.TestCase):
    def setUp(self):
        self.machine = CatalogMachine()
        self.commands = ModelCommands(self.machine)
        service = SimpleNamespace(machine=self.machine, commands=self.commands)
        self.http = CatalogHttp(service)

    def call(self, method, server_id, **fields):
        body = json.dumps(
            {
                "service": "lookup",
                "address": "10.0.0.1:80",
                "data_hall": "suva",
                "slots": 2,
                "status": "active",
                **fields,
            }
        ).encode()
        sent = []

        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message):
            sent.append(message)

        scope = {"type": "http", "method": method, "path": f"/v1/servers/{server_id}"}
        anyio.run(self.http, scope, receive, send)
        return sent[0]["status"]

    def servers(self):
        return list(self.machine.registry.servers)

    def test_a_live_server_displaced_by_a_late_heartbeat_is_reinstated(self):
        self.call("PUT", "i-living")
        self.call("PUT", "i-over")
        self.assertEqual(self.servers(), ["i-over"])
        self.http.liveness = AlwaysAlive()
        self.assertEqual(self.call("PUT", "i-living"), 200)
        self.assertEqual(self.servers(), ["i-living"])

    def test_a_single_late_heartbeat_does_not_reinstate_a_displaced_server(self):
        self.call("PUT", "i-over")
        self.call("PUT", "i-living")
        self.assertEqual(self.call("PUT", "i-over"), 200)
        self.assertEqual(self.servers(), ["i-living"])

    def test_a_displaced_server_that_deregisters_is_not_reinstated(self):
        self.call("PUT", "i-living")
        self.call("PUT", "i-over")
        self.call("DELETE", "i-living")
        self.http.liveness = AlwaysAlive()
        self.call("PUT", "i-living")
        self.assertEqual(self.servers(), ["i-over"])
        self.assertEqual(
            self.commands.submitted, ["Register", "Register", "Deregister"]
        )

    def test_registered_servers_are_listed_with_their_start_times(self):
        self.call("PUT", "i-1")
        listed = json.loads(
            anyio.run(self.http._answer, ("GET", "/v1/servers"), None).body
        )
        found = [(row["server_id"], row["started_at_ms"]) for row in listed]
        self.assertEqual(found, [("i-1", 0)])

    def test_an_invalid_heartbeat_displaces_no_server_and_is_logged_once(self):
        self.call("PUT", "i-1")
        with self.assertLogs("cinderway", "INFO") as logs:
            for _ in range(3):
                self.assertEqual(self.call("PUT", "i-2", slots="two"), 400)
        self.assertEqual(self.servers(), ["i-1"])
        self.assertEqual(self.http.refused.count, 3)
        self.assertEqual(len(logs.output), 1)
