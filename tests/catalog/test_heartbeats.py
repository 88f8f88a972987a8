"""Heartbeats are untrusted input: each is rejected with an error code or is usable."""

import json
import unittest

from hypothesis import given, strategies as st

from cinderway._errors import CinderwayError, ErrorCode
from cinderway._ids import ServerName
from cinderway.catalog import (
    UNKNOWN_START,
    CatalogMirror,
    Register,
    decode_deregistration,
    decode_heartbeat,
    parse_server_id,
)
from cinderway.wire import split_address
from tests.catalog.test_machine import Catalog

SERVER = ServerName("i-1")
VALID_HEARTBEAT = {
    "service": "lookup",
    "address": "10.0.0.1:80",
    "data_hall": "suva",
    "slots": 2,
    "status": "active",
}
FIELDS = [
    *VALID_HEARTBEAT,
    "version",
    "warmup_left_ms",
    "sequence",
    "started_at_ms",
    "other",
]
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
    def assert_rejected(self, body):
        with self.assertRaises(CinderwayError) as caught:
            decode_heartbeat(SERVER, body)
        self.assertIs(caught.exception.code, ErrorCode.HEARTBEAT_INVALID)
        return caught.exception.detail

    def assert_rejected_or_usable(self, body):
        """Check that a heartbeat is rejected or describes a server that can be used.

        A usable server has a valid address and can be registered and sent to mirrors.
        """
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
    def test_any_bytes_are_rejected_or_usable(self, body):
        self.assert_rejected_or_usable(body)

    @given(fields)
    def test_any_fields_are_rejected_or_usable(self, overrides):
        self.assert_rejected_or_usable(
            json.dumps({**VALID_HEARTBEAT, **overrides}).encode()
        )

    @given(st.sampled_from(sorted(VALID_HEARTBEAT)))
    def test_a_missing_field_is_rejected(self, missing):
        heartbeat = {
            name: value for name, value in VALID_HEARTBEAT.items() if name != missing
        }
        self.assertIn(missing, self.assert_rejected(json.dumps(heartbeat).encode()))

    def test_malformed_bodies_are_rejected(self):
        for body in (
            b"[" * 100_000,
            b'{"service": "a\xff"}',
            json.dumps({**VALID_HEARTBEAT, "slots": True}).encode(),
            json.dumps({**VALID_HEARTBEAT, "slots": 0}).encode(),
            json.dumps({**VALID_HEARTBEAT, "status": "resting"}).encode(),
            json.dumps({**VALID_HEARTBEAT, "started_at_ms": "100"}).encode(),
            json.dumps({**VALID_HEARTBEAT, "started_at_ms": float("nan")}).encode(),
        ):
            with self.subTest(body[:80]):
                self.assert_rejected(body)

    def test_an_invalid_address_is_rejected(self):
        for address in ("10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "host:80", ":80"):
            with self.subTest(address):
                body = json.dumps({**VALID_HEARTBEAT, "address": address}).encode()
                self.assertIn(address, self.assert_rejected(body))

    def test_an_empty_or_too_long_id_is_rejected(self):
        for text in ("", "i" * 201):
            with self.assertRaises(CinderwayError):
                parse_server_id(text)


class DeregistrationTests(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_deregistration_is_accepted_with_any_body(self, body):
        self.assertGreaterEqual(decode_deregistration(SERVER, body), UNKNOWN_START)

    def test_the_body_may_give_the_start_time(self):
        self.assertEqual(decode_deregistration(SERVER, b'{"started_at_ms": 7}'), 7)
        self.assertEqual(decode_deregistration(SERVER, b""), UNKNOWN_START)
