"""Allowances over a fleet: three ways to keep an account to its limit, in virtual time.

    python -m bench allowances [--seconds 30] [--seed 1] [--callers 0.75]

An account's callers are spread unevenly over the entries of three halls with five
replicas. Played are a share of the limit by entry, leases without a reserve (each
request asks the hall's replica) and leases as the product takes them, within the
allowance, at a surge, far beyond, and with entries cut off from control. The product's
own pools, leases and loans are played; ways and losses of messages are not modelled.
"""

import argparse
import asyncio
import random
from collections import deque
from unittest import mock

from bench.figures import table
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AccountName, Address, DataHall
from cinderway.catalog import (
    AccountRow,
    AnnounceReplica,
    AskAllowances,
    HeldAllowance,
    RouteSheet,
)
from cinderway.control import _allowances
from cinderway.control._account_tokens import VotingStatus
from cinderway.control._allowances import Allowances
from cinderway.limits import AllowanceLease, AllowanceRules, TokenGrant

ENTRIES = 113
REPLICA_HALLS = (0, 0, 1, 1, 2)
HALLS = 3
WINDOW_MS = 5_000
STEP_MS = 5
TELL_MS = 500
BORROW_MS = 250
RULES = AllowanceRules(WINDOW_MS, overshoot_ratio=0.09, slack_requests=18)
NAME = AccountName("acme")
WAYS = ("share by entry", "ask for each", "leases")
# Name, sent as a multiple of the rate, the share of entries cut off half-way, and the
# replicas that are killed then: one of a hall with two, and a hall's only one.
CASES = (
    ("half of the rate", 0.5, 0.0, ()),
    ("surge to 0.85", 0.85, 0.0, ()),
    ("three times the rate", 3.0, 0.0, ()),
    ("half, 17% of entries cut for 5.5 s", 0.5, 0.17, ()),
    ("half, 90% of entries cut for 5.5 s", 0.5, 0.9, ()),
    ("half, two of five replicas killed", 0.5, 0.0, ("r3", "r4")),
)
RATES_PER_S = (4.0, 60.0)


class _Clock:
    now_ms = 0


class _Calls:
    def __init__(self, replicas):
        self.replicas = replicas
        self.messages = 0

    async def call(self, address, message, timeout_s):
        self.messages += 2
        found = self.replicas.get(address)
        if found is None:
            raise CinderwayError(ErrorCode.PEER_UNREACHABLE, "gone", step=Step.CONNECT)
        return found.grant(None, message, _Clock.now_ms)


class _Machine:
    def __init__(self, addresses, row):
        self.sheet = RouteSheet(version=1, routes=[], services=[], accounts=[row])
        self.replicas = {
            a: AnnounceReplica(a, DataHall(str(hall)), a)
            for a, hall in zip(addresses, REPLICA_HALLS, strict=True)
        }


