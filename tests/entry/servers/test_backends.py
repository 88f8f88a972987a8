"""Attempts against a stand-in server that sends exactly the bytes it is told to."""

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
    is_echoed=True,
    passes_own=True,
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
    """Answers each connection's requests with the given bytes, one after the other."""

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


def ask(server, *attempts, pause_s=0.0, objections=()):
    """Send attempts one after the other; return (status, body) or the error of each.

    `objections` are raised in place of the attempts that they are keyed by.
    """

    async def run():
        results = []
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        connections = BackendConnections(names=NAMES)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            for attempt in attempts:
                results.append(await one(connections, f"127.0.0.1:{port}", attempt))
                await anyio.sleep(pause_s)
            tasks.cancel_scope.cancel()
        return results

    async def one(connections, address, attempt):
        try:
            found = await connections.send(
                address,
                REQUEST,
                attempt,
                monotonic_ms() + 5_000,
                fresh=False,
                expected="i-1",
                objection=lambda: dict(objections).get(attempt),
            )
            try:
                body = b"".join([chunk async for chunk in found.chunks()])
            finally:
                await found.aclose()
        except CinderwayError as error:
            return error
        return found.status, body

    return anyio.run(run)


class ObjectionTests(unittest.TestCase):
    def test_what_is_objected_to_is_not_written_and_costs_no_kept_connection(self):
        objection = CinderwayError(ErrorCode.BACKEND_RESTS, "rests", step=Step.QUEUE)
        server = Server(answer(), answer(attempt="a3"))
        attempts = ask(server, "a1", "a2", "a3", objections={"a2": objection})
        self.assertEqual(attempts, [(200, b"body"), objection, (200, b"body")])
        self.assertEqual((len(server.requests), server.connections), (2, 1))

    def test_a_new_connection_that_is_objected_to_is_closed_unused(self):
        objection = CinderwayError(ErrorCode.BACKEND_RESTS, "rests", step=Step.QUEUE)
        server = Server(answer())
        self.assertEqual(ask(server, "a1", objections={"a1": objection}), [objection])
        self.assertEqual(server.requests, [])


class AnswerTests(unittest.TestCase):
    def code(self, *sent):
        result = ask(Server(*sent), "a1")[0]
        self.assertIsInstance(result, CinderwayError)
        return result.code

    def test_a_whole_answer_is_taken(self):
        self.assertEqual(ask(Server(answer()), "a1"), [(200, b"body")])

    def test_the_server_is_told_what_it_is_expected_to_be(self):
        server = Server(answer())
        ask(server, "a1")
        head = server.requests[0].lower()
        for line in (b"x-expected: i-1", b"x-attempt: a1", b"x-deadline-ms: "):
            self.assertIn(line, head)

    def test_an_answer_to_another_request_is_refused(self):
        self.assertIs(self.code(answer(attempt="other")), ErrorCode.ANSWER_FOREIGN)

    def test_a_success_without_a_seal_is_refused_and_a_failure_is_not(self):
        self.assertIs(self.code(answer(seal="")), ErrorCode.ANSWER_FOREIGN)
        self.assertEqual(ask(Server(answer(500, seal="")), "a1"), [(500, b"body")])

    def test_an_encoded_body_is_refused(self):
        sent = answer(headers="content-encoding: gzip\r\n")
        self.assertIs(self.code(sent), ErrorCode.ANSWER_FOREIGN)

    def test_a_body_that_is_cut_short_is_refused(self):
        self.assertIs(self.code(answer(length=9)), ErrorCode.ANSWER_CUT_SHORT)

    def test_bytes_that_are_no_answer_are_refused(self):
        result = ask(Server(b"no answer at all\r\n\r\n"), "a1")[0]
        self.assertIs(result.code, ErrorCode.BACKEND_FAILED)
        self.assertIs(result.step, Step.AWAIT_ANSWER)

    def test_a_connection_that_ends_is_told_from_bytes_that_are_no_answer(self):
        ended, cut = (ask(Server(sent), "a1")[0] for sent in (b"", b"HTTP/1.1 2"))
        garbled = ask(Server(b"no answer at all\r\n\r\n"), "a1")[0]
        self.assertIsInstance(ended, ConnectionLostError)
        self.assertIsInstance(cut, ConnectionLostError)
        self.assertNotIsInstance(garbled, ConnectionLostError)

    def test_a_connection_that_sent_more_than_its_answer_is_not_used_again(self):
        surplus = answer(attempt="a2", body=b"not yours")
        server = Server(answer(more=surplus), answer(attempt="a2"), b"")
        results = ask(server, "a1", "a2")
        self.assertEqual(results, [(200, b"body"), (200, b"body")])
        self.assertEqual(server.connections, 2)

    def test_a_connection_is_used_again_until_its_server_may_close_it(self):
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
    def test_whatever_bytes_come_a_success_is_the_whole_answer(
        self, noise, position, attempt
    ):
        whole = answer(attempt=attempt)
        spoiled = whole[:position] + noise + whole[position:]
        result = ask(Server(spoiled), "a1")[0]
        if isinstance(result, CinderwayError):
            return
        status, body = result
        if status == 200:
            self.assertEqual(attempt, "a1")
            self.assertEqual(len(body), 4)
