"""Heartbeats of backend servers, as control's HTTP interface takes them."""

import json
import unittest
from types import SimpleNamespace

import anyio

from cinderway.catalog import CatalogMachine, encode_command
from cinderway.control._catalog_http import CatalogHttp
from cinderway.control._displaced_heard import ALIVE_AFTER_MS, DisplacedHeard


class Commands:
    """Applies what is submitted at once, as a group of one would."""

    def __init__(self, machine):
        self.machine = machine
        self.submitted = []

    async def submit(self, command):
        self.submitted.append(type(command).__name__)
        self.machine.apply(len(self.submitted), encode_command(command))


class HeardLongAgo(DisplacedHeard):
    """Has heard each server since long before."""

    def is_alive(self, server, now_ms):
        super().is_alive(server, now_ms - ALIVE_AFTER_MS)
        return super().is_alive(server, now_ms)


class HeartbeatTests(unittest.TestCase):
    def setUp(self):
        self.machine = CatalogMachine()
        self.commands = Commands(self.machine)
        service = SimpleNamespace(machine=self.machine, commands=self.commands)
        self.http = CatalogHttp(service)

    def call(self, method, server_id):
        body = json.dumps(
            {
                "service": "lookup",
                "address": "10.0.0.1:80",
                "data_hall": "suva",
                "slots": 2,
                "status": "active",
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
        self.http.heard = HeardLongAgo()
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
        self.http.heard = HeardLongAgo()
        self.call("PUT", "i-living")
        self.assertEqual(self.servers(), ["i-over"])
        self.assertEqual(
            self.commands.submitted, ["Register", "Register", "Deregister"]
        )
