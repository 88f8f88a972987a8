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


def whole(etag=b'"m"', length=b"1000"):
    return answer(etag=etag, content_length=length)


class HeadersTests(unittest.TestCase):
    def test_a_rest_asked_of_the_entry_is_not_told_to_the_caller(self):
        resting = answer(503, retry_after=b"3", x_other=b"1")
        self.assertEqual(headers_for_caller(resting), [(b"x-other", b"1")])

    def test_a_wait_that_is_the_callers_goes_on(self):
        waiting = answer(429, retry_after=b"3")
        self.assertEqual(headers_for_caller(waiting), [(b"retry-after", b"3")])

    def test_a_server_that_leaves_does_not_say_so_to_the_caller(self):
        names = HeaderNames(leaving=b"server-leaving", passes_own=True)
        sent = [(b"Server-Leaving", b"1"), (b"x-other", b"1")]
        leaving = BackendAnswer(200, sent, None, None, names)
        self.assertEqual(headers_for_caller(leaving), [(b"x-other", b"1")])


class DownloadTest(unittest.TestCase):
    @given(st.integers(1, 999))
    def test_rest_is_asked_for_by_range_and_etag(self, sent):
        download = Download(whole())
        download.sent_bytes = sent
        headers = dict(download.build_resume_request(REQUEST).headers)
        self.assertEqual(headers[b"range"], b"bytes=%d-999" % sent)
        self.assertEqual(headers[b"if-range"], b'"m"')

    def test_range_of_the_callers_own_is_gone_on_with(self):
        first = answer(206, etag=b'"m"', content_range=b"bytes 100-199/1000")
        download = Download(first)
        download.sent_bytes = 40
        headers = dict(download.build_resume_request(REQUEST).headers)
        self.assertEqual(headers[b"range"], b"bytes=140-199")

    def test_weak_etag_cannot_be_resumed(self):
        self.assertFalse(Download(whole(etag=b'W/"m"')).is_resumable)

    def test_answer_without_a_length_cannot_be_resumed(self):
        self.assertFalse(Download(answer(etag=b'"m"')).is_resumable)

    def test_rest_of_another_version_does_not_fit(self):
        download = Download(whole())
        download.sent_bytes = 500
        rest = {"content_range": b"bytes 500-999/1000"}
        self.assertTrue(download.can_continue_with(answer(206, etag=b'"m"', **rest)))
        self.assertFalse(
            download.can_continue_with(answer(206, etag=b'"other"', **rest))
        )

    def test_whole_body_in_place_of_the_rest_does_not_fit(self):
        download = Download(whole())
        download.sent_bytes = 500
        self.assertFalse(download.can_continue_with(whole()))
