"""Requests with offers of an upgrade, and damaged ones, in pieces of any size.

Guards against a body that is not read, or is parsed as the next request.
"""

import logging
import unittest
from functools import partial

import anyio
from hypothesis import given, settings, strategies as st

from cinderway._caller_protocol import CallerProtocol
from cinderway._http_server import build_http_server

OFFERS = (
    b"",
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAE\r\n",
    b"UPGRADE: websocket\r\nconnection: keep-alive, upgrade\r\n",
    b"Upgrade: h2c\r\n",
    b"Expect: 100-continue\r\nConnection: upgrade\r\nUpgrade: h2c, foo/2\r\n",
)
QUOTED = b"POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
BODIES = st.one_of(st.binary(max_size=40), st.just(QUOTED), st.just(b"\r\n" * 300))
NOISE = (
    b"Host: other\r\n",
    b"Content-Length: 3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked, identity\r\n",
    b"Content-Length : 3\r\n",
    b" folded: line\r\n",
    b"a: b\rc\r\n",
    b"a: b\nContent-Length: 3\r\n",
    b"a: \x00\r\n",
    b"Content-Length: +3\r\n",
    b"Content-Length: 99999999999999999\r\n",
)


class Application:
    """Records each request whose body has arrived whole."""

    def __init__(self):
        self.requests = []
        self.headers = []

    async def __call__(self, scope, receive, send):
        body, is_whole = b"", False
        while not is_whole:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message["body"]
            is_whole = not message.get("more_body", False)
        self.headers.append(list(scope["headers"]))
        self.requests.append((scope["method"], scope["path"], body))
        headers = [(b"content-length", b"0")]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        await send({"type": "http.response.body"})


@st.composite
def messages(draw):
    """Draw a request: what is sent, and what is to run."""
    number = draw(st.integers(0, 9))
    body = draw(BODIES)
    head = b"POST /%d HTTP/1.1\r\nHost: h\r\n" % number + draw(st.sampled_from(OFFERS))
    if draw(st.booleans()):
        sent = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    else:
        size = draw(st.integers(1, 60))
        parts = [body[i : i + size] for i in range(0, len(body), size)]
        chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in [*parts, b""]]
        sent = head + b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(chunks)
    return sent, ("POST", f"/{number}", body)


def serve(pieces, is_for_callers=True, headers=None):
    """Return the requests that run, and all that was answered."""
    headers = [] if headers is None else headers

    async def run():
        application = Application()
        options = {"protocol": partial(CallerProtocol)} if is_for_callers else {}
        server = build_http_server("127.0.0.1:0", application, **options)
        answered = b""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            while not server.started:
                await anyio.sleep(0.001)
            address = server.servers[0].sockets[0].getsockname()
            async with await anyio.connect_tcp(*address) as stream:
                answered = await exchange(stream, pieces)
            server.stop()
        headers.extend(application.headers)
        return application.requests, answered

    return anyio.run(run)


async def exchange(stream, pieces):
    try:
        for piece in pieces:
            await stream.send(piece)
            await anyio.lowlevel.checkpoint()
        await stream.send_eof()
    except (anyio.BrokenResourceError, OSError):
        # The server has answered what it could not parse, and closed.
        pass
    answered = b""
    with anyio.move_on_after(5):
        try:
            while True:
                answered += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
    return answered


def split(data, size):
    return [data[i : i + size] for i in range(0, len(data), size)]


class RequestParserTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    @settings(max_examples=60, deadline=None)
    @given(st.lists(messages(), min_size=1, max_size=3), st.integers(1, 700))
    def test_requests_run_as_they_were_sent_whatever_they_offer(self, drawn, size):
        sent = b"".join(data for data, _ in drawn)
        requests, _ = serve(split(sent, size))
        self.assertEqual(requests, [wanted for _, wanted in drawn])

    @settings(max_examples=60, deadline=None)
    @given(messages(), messages(), st.sampled_from(NOISE), st.integers(1, 90))
    def test_a_damaged_request_runs_alike_in_any_pieces(
        self, damaged, behind, noise, size
    ):
        """What one reader takes for a body must not be a request to another."""
        line, rest = damaged[0].split(b"\r\n", 1)
        sent = line + b"\r\n" + noise + rest + behind[0]
        whole, _ = serve([sent])
        pieces, _ = serve(split(sent, size))
        self.assertEqual(whole, pieces)
        self.assertNotIn("/inner", [path for _, path, _ in whole])
        self.assertLessEqual(len(whole), 2)

    def test_every_server_reads_the_body_of_a_request_with_an_offer(self):
        """Control took an operator's sheet for empty."""
        for offer in OFFERS:
            sent = (
                b"PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n%s\r\nsheet"
                % offer
            )
            requests, _ = serve([sent], is_for_callers=False)
            self.assertEqual(requests, [("PUT", "/x", b"sheet")])

    def test_trailers_do_not_become_headers(self):
        """A second id of the request came with its body."""
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        for offer in OFFERS:
            headers = []
            body = b"2\r\nok\r\n0\r\nattempt: other\r\n\r\n"
            requests, _ = serve([head + offer + b"\r\n", body], headers=headers)
            self.assertEqual(requests, [("POST", "/x", b"ok")])
            self.assertNotIn((b"attempt", b"other"), headers[0])

    def test_connect_is_answered_with_400(self):
        requests, answered = serve(
            [b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n" + QUOTED]
        )
        self.assertEqual(requests, [])
        self.assertTrue(answered.startswith(b"HTTP/1.1 400 "))
        self.assertEqual(answered.count(b"HTTP/1.1"), 1)
