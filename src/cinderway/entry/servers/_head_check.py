"""Checks the bytes of a response's head before they are parsed.

The parser takes a bare LF for the end of a line, as RFC 9112 allows (section 2.2). One
byte of noise can then end a head early, and its last headers become the body of a
complete response. Servers end lines with CRLF.
"""

import re

import httpcore

# What a server may send before its final head is complete, interim responses included.
HEAD_LIMIT_BYTES = 256 * 1024
HEAD_END = b"\r\n\r\n"
BARE_LF = re.compile(rb"(?<!\r)\n")
INTERIM = re.compile(rb"HTTP/1\.[01] 1")


class HeadCheck:
    """Checks one response, up to the end of its final head."""

    def __init__(self):
        self.is_complete = False
        self._received_bytes = 0
        self._unchecked = b""

    def receive(self, data: bytes) -> None:
        """Check the next bytes; raise httpcore.RemoteProtocolError if they are invalid.

        Bytes behind the head are ignored.
        """
        if self.is_complete:
            return
        self._received_bytes += len(data)
        self._unchecked += data
        while self._unchecked and not self.is_complete:
            end = self._unchecked.find(HEAD_END)
            if end < 0:
                self._check_lines(self._unchecked)
                break
            end += len(HEAD_END)
            head, self._unchecked = self._unchecked[:end], self._unchecked[end:]
            self._check_lines(head)
            self.is_complete = INTERIM.match(head) is None
        if self.is_complete:
            self._unchecked = b""
        elif self._received_bytes > HEAD_LIMIT_BYTES:
            raise httpcore.RemoteProtocolError(
                f"no complete head in {self._received_bytes} bytes"
            )

    def _check_lines(self, head: bytes) -> None:
        if BARE_LF.search(head) is not None:
            raise httpcore.RemoteProtocolError("a line of the head ends without CR")
