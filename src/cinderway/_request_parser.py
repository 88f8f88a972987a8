"""httptools' parser of requests, for servers that support no other protocol.

httptools ends a request that offers an upgrade behind its head, and takes its body for
bytes of the other protocol. A server may ignore the offer (RFC 9110, section 7.8).
"""

from types import SimpleNamespace

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

UPGRADE = b"upgrade"
CONNECT = b"CONNECT"


class RequestParser:
    """Parses the requests of one connection, with the interface of httptools' parser.

    The head of a request that offers an upgrade is parsed again without the offer.
    CONNECT requests are invalid: what follows them is no HTTP.
    """

    def __init__(self, protocol: HttpToolsProtocol):
        self._protocol = protocol
        self._parser = self._create_parser()

    def _create_parser(self) -> httptools.HttpRequestParser:
        protocol = self._protocol
        parser = httptools.HttpRequestParser(
            SimpleNamespace(
                on_message_begin=protocol.on_message_begin,
                on_url=protocol.on_url,
                on_header=protocol.on_header,
                on_headers_complete=self._on_headers_complete,
                on_body=protocol.on_body,
                on_message_complete=self._on_message_complete,
            )
        )
        # As uvicorn does: the answer to a request that closes the connection may come
        # before what was sent behind it.
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser

    def feed_data(self, data: bytes) -> None:
        """Parse received bytes; raise httptools.HttpParserError if they are invalid."""
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as offer:
                (body_start,) = offer.args
                data = self._build_head_without_offer() + data[body_start:]
                self._parser = self._create_parser()
            else:
                return

    def get_method(self) -> bytes:
        """Return the current request's method."""
        return self._parser.get_method()

    def get_http_version(self) -> str:
        """Return the current request's version, such as "1.1"."""
        return self._parser.get_http_version()

    def should_keep_alive(self) -> bool:
        """Whether the current request leaves the connection open."""
        return self._parser.should_keep_alive()

    def should_upgrade(self) -> bool:
        """Return False: no request changes the protocol."""
        return False

    def _on_headers_complete(self) -> None:
        if not self._parser.should_upgrade():
            self._protocol.on_headers_complete()
            # Trailers go to another list than the one that the application sees.
            self._protocol.headers = list(self._protocol.headers)

    def _on_message_complete(self) -> None:
        if not self._parser.should_upgrade():
            self._protocol.on_message_complete()

    def _build_head_without_offer(self) -> bytes:
        method = self._parser.get_method()
        if method == CONNECT:
            raise httptools.HttpParserError("CONNECT is not supported")
        version = self._parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (method, self._protocol.url, version)]
        lines += [
            b"%s: %s" % (name, value)
            for name, value in self._protocol.headers
            if name != UPGRADE
        ]
        return b"\r\n".join([*lines, b"", b""])


class HttpProtocol(HttpToolsProtocol):
    """One connection of a uvicorn server that supports no other protocol."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.parser = RequestParser(self)
