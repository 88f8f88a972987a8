"""Entries divide a server's rate without asking anyone, and never take more than it."""

import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings, strategies as st

from cinderway._ids import EntryName, ServerName
from cinderway.pushback import (
    LEAST_RATE_PER_S,
    EntryGroup,
    PushbackBook,
    RateLimit,
    Turn,
    holder_count,
    share_of,
)

SERVER = ServerName("i-1")
WINDOW_MS = 4_000
EXTRA_REQUESTS = 5
RATES = st.sampled_from([0.0, 0.4, 1.0, 1.9, 2.9, 20.0, 300.0])


def bound(rate_per_s):
    """Return what a server bears in any window, by the promise to it."""
    return 1.5 * rate_per_s * WINDOW_MS / 1000 + EXTRA_REQUESTS


def groups_of(sizes):
    names = frozenset(f"group-{number}" for number in range(len(sizes)))
    return [
        EntryGroup(
            f"group-{number}",
            names,
            frozenset(EntryName(f"e{number}-{i}") for i in range(size)),
        )
        for number, size in enumerate(sizes)
    ]


def shares(rate_per_s, sizes, server=SERVER):
    """Return the part of each entry that has one."""
    found = {
        entry: share_of(server, rate_per_s, entry, group)
        for group in groups_of(sizes)
        for entry in group.entries
    }
    return {entry: share for entry, share in found.items() if share}


class ShareTests(unittest.TestCase):
    @given(RATES, st.lists(st.integers(0, 70), min_size=1, max_size=12))
    def test_the_parts_of_all_entries_are_no_more_than_the_rate(self, rate, sizes):
        rate_per_s = max(rate, LEAST_RATE_PER_S)
        found = shares(rate_per_s, sizes)
        self.assertLessEqual(sum(found.values()), rate_per_s * (1 + 1e-9))
        self.assertLessEqual(len(found), holder_count(rate_per_s))

    @given(RATES, st.lists(st.integers(1, 70), min_size=1, max_size=12))
    def test_where_each_group_has_entries_nothing_of_it_is_lost(self, rate, sizes):
        rate_per_s = max(rate, LEAST_RATE_PER_S)
        self.assertAlmostEqual(sum(shares(rate_per_s, sizes).values()), rate_per_s)

    @given(RATES)
    def test_what_all_may_save_up_fits_also_where_three_in_ten_are_counted_twice(
        self, rate
    ):
        rate_per_s = max(rate, LEAST_RATE_PER_S)
        at_once = holder_count(rate_per_s) + rate_per_s * WINDOW_MS / 1000
        self.assertLessEqual(1.3 * at_once, bound(rate_per_s) * (1 + 1e-9))

    def test_an_entry_without_a_group_has_no_part(self):
        self.assertEqual(share_of(SERVER, 20.0, EntryName("e1"), None), 0.0)

    def test_servers_choose_different_entries(self):
        chosen = set()
        for number in range(60):
            chosen |= shares(1.9, [60] * 5, ServerName(f"i-{number}")).keys()
        self.assertGreater(len(chosen), 120)


@dataclass(frozen=True)
class Event:
    """Something that happens to the fleet after a pause."""

    pause_ms: int
    # An entry starts again; it hears of limits and of its group a moment later.
    restarts: bool
    # An entry comes or goes; the others hear of it a moment later.
    moves: bool
    rate_per_s: float | None


EVENTS = st.lists(
    st.builds(
        Event,
        pause_ms=st.integers(0, 3_000),
        restarts=st.booleans(),
        moves=st.integers(0, 4).map(lambda draw: draw == 0),
        rate_per_s=st.one_of(st.none(), st.none(), RATES),
    ),
    max_size=8,
)
LENGTH_MS = 16_000
STEP_MS = 20
HEARD_AFTER_MS = 100


