"""The replicated state machine of run-once claims.

The ledger keeps its own time: each command carries `now_ms`, the time of the last
command that earlier leaders had committed plus what has passed on the leader's
monotonic clock. This time stops while there is no leader, and no change of a wall
clock can make it jump, so a claim may be kept longer than promised but never shorter.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec
from msgspec.structs import replace

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import AttemptId, EntryName
from cinderway.ledger._conversation import (
    Abandon,
    Claim,
    ClaimAnswer,
    ClaimName,
    ClaimRecord,
    Finish,
    Resolution,
    Ruling,
    Settle,
    StoredAnswer,
)

# A claim that is still in transit when its attempt is abandoned arrives within this
# time; after that its connection has long been closed.
TOMBSTONE_RETENTION_MS = 3_600_000
# A part is encoded without yielding to other threads. Encoding a large ledger in one
# piece would hold up the heartbeats.
CLAIMS_PER_SNAPSHOT_PART = 1_000


class Command(msgspec.Struct, frozen=True):
    """A request, with the ledger's time when the leader proposed it.

    Exactly one of the requests is set.
    """

    now_ms: int
    claim: Claim | None = None
    finish: Finish | None = None
    abandon: Abandon | None = None
    settle: Settle | None = None

    def encode(self) -> bytes:
        """Return the bytes that are stored in the replicated log."""
        return msgspec.msgpack.encode(self)


class StoredClaim(msgspec.Struct, frozen=True):
    """The stored state of one claim; `resolution` is None until one is recorded."""

    fingerprint: bytes
    attempt_id: AttemptId
    entry: EntryName
    claimed_at_ms: int
    run_deadline_ms: int
    forget_at_ms: int
    resolution: Resolution | None = None
    answer: StoredAnswer = StoredAnswer()


ClaimPairs = list[tuple[ClaimName, StoredClaim]]


class MachineState(msgspec.Struct, frozen=True):
    """The format of the snapshot."""

    now_ms: int
    # Each holds up to CLAIMS_PER_SNAPSHOT_PART pairs of ClaimName and StoredClaim.
    parts: list[bytes]
    tombstones: dict[AttemptId, int]


@dataclass(order=True)
class _Expiry:
    at_ms: int
    name: ClaimName = field(compare=False)
    attempt_id: AttemptId = field(compare=False)


class LedgerMachine:
    """Holds the claims by name and applies the committed commands to them.

    Guarantees: once an attempt on a name was granted, another one is granted only
    after the first was recorded as not run or its outcome's retention has ended; an
    abandoned attempt is never granted later; a claim in doubt is never removed, only
    settled.
    """

    def __init__(self):
        self.now_ms = 0
        self._claims: dict[ClaimName, StoredClaim] = {}
        self._tombstones: dict[AttemptId, int] = {}
        self._expiries: list[_Expiry] = []

    def __len__(self) -> int:
        return len(self._claims)

    def apply(self, index: int, data: bytes) -> ClaimAnswer | None:
        """Apply the command in a log entry; only a claim has an answer."""
        command = msgspec.msgpack.decode(data, type=Command)
        self.now_ms = max(self.now_ms, command.now_ms)
        self._remove_expired()
        match command:
            case Command(claim=Claim() as claim):
                return self._apply_claim(claim)
            case Command(finish=Finish() as finish):
                return self._apply_finish(finish)
            case Command(abandon=Abandon() as abandon):
                return self._apply_abandon(abandon)
            case Command(settle=Settle() as settle):
                return self._apply_settle(settle)

    def get_ruling(self, name: ClaimName, now_ms: int) -> ClaimAnswer | None:
        """Return the answer to a new attempt made now, or None if the name is free."""
        stored = self._claims.get(name)
        if stored is None or stored.resolution is Resolution.NOT_RUN:
            return None
        if stored.resolution is Resolution.RAN:
            return ClaimAnswer(Ruling.RAN, stored.answer)
        if self._is_in_doubt(stored, now_ms):
            return ClaimAnswer(Ruling.IN_DOUBT)
        return ClaimAnswer(Ruling.RUNNING)

    def find_claims_in_doubt(self, now_ms: int, limit: int) -> list[ClaimRecord]:
        """Return claims whose outcome is not known, oldest first, at most `limit`."""
        found = [
            ClaimRecord(name, c.attempt_id, c.entry, now_ms - c.claimed_at_ms)
            for name, c in self._claims.items()
            if self._is_in_doubt(c, now_ms)
        ]
        return sorted(found, key=lambda record: -record.age_ms)[:limit]

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return self.capture_snapshot()()

    def capture_snapshot(self) -> Callable[[], bytes]:
        """Return a function that encodes the state as of this call.

        It needs no deep copy: a stored claim is replaced, never modified.
        """
        claims = list(self._claims.items())
        return partial(_encode_state, self.now_ms, claims, dict(self._tombstones))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; b"" stands for the empty state."""
        self.__init__()
        if not data:
            return
        state = msgspec.msgpack.decode(data, type=MachineState)
        self.now_ms = state.now_ms
        for part in state.parts:
            self._claims.update(msgspec.msgpack.decode(part, type=ClaimPairs))
        self._tombstones = dict(state.tombstones)
        for name, stored in self._claims.items():
            self._schedule(name, stored)

    # Commands.

    def _apply_claim(self, claim: Claim) -> ClaimAnswer:
        if claim.attempt_id in self._tombstones:
            return ClaimAnswer(Ruling.ATTEMPT_ABANDONED)
        stored = self._claims.get(claim.name)
        if stored is not None and stored.fingerprint != claim.fingerprint:
            return ClaimAnswer(Ruling.KEY_REUSED)
        if stored is not None and stored.attempt_id == claim.attempt_id:
            if stored.resolution is None:
                # The claim was sent again because its answer was lost.
                return ClaimAnswer(Ruling.GRANTED)
        ruling = self.get_ruling(claim.name, self.now_ms)
        if ruling is not None:
            return ruling
        granted = StoredClaim(
            fingerprint=claim.fingerprint,
            attempt_id=claim.attempt_id,
            entry=claim.entry,
            claimed_at_ms=self.now_ms,
            run_deadline_ms=self.now_ms + claim.run_ms,
            forget_at_ms=self.now_ms + claim.run_ms + claim.retention_ms,
        )
        self._claims[claim.name] = granted
        self._schedule(claim.name, granted)
        return ClaimAnswer(Ruling.GRANTED)

    def _apply_finish(self, finish: Finish) -> None:
        stored = self._claims.get(finish.name)
        if stored is None or stored.attempt_id != finish.attempt_id:
            return
        if stored.resolution in (None, Resolution.UNKNOWN):
            self._claims[finish.name] = replace(
                stored, resolution=finish.resolution, answer=finish.answer
            )
        if finish.resolution is Resolution.NOT_RUN:
            # Without a tombstone, a late copy of the claim would be granted although no
            # entry waits for it; it would block the name and end up in doubt.
            self._add_tombstone(finish.attempt_id)

    def _apply_abandon(self, abandon: Abandon) -> None:
        self._add_tombstone(abandon.attempt_id)
        stored = self._claims.get(abandon.name)
        if stored is None or stored.attempt_id != abandon.attempt_id:
            return
        if stored.resolution is None:
            self._resolve(abandon.name, stored, Resolution.NOT_RUN)

    def _apply_settle(self, settle: Settle) -> None:
        stored = self._claims.get(settle.name)
        if stored is not None and self._is_in_doubt(stored, self.now_ms):
            self._resolve(settle.name, stored, settle.resolution)

    # Helpers.

    def _is_in_doubt(self, stored: StoredClaim, now_ms: int) -> bool:
        if stored.resolution is None:
            return now_ms >= stored.run_deadline_ms
        return stored.resolution is Resolution.UNKNOWN

    def _resolve(
        self, name: ClaimName, stored: StoredClaim, resolution: Resolution
    ) -> None:
        self._claims[name] = replace(stored, resolution=resolution)

    def _add_tombstone(self, attempt_id: AttemptId) -> None:
        self._tombstones.setdefault(attempt_id, self.now_ms + TOMBSTONE_RETENTION_MS)

    def _schedule(self, name: ClaimName, stored: StoredClaim) -> None:
        expiry = _Expiry(stored.forget_at_ms, name, stored.attempt_id)
        heapq.heappush(self._expiries, expiry)

    def _remove_expired(self) -> None:
        while self._expiries and self._expiries[0].at_ms <= self.now_ms:
            expiry = heapq.heappop(self._expiries)
            stored = self._claims.get(expiry.name)
            if stored is None or stored.attempt_id != expiry.attempt_id:
                continue
            if stored.resolution in (Resolution.RAN, Resolution.NOT_RUN):
                del self._claims[expiry.name]
            else:
                stored = replace(
                    stored, forget_at_ms=self.now_ms + TOMBSTONE_RETENTION_MS
                )
                self._claims[expiry.name] = stored
                self._schedule(expiry.name, stored)
        self._remove_expired_tombstones()

    def _remove_expired_tombstones(self) -> None:
        # Every tombstone is kept equally long, so insertion order is expiry order.
        while self._tombstones:
            attempt_id, forget_at_ms = next(iter(self._tombstones.items()))
            if forget_at_ms > self.now_ms:
                return
            del self._tombstones[attempt_id]


def _encode_state(
    now_ms: int, claims: ClaimPairs, tombstones: dict[AttemptId, int]
) -> bytes:
    parts = [
        msgspec.msgpack.encode(claims[start : start + CLAIMS_PER_SNAPSHOT_PART])
        for start in range(0, len(claims), CLAIMS_PER_SNAPSHOT_PART)
    ]
    return msgspec.msgpack.encode(MachineState(now_ms, parts, tombstones))


def not_in_doubt_error(name: ClaimName) -> CinderwayError:
    """Return the error for an attempt to settle a claim that is not in doubt."""
    return CinderwayError(
        ErrorCode.CLAIM_RUNNING,
        f"claim {name.service}/{name.caller}/{name.key} is not in doubt",
        step=Step.CLAIM,
    )
