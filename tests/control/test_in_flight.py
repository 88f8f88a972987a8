import unittest
from collections import Counter

from hypothesis import given, strategies as st

from cinderway.control._in_flight import InFlight

TELLERS, SERVERS = ("e1", "e2", "e3"), ("i-1", "i-2")
WORDS = st.tuples(st.sampled_from(TELLERS), st.sampled_from(SERVERS), st.integers(0, 4))
# None stands for a teller that is gone.
EVENTS = st.lists(st.one_of(WORDS, st.tuples(st.sampled_from(TELLERS), st.none())))


class InFlightTests(unittest.TestCase):
    @given(EVENTS)
    def test_the_total_is_the_sum_of_each_tellers_last_word(self, events):
        in_flight, last = InFlight(), {}
        for teller, *word in events:
            if word[0] is None:
                in_flight.forget(teller)
                last = {key: n for key, n in last.items() if key[0] != teller}
            else:
                in_flight.note(teller, *word)
                last[teller, word[0]] = word[1]
        totals = Counter()
        for (_, server), count in last.items():
            totals[server] += count
        for server in SERVERS:
            self.assertEqual(in_flight.total(server), totals[server])

    def test_a_teller_that_is_gone_names_the_servers_that_this_concerns(self):
        in_flight = InFlight()
        in_flight.note("e1", "i-1", 2)
        in_flight.note("e1", "i-2", 1)
        in_flight.note("e1", "i-2", 0)
        self.assertEqual(list(in_flight.forget("e1")), ["i-1"])