@dataclass
class Fleet:
    """Entries that all have more requests than a limited server takes."""

    rng: random.Random
    rate_per_s: float
    count: int
    now_ms: int = 0
    lowest_from_ms: int = 0
    arrivals_ms: list[int] = field(default_factory=list)
    books: dict[EntryName, PushbackBook] = field(default_factory=dict)
    pending: list[tuple[int, EntryName]] = field(default_factory=list)

    def __post_init__(self):
        for _ in range(self.count):
            self.add()
        for name in self.books:
            self.hear(name)

    def add(self):
        name = EntryName(f"e{len(self.books)}-{self.rng.getrandbits(32)}")
        self.start(name)

    def start(self, name):
        book = self.books[name] = PushbackBook(entry=name)
        self.pending.append((self.now_ms + HEARD_AFTER_MS, name))
        # Without its own group it has no part, whatever it hears.
        book.group = None

    def hear(self, name):
        """Tell an entry of the group and of the limit."""
        book = self.books.get(name)
        if book is None:
            return
        book.use_group(
            EntryGroup("g", frozenset({"g"}), frozenset(self.books)), self.now_ms
        )
        limit = RateLimit(self.rate_per_s, self.now_ms)
        book.learn_limit(SERVER, book.of(SERVER), limit, self.now_ms)

    def strike(self, event):
        if event.restarts:
            self.start(self.rng.choice(sorted(self.books)))
        if event.moves:
            if self.rng.random() < 0.5 and len(self.books) > 1:
                del self.books[self.rng.choice(sorted(self.books))]
            else:
                self.add()
            self.pending += [(self.now_ms + HEARD_AFTER_MS, n) for n in self.books]
        if event.rate_per_s is not None:
            self.rate_per_s = event.rate_per_s
            self.pending += [(self.now_ms + HEARD_AFTER_MS, n) for n in self.books]
            # What was sent under another rate is no fault of this one.
            self.lowest_from_ms = self.now_ms + HEARD_AFTER_MS + STEP_MS
            self.arrivals_ms.clear()

    def step(self):
        due = [name for at_ms, name in self.pending if at_ms <= self.now_ms]
        self.pending = [p for p in self.pending if p[0] > self.now_ms]
        for name in due:
            self.hear(name)
        for book in self.books.values():
            kept = book.of(SERVER)
            knows = kept.is_limited(self.now_ms)
            if knows and kept.is_open(self.now_ms) and Turn(kept).take(self.now_ms):
                self.arrivals_ms.append(self.now_ms)
        self.now_ms += STEP_MS

    def most(self):
        times_ms = [at for at in self.arrivals_ms if at >= self.lowest_from_ms]
        return max(
            (sum(at <= t < at + WINDOW_MS for t in times_ms) for at in times_ms),
            default=0,
        )


class FleetTests(unittest.TestCase):
    @settings(max_examples=40)
    @given(EVENTS, RATES, st.integers(1, 40), st.integers(0, 2**32))
    def test_whatever_happens_to_entries_the_server_gets_no_more_than_it_bears(
        self, events, rate_per_s, count, seed
    ):
        fleet = Fleet(random.Random(seed), rate_per_s, count)
        lowest_per_s = rate_per_s
        for event in events:
            for _ in range(0, event.pause_ms, STEP_MS):
                fleet.step()
            self.assertLessEqual(fleet.most(), bound(max(lowest_per_s, 0)))
            fleet.strike(event)
            lowest_per_s = fleet.rate_per_s
        while fleet.now_ms < LENGTH_MS:
            fleet.step()
        self.assertLessEqual(fleet.most(), bound(lowest_per_s))

    def test_three_hundred_entries_use_what_a_server_takes(self):
        fleet = Fleet(random.Random(1), 1.9, 300)
        while fleet.now_ms < LENGTH_MS:
            fleet.step()
        self.assertLessEqual(fleet.most(), bound(1.9))
        self.assertGreater(len(fleet.arrivals_ms), 0.8 * 1.9 * LENGTH_MS / 1000)
