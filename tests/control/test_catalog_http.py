"""Heartbeats of backend servers, as control's HTTP interface takes them."""

import json
import unittest
from types import SimpleNamespace

import anyio

from cinderway.catalog import CatalogMachine, encode_command
from cinderway.control._catalog_http import CatalogHttp
from cinderway.control._displaced_heard import ALIVE_AFTER_MS, DisplacedLiveness


class Commands:
    """Applies what is submitted at once, as a group of one would."""

    def __init__(self, machine):
        self.machine = machine
        self.submitted = []

    async def submit(self, command):
        self.submitted.append(type(command).__name__)
        self.machine.apply(len(self.submitted), encode_command(command))


class HeardLongAgo(DisplacedLiveness):
    """Has heard each server since long before."""

    def record_heartbeat(self, server, now_ms):
        super().record_heartbeat(server, now_ms - ALIVE_AFTER_MS)
        return super().record_heartbeat(server, now_ms)


class HeartbeatTests(unittest.TestCase):
    def setUp(self):
        self.machine = CatalogMachine()
        self.commands = Commands(self.machine)
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

    def test_a_start_heard_of_late_does_not_put_the_living_one_out_for_good(self):
        self.call("PUT", "i-living")
        self.call("PUT", "i-over")
        self.assertEqual(self.servers(), ["i-over"])
        self.http.liveness = HeardLongAgo()
        self.assertEqual(self.call("PUT", "i-living"), 200)
        self.assertEqual(self.servers(), ["i-living"])

    def test_a_single_late_heartbeat_of_a_displaced_server_changes_nothing(self):
        self.call("PUT", "i-over")
        self.call("PUT", "i-living")
        self.assertEqual(self.call("PUT", "i-over"), 200)
        self.assertEqual(self.servers(), ["i-living"])

    def test_a_displaced_server_that_leaves_for_good_is_taken_at_its_word(self):
        self.call("PUT", "i-living")
        self.call("PUT", "i-over")
        self.call("DELETE", "i-living")
        self.http.liveness = HeardLongAgo()
        self.call("PUT", "i-living")
        self.assertEqual(self.servers(), ["i-over"])
        self.assertEqual(
            self.commands.submitted, ["Register", "Register", "Deregister"]
        )

    def test_registered_servers_are_listed_with_their_starts(self):
        self.call("PUT", "i-1")
        listed = json.loads(
            anyio.run(self.http._answer, ("GET", "/v1/servers"), None).body
        )
        found = [(row["server_id"], row["started_at_ms"]) for row in listed]
        self.assertEqual(found, [("i-1", 0)])

    def test_a_heartbeat_that_says_what_no_server_is_moves_nobody_and_is_told_once(
        self,
    ):
        self.call("PUT", "i-1")
        with self.assertLogs("cinderway", "INFO") as logs:
            for _ in range(3):
                self.assertEqual(self.call("PUT", "i-2", slots="two"), 400)
        self.assertEqual(self.servers(), ["i-1"])
        self.assertEqual(self.http.refused.count, 3)
        self.assertEqual(len(logs.output), 1)
