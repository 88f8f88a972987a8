"""Heartbeats of writers that nobody knows: a coded refusal, or a server that can be."""

import json
import unittest

from hypothesis import given, strategies as st

from cinderway._errors import CinderwayError, ErrorCode
from cinderway._ids import ServerName
from cinderway.catalog import (
    UNKNOWN_START,
    CatalogMirror,
    Register,
    check_server_id,
    decode_farewell,
    decode_heartbeat,
)
from cinderway.wire import split_address
from tests.catalog.test_machine import Catalog

SERVER = ServerName("i-1")
SAID = {
    "service": "lookup",
    "address": "10.0.0.1:80",
    "data_hall": "suva",
    "slots": 2,
    "status": "active",
}
FIELDS = [*SAID, "version", "warmup_left_ms", "sequence", "started_at_ms", "other"]
numbers = st.one_of(
    st.integers(), st.integers(2**53, 2**70), st.floats(), st.just(10**400)
)
scalars = st.one_of(st.none(), st.booleans(), numbers, st.text())
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
fields = st.dictionaries(st.sampled_from(FIELDS), values)


class HeartbeatTests(unittest.TestCase):
    def refusal(self, body):
        with self.assertRaises(CinderwayError) as caught:
            decode_heartbeat(SERVER, body)
        self.assertIs(caught.exception.code, ErrorCode.HEARTBEAT_INVALID)
        return caught.exception.detail

    def assert_harmless(self, body):
        """A heartbeat is refused, or what it names can be kept and sent to."""
        try:
            server = decode_heartbeat(SERVER, body)
        except CinderwayError as error:
            self.assertIs(error.code, ErrorCode.HEARTBEAT_INVALID)
            return
        host, port = split_address(server.address)
        self.assertTrue(host and 0 < port < 2**16 and server.slots > 0)
        catalog, mirror = Catalog(), CatalogMirror()
        catalog.apply(Register(server))
        mirror.install(catalog.machine.update_since(0))
        self.assertEqual(list(mirror.servers.values()), [server])

    @given(st.binary(max_size=200))
    def test_any_bytes_are_refused_or_harmless(self, body):
        self.assert_harmless(body)

    @given(fields)
    def test_any_fields_are_refused_or_harmless(self, other):
        self.assert_harmless(json.dumps({**SAID, **other}).encode())

    @given(st.sampled_from(sorted(SAID)))
    def test_a_missing_field_is_refused(self, missing):
        said = {name: value for name, value in SAID.items() if name != missing}
        self.assertIn(missing, self.refusal(json.dumps(said).encode()))

    def test_odd_bytes_are_refused(self):
        for body in (
            b"[" * 100_000,
            b'{"service": "a\xff"}',
            json.dumps({**SAID, "slots": True}).encode(),
            json.dumps({**SAID, "slots": 0}).encode(),
            json.dumps({**SAID, "status": "resting"}).encode(),
            json.dumps({**SAID, "started_at_ms": "100"}).encode(),
            json.dumps({**SAID, "started_at_ms": float("nan")}).encode(),
        ):
            with self.subTest(body[:80]):
                self.refusal(body)

    def test_an_address_that_nobody_can_reach_is_refused(self):
        for address in ("10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "host:80", ":80"):
            with self.subTest(address):
                body = json.dumps({**SAID, "address": address}).encode()
                self.assertIn(address, self.refusal(body))

    def test_an_id_of_no_or_too_many_characters_is_refused(self):
        for text in ("", "i" * 201):
            with self.assertRaises(CinderwayError):
                check_server_id(text)


class FarewellTests(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_a_server_that_leaves_is_believed_whatever_it_adds(self, body):
        self.assertGreaterEqual(decode_farewell(SERVER, body), UNKNOWN_START)

    def test_it_may_say_which_start_leaves(self):
        self.assertEqual(decode_farewell(SERVER, b'{"started_at_ms": 7}'), 7)
        self.assertEqual(decode_farewell(SERVER, b""), UNKNOWN_START)
