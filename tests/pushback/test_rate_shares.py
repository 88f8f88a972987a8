"""Entries divide a server's rate limit without coordination and never exceed it."""

import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings, strategies as st

from cinderway._ids import EntryName, ServerName
from cinderway.pushback import (
    MINIMUM_RATE_PER_S,
    EntryGroup,
    PushbackStore,
    RateLimit,
    RateToken,
    compute_holder_count,
    compute_share,
)

SERVER = ServerName("i-1")
WINDOW_MS = 4_000
EXTRA_REQUESTS = 5
RATES = st.sampled_from([0.0, 0.4, 1.0, 1.9, 2.9, 20.0, 300.0])


def compute_bound(rate_per_s):
    """Return the number of requests that a server tolerates in any window."""
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


def compute_shares(rate_per_s, sizes, server=SERVER):
    """Return the share of each entry that has one."""
    found = {
        entry: compute_share(server, rate_per_s, entry, group)
        for group in groups_of(sizes)
        for entry in group.entries
    }
    return {entry: share for entry, share in found.items() if share}


class ShareTests(unittest.TestCase):
    @given(RATES, st.lists(st.integers(0, 70), min_size=1, max_size=12))
    def test_the_shares_of_all_entries_do_not_exceed_the_rate(self, rate, sizes):
        rate_per_s = max(rate, MINIMUM_RATE_PER_S)
        found = compute_shares(rate_per_s, sizes)
        self.assertLessEqual(sum(found.values()), rate_per_s * (1 + 1e-9))
        self.assertLessEqual(len(found), compute_holder_count(rate_per_s))

    @given(RATES, st.lists(st.integers(1, 70), min_size=1, max_size=12))
    def test_if_every_group_has_entries_the_shares_sum_up_to_the_rate(
        self, rate, sizes
    ):
        rate_per_s = max(rate, MINIMUM_RATE_PER_S)
        self.assertAlmostEqual(
            sum(compute_shares(rate_per_s, sizes).values()), rate_per_s
        )

    @given(RATES)
    def test_unused_tokens_stay_within_the_tolerance_with_three_in_ten_counted_twice(
        self, rate
    ):
        rate_per_s = max(rate, MINIMUM_RATE_PER_S)
        at_once = compute_holder_count(rate_per_s) + rate_per_s * WINDOW_MS / 1000
        self.assertLessEqual(1.3 * at_once, compute_bound(rate_per_s) * (1 + 1e-9))

    def test_an_entry_without_a_group_has_no_share(self):
        self.assertEqual(compute_share(SERVER, 20.0, EntryName("e1"), None), 0.0)

    def test_servers_choose_different_entries(self):
        chosen = set()
        for number in range(60):
            chosen |= compute_shares(1.9, [60] * 5, ServerName(f"i-{number}")).keys()
        self.assertGreater(len(chosen), 120)


@dataclass(frozen=True)
class Event:
    """A change in the fleet after a pause."""

    pause_ms: int
    # An entry restarts and receives the limit and its group a moment later.
    restarts: bool
    # An entry joins or leaves, and the others are informed a moment later.
    joins_or_leaves: bool
    rate_per_s: float | None


EVENTS = st.lists(
    st.builds(
        Event,
        pause_ms=st.integers(0, 3_000),
        restarts=st.booleans(),
        joins_or_leaves=st.integers(0, 4).map(lambda draw: draw == 0),
        rate_per_s=st.one_of(st.none(), st.none(), RATES),
    ),
    max_size=8,
)
LENGTH_MS = 16_000
STEP_MS = 20
UPDATE_DELAY_MS = 100


