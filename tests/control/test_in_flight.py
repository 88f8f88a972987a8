import unittest
from collections import Counter

from hypothesis import given, strategies as st

from cinderway.control._in_flight import InFlightCounts

SOURCES, SERVERS = ("e1", "e2", "e3"), ("i-1", "i-2")
REPORTS = st.tuples(
    st.sampled_from(SOURCES), st.sampled_from(SERVERS), st.integers(0, 4)
)
# None stands for a source that has disconnected.
EVENTS = st.lists(st.one_of(REPORTS, st.tuples(st.sampled_from(SOURCES), st.none())))


class InFlightCountsTests(unittest.TestCase):
    @given(EVENTS)
    def test_the_total_is_the_sum_of_each_sources_last_report(self, events):
        in_flight, last = InFlightCounts(), {}
        for source, *report in events:
            if report[0] is None:
                in_flight.remove_source(source)
                last = {key: n for key, n in last.items() if key[0] != source}
            else:
                in_flight.record(source, *report)
                last[source, report[0]] = report[1]
        totals = Counter()
        for (_, server), count in last.items():
            totals[server] += count
        for server in SERVERS:
            self.assertEqual(in_flight.total(server), totals[server])

    def test_removing_a_source_returns_the_servers_of_its_counts(self):
        in_flight = InFlightCounts()
        in_flight.record("e1", "i-1", 2)
        in_flight.record("e1", "i-2", 1)
        in_flight.record("e1", "i-2", 0)
        self.assertEqual(list(in_flight.remove_source("e1")), ["i-1"])
