import unittest

from hypothesis import given, strategies as st

from cinderway.entry.callers._relay import Download, headers_for_caller
from cinderway.entry.servers._messages import (
    BackendAnswer,
    BackendRequest,
    HeaderNames,
)

REQUEST = BackendRequest(b"GET", b"/maps/1", [(b"host", b"x")], b"")


def answer(status=200, **headers):
    pairs = [(n.replace("_", "-").encode(), v) for n, v in headers.items()]
    return BackendAnswer(status, pairs, None, None)


def whole_body(etag=b'"m"', length=b"1000"):
    return answer(etag=etag, content_length=length)


class HeadersTests(unittest.TestCase):
    def test_retry_after_of_a_503_is_not_forwarded_to_the_caller(self):
        resting = answer(503, retry_after=b"3", x_other=b"1")
        self.assertEqual(headers_for_caller(resting), [(b"x-other", b"1")])

    def test_retry_after_of_a_429_is_forwarded_to_the_caller(self):
        waiting = answer(429, retry_after=b"3")
        self.assertEqual(headers_for_caller(waiting), [(b"retry-after", b"3")])

    def test_the_leaving_header_is_not_forwarded_to_the_caller(self):
        names = HeaderNames(leaving=b"server-leaving", forwards_own_headers=True)
        sent = [(b"Server-Leaving", b"1"), (b"x-other", b"1")]
        leaving = BackendAnswer(200, sent, None, None, names)
        self.assertEqual(headers_for_caller(leaving), [(b"x-other", b"1")])


class DownloadTest(unittest.TestCase):
    @given(st.integers(1, 999))
    def test_the_rest_is_requested_by_range_and_etag(self, sent):
        download = Download(whole_body())
        download.sent_bytes = sent
        headers = dict(download.build_resume_request(REQUEST).headers)
        self.assertEqual(headers[b"range"], b"bytes=%d-999" % sent)
        self.assertEqual(headers[b"if-range"], b'"m"')

    def test_a_range_requested_by_the_caller_is_resumed(self):
        first = answer(206, etag=b'"m"', content_range=b"bytes 100-199/1000")
        download = Download(first)
        download.sent_bytes = 40
        headers = dict(download.build_resume_request(REQUEST).headers)
        self.assertEqual(headers[b"range"], b"bytes=140-199")

    def test_an_answer_with_a_weak_etag_cannot_be_resumed(self):
        self.assertFalse(Download(whole_body(etag=b'W/"m"')).is_resumable)

    def test_an_answer_without_a_length_cannot_be_resumed(self):
        self.assertFalse(Download(answer(etag=b'"m"')).is_resumable)

    def test_the_rest_of_another_version_is_not_a_continuation(self):
        download = Download(whole_body())
        download.sent_bytes = 500
        rest = {"content_range": b"bytes 500-999/1000"}
        self.assertTrue(download.can_continue_with(answer(206, etag=b'"m"', **rest)))
        self.assertFalse(
            download.can_continue_with(answer(206, etag=b'"other"', **rest))
        )

    def test_a_whole_body_is_not_a_continuation(self):
        download = Download(whole_body())
        download.sent_bytes = 500
        self.assertFalse(download.can_continue_with(whole_body()))
