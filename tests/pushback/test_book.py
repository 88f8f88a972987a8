"""What each start of a server asked for, and how long that is kept."""

import unittest

from hypothesis import given, strategies as st

from cinderway._ids import ServerName
from cinderway.pushback import (
    LEAVING_VALID_MS,
    PUSHBACK_KEPT_LIMIT,
    PushbackBook,
    ServerWords,
)

SERVER = ServerName("i-1")
REST = ServerWords(rest_ms=3_000)
LEAVES = ServerWords(is_leaving=True)


def noted(words, now_ms=1_000, book=None):
    book = book or PushbackBook()
    book.note(SERVER, book.of(SERVER), words, now_ms)
    return book


class RestTests(unittest.TestCase):
    def test_a_rest_holds_from_its_answer_until_its_time_is_over(self):
        kept = noted(REST).of(SERVER)
        self.assertTrue(kept.rests(1_000))
        self.assertTrue(kept.rests(3_999))
        self.assertFalse(kept.rests(4_000))

    @given(st.lists(st.tuples(st.integers(0, 5_000), st.integers(1, 5_000))))
    def test_no_later_word_ends_a_rest_sooner(self, asked):
        book, until_ms = PushbackBook(), 0
        for now_ms, rest_ms in asked:
            noted(ServerWords(rest_ms), now_ms, book)
            until_ms = max(until_ms, now_ms + rest_ms)
        self.assertEqual(book.of(SERVER).rests_until_ms, until_ms)

    def test_another_start_of_the_server_is_asked_for_no_rest(self):
        book = noted(REST)
        self.assertFalse(book.of(ServerName("i-1 started again")).rests(1_001))


class LeavingTests(unittest.TestCase):
    def test_a_start_that_leaves_gets_nothing_for_longer_than_leaving_takes(self):
        self.assertTrue(noted(LEAVES).of(SERVER).leaves(1_800_000))

    def test_a_later_start_that_got_a_forgotten_name_is_not_left_out_for_ever(self):
        """The catalog forgets names of starts that are long over, this book may not."""
        self.assertFalse(noted(LEAVES).of(SERVER).leaves(LEAVING_VALID_MS + 1_000))

    def test_where_names_outlive_starts_the_word_is_old_after_a_while(self):
        kept = noted(LEAVES, book=PushbackBook(leaving_valid_ms=60_000)).of(SERVER)
        self.assertTrue(kept.leaves(60_999))
        self.assertFalse(kept.leaves(61_000))


class KeptTests(unittest.TestCase):
    def test_nothing_is_kept_of_servers_that_asked_for_nothing(self):
        book = PushbackBook()
        self.assertFalse(book.of(SERVER).rests(0))
        self.assertIsNot(book.of(SERVER), book.of(SERVER))

    def test_the_servers_that_spoke_last_are_kept(self):
        book = noted(REST)
        for number in range(PUSHBACK_KEPT_LIMIT):
            name = ServerName(f"other-{number}")
            book.note(name, book.of(name), REST, 1_000)
        self.assertFalse(book.of(SERVER).rests(1_001))
        self.assertTrue(book.of(ServerName("other-0")).rests(1_001))