@dataclass
class Fleet:
    """Entries that all have more requests than a rate-limited server accepts."""

    rng: random.Random
    rate_per_s: float
    count: int
    now_ms: int = 0
    rate_valid_from_ms: int = 0
    arrivals_ms: list[int] = field(default_factory=list)
    books: dict[EntryName, PushbackStore] = field(default_factory=dict)
    pending: list[tuple[int, EntryName]] = field(default_factory=list)

    def __post_init__(self):
        for _ in range(self.count):
            self.add()
        for name in self.books:
            self.update(name)

    def add(self):
        name = EntryName(f"e{len(self.books)}-{self.rng.getrandbits(32)}")
        self.start(name)

    def start(self, name):
        store = self.books[name] = PushbackStore(entry=name)
        self.pending.append((self.now_ms + UPDATE_DELAY_MS, name))
        # Without a group it has no share, even if it receives the limit.
        store.group = None

    def update(self, name):
        """Send the current group and limit to an entry."""
        store = self.books.get(name)
        if store is None:
            return
        store.apply_group(
            EntryGroup("g", frozenset({"g"}), frozenset(self.books)), self.now_ms
        )
        limit = RateLimit(self.rate_per_s, self.now_ms)
        store.apply_limit(SERVER, store.of(SERVER), limit, self.now_ms)

    def apply(self, event):
        if event.restarts:
            self.start(self.rng.choice(sorted(self.books)))
        if event.joins_or_leaves:
            if self.rng.random() < 0.5 and len(self.books) > 1:
                del self.books[self.rng.choice(sorted(self.books))]
            else:
                self.add()
            self.pending += [(self.now_ms + UPDATE_DELAY_MS, n) for n in self.books]
        if event.rate_per_s is not None:
            self.rate_per_s = event.rate_per_s
            self.pending += [(self.now_ms + UPDATE_DELAY_MS, n) for n in self.books]
            # Requests sent under the previous rate do not count against the new one.
            self.rate_valid_from_ms = self.now_ms + UPDATE_DELAY_MS + STEP_MS
            self.arrivals_ms.clear()

    def step(self):
        due = [name for at_ms, name in self.pending if at_ms <= self.now_ms]
        self.pending = [p for p in self.pending if p[0] > self.now_ms]
        for name in due:
            self.update(name)
        for store in self.books.values():
            pushback = store.of(SERVER)
            is_limited = pushback.is_limited(self.now_ms)
            if (
                is_limited
                and pushback.can_accept(self.now_ms)
                and RateToken(pushback).acquire(self.now_ms)
            ):
                self.arrivals_ms.append(self.now_ms)
        self.now_ms += STEP_MS

    def maximum_in_a_window(self):
        times_ms = [at for at in self.arrivals_ms if at >= self.rate_valid_from_ms]
        return max(
            (sum(at <= t < at + WINDOW_MS for t in times_ms) for at in times_ms),
            default=0,
        )


class FleetTests(unittest.TestCase):
    @settings(max_examples=40)
    @given(EVENTS, RATES, st.integers(1, 40), st.integers(0, 2**32))
    def test_the_server_gets_no_more_than_it_tolerates_while_entries_come_and_go(
        self, events, rate_per_s, count, seed
    ):
        fleet = Fleet(random.Random(seed), rate_per_s, count)
        lowest_per_s = rate_per_s
        for event in events:
            for _ in range(0, event.pause_ms, STEP_MS):
                fleet.step()
            self.assertLessEqual(
                fleet.maximum_in_a_window(), compute_bound(max(lowest_per_s, 0))
            )
            fleet.apply(event)
            lowest_per_s = fleet.rate_per_s
        while fleet.now_ms < LENGTH_MS:
            fleet.step()
        self.assertLessEqual(fleet.maximum_in_a_window(), compute_bound(lowest_per_s))

    def test_three_hundred_entries_use_most_of_the_rate(self):
        fleet = Fleet(random.Random(1), 1.9, 300)
        while fleet.now_ms < LENGTH_MS:
            fleet.step()
        self.assertLessEqual(fleet.maximum_in_a_window(), compute_bound(1.9))
        self.assertGreater(len(fleet.arrivals_ms), 0.8 * 1.9 * LENGTH_MS / 1000)
