"""Heads of responses, in pieces of any size.

Guards against a damaged head whose last headers become the body of a success.
"""

import unittest

import httpcore
from hypothesis import given, strategies as st

from cinderway.entry.servers._head_check import HEAD_LIMIT_BYTES, HeadCheck

INTERIM = b"HTTP/1.1 103 X\r\nlink: </x>\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\na: b\r\n\r\n"


def receive(data, piece_bytes):
    check = HeadCheck()
    for start in range(0, len(data), piece_bytes):
        check.receive(data[start : start + piece_bytes])
    return check.is_complete


class HeadCheckTests(unittest.TestCase):
    @given(st.integers(0, 3), st.binary(max_size=60), st.integers(1, 80))
    def test_bytes_behind_the_head_are_not_checked(self, interims, body, piece_bytes):
        self.assertTrue(receive(INTERIM * interims + HEAD + body, piece_bytes))

    @given(st.integers(1, len(HEAD) - 1), st.integers(1, 40))
    def test_a_bare_lf_is_refused_wherever_pieces_end(self, position, piece_bytes):
        damaged = HEAD[:position] + b"\n" + HEAD[position:]
        if HEAD[position - 1 : position] != b"\r":
            with self.assertRaises(httpcore.RemoteProtocolError):
                receive(INTERIM + damaged, piece_bytes)

    def test_a_head_without_end_is_refused(self):
        for endless in (INTERIM, b"a", b"a: b\r\n"):
            with self.assertRaises(httpcore.RemoteProtocolError):
                receive(endless * (HEAD_LIMIT_BYTES + 1), 4_096)