class Play:
    """One account, one way and one case."""

    def __init__(
        self, way, rate_per_s, sent, cut_share, seed, caller_rate_per_s, killed
    ):
        self.way = way
        self.rng = random.Random(seed)
        self.row = AccountRow(name=NAME, rate_per_s=rate_per_s, burst=rate_per_s)
        self.limit = RULES.limit(rate_per_s, rate_per_s)
        # Each caller always meets the same entry.
        callers = max(round(rate_per_s * sent / caller_rate_per_s), 1)
        self.entry_of = [self.rng.randrange(ENTRIES) for _ in range(callers)]
        self.sent_per_s = rate_per_s * sent
        self.cut = set(self.rng.sample(range(ENTRIES), round(ENTRIES * cut_share)))
        addresses = [Address(f"r{number}") for number in range(len(REPLICA_HALLS))]
        self.addresses = addresses
        machine = _Machine(addresses, self.row)
        self.replicas = {}
        self.calls = _Calls(self.replicas)
        voting_status = VotingStatus(True, len(addresses))
        for a in addresses:
            self.replicas[a] = Allowances(
                a, machine, self.calls, RULES, lambda: voting_status
            )
        self.leases = [AllowanceLease(window_ms=WINDOW_MS) for _ in range(ENTRIES)]
        self.own_used_at_ms = [deque() for _ in range(ENTRIES)]
        self.killed = killed
        self.messages = 0
        self.asked = self.refused = 0
        self.served_at_ms = []

    def replica_of(self, entry):
        """Return the replica that an entry follows."""
        hall = entry % HALLS
        halls = dict(zip(self.addresses, REPLICA_HALLS, strict=True))
        own = [a for a in self.replicas if halls[a] == hall] or list(self.replicas)
        return self.replicas[own[entry // HALLS % len(own)]]

    def is_cut(self, entry, length_ms):
        """Whether an entry reaches no replica now."""
        began_ms = length_ms / 2
        return entry in self.cut and began_ms <= _Clock.now_ms < began_ms + 5_500

    async def run(self, length_ms):
        """Play the case."""
        for _Clock.now_ms in range(0, length_ms, STEP_MS):
            if _Clock.now_ms == length_ms // 2:
                self.kill_replicas()
            if _Clock.now_ms % BORROW_MS == 0:
                for replica in self.replicas.values():
                    await replica.borrow_for_short_accounts()
            if _Clock.now_ms % TELL_MS == 0 and self.way != "share by entry":
                await self.tell_all(length_ms)
            if self.rng.random() < self.sent_per_s * STEP_MS / 1000:
                await self.request(self.rng.choice(self.entry_of), length_ms)

    def kill_replicas(self):
        """Kill some replicas; their entries follow others at once."""
        moved = [e for e in range(ENTRIES) if self.replica_of(e).own in self.killed]
        for address in self.killed:
            del self.replicas[address]
        for entry in moved:
            self.leases[entry].switch_replica(_Clock.now_ms)

    async def request(self, entry, length_ms):
        """Let an entry serve or refuse one request."""
        self.asked += 1
        if await self.take(entry, length_ms):
            self.served_at_ms.append(_Clock.now_ms)
        else:
            self.refused += 1

    async def take(self, entry, length_ms):
        """Say whether an entry may send a request."""
        now_ms = _Clock.now_ms
        if self.way == "share by entry":
            used = self.own_used_at_ms[entry]
            while used and used[0] < now_ms - WINDOW_MS:
                used.popleft()
            if len(used) + 1 > self.limit / ENTRIES:
                return False
            used.append(now_ms)
            return True
        lease = self.leases[entry]
        if lease.consume(now_ms):
            return True
        if self.is_cut(entry, length_ms) or now_ms < lease.refused_until_ms:
            return False
        lease.waiting = 1
        await self.tell(entry)
        lease.waiting = 0
        return lease.consume(now_ms)

    async def tell_all(self, length_ms):
        """Let entries report as they do at intervals."""
        for entry, lease in enumerate(self.leases):
            if lease.is_due(_Clock.now_ms) and not self.is_cut(entry, length_ms):
                await self.tell(entry)

    async def tell(self, entry):
        """Bring one entry's ask to its replica and back."""
        lease, now_ms = self.leases[entry], _Clock.now_ms
        ask = lease.begin_token_request(now_ms)
        line = HeldAllowance.from_request(NAME, ask)
        if self.way == "ask for each":
            line = HeldAllowance(NAME, ask.used, ask.held, ask.needed, ask.needed)
        asked = AskAllowances([line])
        replica = self.replica_of(entry)
        first = replica.grant(entry, asked, now_ms)
        answer = await replica.borrow_missing(entry, asked, first)
        found = answer.lines[0]
        granted = TokenGrant(found.granted, found.room_in_ms)
        lease.end_token_request(granted, now_ms, now_ms + answer.lease_ms)
        self.messages += 2

    @property
    def fullest_window(self):
        """The most that was served in a window, as a part of the limit."""
        most, first = 0, 0
        for last, at_ms in enumerate(self.served_at_ms):
            while at_ms - self.served_at_ms[first] > WINDOW_MS:
                first += 1
            most = max(most, last - first + 1)
        return most / self.limit


def main(arguments: list[str]) -> None:
    """Play every way in every case and print a table."""
    parser = argparse.ArgumentParser(prog="python -m bench allowances")
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--callers", type=float, default=0.75, help="requests/s of one caller"
    )
    options = parser.parse_args(arguments)
    rows = []
    with mock.patch.object(_allowances, "monotonic_ms", lambda: _Clock.now_ms):
        for rate_per_s in RATES_PER_S:
            for case, sent, cut_share, killed in CASES:
                for way in WAYS:
                    play = Play(
                        way,
                        rate_per_s,
                        sent,
                        cut_share,
                        options.seed,
                        options.callers,
                        killed,
                    )
                    asyncio.run(play.run(options.seconds * 1000))
                    rows.append(_row(play, rate_per_s, case, way))
    header = ["rate/s", "case", "way", "asked", "refused", "fullest window", "messages"]
    print(table(header, rows))


def _row(play: Play, rate_per_s: float, case: str, way: str) -> list:
    messages = (play.messages + play.calls.messages) / max(play.asked, 1)
    return [
        f"{rate_per_s:g}",
        case,
        way,
        play.asked,
        f"{play.refused / max(play.asked, 1):.1%}",
        f"{play.fullest_window:.0%} of the limit",
        f"{messages:.1f} a request",
    ]
