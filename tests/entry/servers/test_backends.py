"""Attempts against a fake server that sends exactly the bytes it is given."""

import unittest

import anyio
from hypothesis import given, strategies as st

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.entry.servers._backends import BackendConnections, ConnectionLostError
from cinderway.entry.servers._messages import (
    BackendRequest,
    HeaderNames,
)

NAMES = HeaderNames(
    attempt=b"x-attempt",
    deadline=b"x-deadline-ms",
    load=b"x-load",
    expected=b"x-expected",
    not_run=b"x-not-run",
    seal=b"x-seal",
    is_attempt_echoed=True,
    forwards_own_headers=True,
)
REQUEST = BackendRequest(b"GET", b"/x", [(b"host", b"a.example")], b"")


def answer(
    status=200, attempt="a1", body=b"body", length=None, seal="s", more=b"", headers=""
):
    length = len(body) if length is None else length
    head = f"HTTP/1.1 {status} X\r\nx-attempt: {attempt}\r\n{headers}"
    if seal:
        head += f"x-seal: {seal}\r\n"
    return head.encode() + b"content-length: %d\r\n\r\n" % length + body + more


class Server:
    """Responds to successive requests with the given byte strings, one by one."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connections = 0
        self.requests = []

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            while True:
                try:
                    self.requests.append(await stream.receive(65536))
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if not self.answers:
                    return
                sent = self.answers.pop(0)
                await stream.send(sent)
                if b"connection: close" in sent or not self.answers:
                    return


def ask(server, *attempts, pause_s=0.0, objections=(), between=None, uvloop=False):
    """Send attempts one after the other; return (status, body) or the error of each.

    `objections` maps attempts to the errors that are raised before they are written.
    `between` is awaited with the connections after each attempt.
    """

    async def run():
        results = []
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        connections = BackendConnections(names=NAMES)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            for attempt in attempts:
                results.append(
                    await send_attempt(connections, f"127.0.0.1:{port}", attempt)
                )
                if between is not None:
                    await between(connections)
                await anyio.sleep(pause_s)
            tasks.cancel_scope.cancel()
        return results

    async def send_attempt(connections, address, attempt):
        try:
            response = await connections.send(
                address,
                REQUEST,
                attempt,
                monotonic_ms() + 5_000,
                use_new_connection=False,
                expected="i-1",
                objection=lambda: dict(objections).get(attempt),
            )
            try:
                body = b"".join([chunk async for chunk in response.chunks()])
            finally:
                await response.aclose()
        except CinderwayError as error:
            return error
        return response.status, body

    return anyio.run(run, backend_options={"use_uvloop": uvloop})


async def abort_idle(connections):
    """Close idle connections as the event loop does when it notices a reset."""
    for idle in connections.idle._idle.values():
        for each in idle:
            each.connection.stream._stream._transport.abort()
    await anyio.sleep(0.02)


class ResetTests(unittest.TestCase):
    """A whole answer that is followed by a reset leaves its connection among the idle.

    Every request that was to take it got a 500 of the entry's own, for 30 s, and the
    sweep that would have removed it failed.
    """

    def check(self, between):
        for uvloop in (False, True):
            with self.subTest(uvloop=uvloop):
                server = Server(answer(), answer(attempt="a2"), b"")
                results = ask(server, "a1", "a2", between=between, uvloop=uvloop)
                self.assertEqual(results, [(200, b"body"), (200, b"body")])
                self.assertEqual(server.connections, 2)

    def test_a_request_goes_to_a_new_connection(self):
        self.check(abort_idle)

    def test_the_sweep_removes_it(self):
        async def sweep(connections):
            await abort_idle(connections)
            connections.idle.sweep(monotonic_ms())
            self.assertEqual(list(connections.idle._idle), [])

        self.check(sweep)


class ObjectionTests(unittest.TestCase):
    def test_an_objection_prevents_the_write_and_keeps_the_idle_connection(self):
        objection = CinderwayError(ErrorCode.BACKEND_RESTS, "rests", step=Step.QUEUE)
        server = Server(answer(), answer(attempt="a3"))
        attempts = ask(server, "a1", "a2", "a3", objections={"a2": objection})
        self.assertEqual(attempts, [(200, b"body"), objection, (200, b"body")])
        self.assertEqual((len(server.requests), server.connections), (2, 1))

    def test_a_new_connection_is_closed_unused_after_an_objection(self):
        objection = CinderwayError(ErrorCode.BACKEND_RESTS, "rests", step=Step.QUEUE)
        server = Server(answer())
        self.assertEqual(ask(server, "a1", objections={"a1": objection}), [objection])
        self.assertEqual(server.requests, [])


class AnswerTests(unittest.TestCase):
    def get_error_code(self, *sent):
        result = ask(Server(*sent), "a1")[0]
        self.assertIsInstance(result, CinderwayError)
        return result.code

    def test_a_complete_response_is_accepted(self):
        self.assertEqual(ask(Server(answer()), "a1"), [(200, b"body")])

    def test_the_request_names_the_expected_server(self):
        server = Server(answer())
        ask(server, "a1")
        head = server.requests[0].lower()
        for line in (b"x-expected: i-1", b"x-attempt: a1", b"x-deadline-ms: "):
            self.assertIn(line, head)

    def test_a_response_to_another_request_is_rejected(self):
        self.assertIs(
            self.get_error_code(answer(attempt="other")), ErrorCode.ANSWER_FOREIGN
        )

    def test_a_success_without_a_seal_is_rejected_but_a_failure_is_not(self):
        self.assertIs(self.get_error_code(answer(seal="")), ErrorCode.ANSWER_FOREIGN)
        self.assertEqual(ask(Server(answer(500, seal="")), "a1"), [(500, b"body")])

    def test_an_encoded_body_is_rejected(self):
        sent = answer(headers="content-encoding: gzip\r\n")
        self.assertIs(self.get_error_code(sent), ErrorCode.ANSWER_FOREIGN)

    def test_a_truncated_body_is_rejected(self):
        self.assertIs(self.get_error_code(answer(length=9)), ErrorCode.ANSWER_CUT_SHORT)

    def test_an_invalid_response_is_rejected(self):
        result = ask(Server(b"no answer at all\r\n\r\n"), "a1")[0]
        self.assertIs(result.code, ErrorCode.BACKEND_FAILED)
        self.assertIs(result.step, Step.AWAIT_ANSWER)

    def test_a_status_that_is_not_final_is_rejected(self):
        """A caller got no answer to a request that ran, as 600 cannot be forwarded."""
        for status in ("000", "099", "0200", "101", "199", "600", "999"):
            with self.subTest(status):
                result = ask(Server(answer(status)), "a1")[0]
                self.assertIsInstance(result, CinderwayError)
                self.assertIs(result.code, ErrorCode.BACKEND_FAILED)
                self.assertIs(result.step, Step.AWAIT_ANSWER)
        self.assertEqual(ask(Server(answer(599)), "a1"), [(599, b"body")])

    def test_interim_responses_without_end_are_an_invalid_response(self):
        """They held a slot of the server until the deadline."""
        flood = b"HTTP/1.1 103 X\r\nlink: </x>\r\n\r\n" * 20_000
        result = ask(Server(flood), "a1")[0]
        self.assertIsInstance(result, CinderwayError)
        self.assertIn("no complete head", result.detail)
        interim = b"HTTP/1.1 103 X\r\nlink: </x>\r\n\r\n" * 100
        self.assertEqual(ask(Server(interim + answer()), "a1"), [(200, b"body")])

    def test_a_line_that_ends_without_cr_does_not_turn_headers_into_a_body(self):
        """A success had its own last headers as its body."""
        whole = answer()
        position = whole.index(b"\r\ncontent-length")
        for noise in (b"\n", b"\n\n"):
            damaged = whole[:position] + noise + whole[position:]
            result = ask(Server(damaged), "a1")[0]
            self.assertIsInstance(result, CinderwayError)
        interim = b"HTTP/1.1 103 X\r\n\r\n"
        self.assertIsInstance(ask(Server(interim + damaged), "a1")[0], CinderwayError)

    def test_a_length_that_differs_from_the_chunks_is_rejected(self):
        """Nobody can tell which of the two is the whole body."""
        chunks = b"4\r\nbody\r\n0\r\n\r\n"
        for length, expected in ((4, (200, b"body")), (2, None), (9, None)):
            sent = answer(
                body=chunks, length=length, headers="transfer-encoding: chunked\r\n"
            )
            server = Server(sent, answer(attempt="a2"), b"")
            first, second = ask(server, "a1", "a2")
            with self.subTest(length=length):
                if expected is None:
                    self.assertIs(first.code, ErrorCode.ANSWER_CUT_SHORT)
                else:
                    self.assertEqual(first, expected)
                self.assertEqual(second, (200, b"body"))
                self.assertEqual(server.connections, 2)

    def test_an_answer_cut_anywhere_is_never_a_success(self):
        """Callers must not get a 200 with an empty or partial body that looks whole."""
        chunked = answer(length=0, headers="transfer-encoding: chunked\r\n").replace(
            b"content-length: 0\r\n\r\nbody", b"\r\n4\r\nbody\r\n0\r\n\r\n"
        )
        until_close = answer(length=0).replace(b"content-length: 0\r\n", b"")
        head_bytes = until_close.index(b"\r\n\r\n") + 4
        self.assertEqual(ask(Server(chunked), "a1"), [(200, b"body")])
        for name, whole, size_bytes in (
            ("length", answer(), len(answer())),
            ("chunks", chunked, len(chunked)),
            ("until close", until_close, head_bytes),
        ):
            for end in range(size_bytes):
                with self.subTest(name, sent=whole[:end]):
                    result = ask(Server(whole[:end]), "a1")[0]
                    self.assertIsInstance(result, CinderwayError)

    def test_a_lost_connection_is_distinguished_from_an_invalid_response(self):
        ended, cut = (ask(Server(sent), "a1")[0] for sent in (b"", b"HTTP/1.1 2"))
        garbled = ask(Server(b"no answer at all\r\n\r\n"), "a1")[0]
        self.assertIsInstance(ended, ConnectionLostError)
        self.assertIsInstance(cut, ConnectionLostError)
        self.assertNotIsInstance(garbled, ConnectionLostError)

    def test_a_connection_with_trailing_data_is_not_reused(self):
        trailing = answer(attempt="a2", body=b"not yours")
        server = Server(answer(more=trailing), answer(attempt="a2"), b"")
        results = ask(server, "a1", "a2")
        self.assertEqual(results, [(200, b"body"), (200, b"body")])
        self.assertEqual(server.connections, 2)

    def test_a_connection_is_reused_until_its_server_may_close_it(self):
        for headers, connections in (
            ("", 1),
            ("keep-alive: timeout=30\r\n", 1),
            ("keep-alive: timeout=1\r\n", 2),
            ("connection: close\r\n", 2),
        ):
            with self.subTest(headers):
                sent = [answer(headers=headers), answer(attempt="a2"), b""]
                server = Server(*sent)
                self.assertEqual(ask(server, "a1", "a2")[1], (200, b"body"))
                self.assertEqual(server.connections, connections)

    @given(
        st.binary(max_size=120),
        st.sampled_from([0, 10, 40, 80]),
        st.sampled_from(["a1", "a2"]),
    )
    def test_with_any_bytes_inserted_a_success_is_the_complete_response(
        self, noise, position, attempt
    ):
        whole = answer(attempt=attempt)
        corrupted = whole[:position] + noise + whole[position:]
        result = ask(Server(corrupted), "a1")[0]
        if isinstance(result, CinderwayError):
            return
        status, body = result
        if status == 200:
            self.assertEqual(attempt, "a1")
            self.assertEqual(len(body), 4)
