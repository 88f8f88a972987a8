"""Failure detection for the backend servers of one service.

It uses the observations of all entries and does no I/O: reports, table rows and the
time are passed in, standings come out. It distinguishes these cases:

    one failing server              its score exceeds the threshold, its peers are
                                    healthy
    a server partitioned from a     entries in the other halls get good answers from it
        data hall
    a faulty entry                  sees failures of servers that all other entries
                                    find healthy
    a service failing as a whole    the peers fail too: nothing is ejected
    a flapping server               each ejection lasts twice as long as the one before
    a cold server                   is RECOVERING, with a growing share of its weight
"""

import statistics
from collections.abc import Collection
from dataclasses import dataclass

from cinderway._ids import DataHall, EntryName, ServerName
from cinderway.judgement._comparison import has_contradiction, is_better_half_healthy
from cinderway.judgement._conversation import ServerEvidence, ServerStanding
from cinderway.judgement._sequential import (
    THRESHOLDS,
    Window,
    compute_weights,
    reporter_cap,
)
from cinderway.judgement._server_record import (
    ObservationBatch,
    ServerRecord,
    Tally,
    is_withdrawn,
)
from cinderway.table import ServiceRow

REPORTER_ACTIVE_MS = 3_000
# Expiry of a drain signal, after which a server that was restarted at the same address
# counts as draining no longer.
DRAIN_SIGNAL_TTL_MS = 60_000
# Peers that fail more often than this are not healthy either.
MAX_HEALTHY_PEER_BAD_SHARE = 0.2
MIN_OBSERVED_PEERS = 3
# While the peers fail too, a score above the threshold leads to an ejection only after
# the first time, and its window is reset after the second.
SERVICE_WIDE_FAILURE_WAIT_MS = 1_500
SERVICE_WIDE_FAILURE_GIVE_UP_MS = 5_000
# In a hall that is partitioned from a server nearly all requests to it fail.
PARTITION_BAD_SHARE = 0.75
MIN_OTHER_HALL_OBSERVATIONS = 3
OTHER_HALLS_WAIT_MS = 1_000
MIN_GOOD_FROM_OTHER_REPORTERS = 3
FAULTY_REPORTER_BAD_SHARE = 0.5
FAULTY_REPORTER_MIN_SERVERS = 2
FAULTY_REPORTER_LOOKBACK_MS = 1_000

PROBE_THRESHOLD_SHARE = 0.25
SUSPECT_PROBES_PER_S = 40.0
READMISSION_PROBES_PER_S = 10.0
PROBES_TO_TRIAL = 3
GOOD_OBSERVATIONS_TO_RECOVER = 5
MAX_TRIAL_MS = 10_000
TRIAL_SHARE = 0.1
RELAPSE_THRESHOLD_SHARE = 0.6
# Once a server is ejected for one hall, another hall needs this share of the threshold.
WIDEN_THRESHOLD_SHARE = 0.5
WIDEN_REPORTERS = 2
MIN_TIME_COUNT = 3
# The standard deviation of single answer times is half of their mean or more. The mean
# of four is twice the usual one by chance only about once in a hundred times.
MIN_RECENT_TIME_COUNT = 4
SLOW_PACE_FACTOR = 2.0
# Shares of the weight of a server that takes twice and four times the usual time.
SLOW_WEIGHT_SHARE = 0.5
VERY_SLOW_WEIGHT_SHARE = 0.25
CALLER_REQUESTS_PER_PROBE = 4


@dataclass
class Reporter:
    """The data hall of a reporting entry and the time of its last report."""

    hall: DataHall
    received_at_ms: int


class ServiceJudge:
    """Detects failing servers of one service and decides their standings."""

    def __init__(self, reporters: dict[EntryName, Reporter] | None = None):
        self._records: dict[ServerName, ServerRecord] = {}
        # Shared by the judges of a group's services, since a report covers all of them.
        self._reporters = {} if reporters is None else reporters
        self.normal_ms = 0.0

    def records(self) -> list[ServerRecord]:
        """Return the records of all servers, sorted by name."""
        return sorted(self._records.values(), key=lambda record: record.name)

    def record_reporter(self, reporter: EntryName, hall: DataHall, now_ms: int) -> None:
        """Record that a reporter is active, even if it has no observations."""
        self._reporters[reporter] = Reporter(hall, now_ms)

    def record_evidence(
        self,
        reporter: EntryName,
        hall: DataHall,
        evidence: ServerEvidence,
        service: ServiceRow,
        now_ms: int,
    ) -> None:
        """Record one reporter's observations of one server."""
        record = self._records.get(evidence.server)
        if record is None:
            record = self._records[evidence.server] = ServerRecord(evidence.server)
        if evidence.is_draining:
            record.draining_until_ms = now_ms + DRAIN_SIGNAL_TTL_MS
        good, bad = evidence.good, evidence.bad
        record.record_batch(ObservationBatch(now_ms, reporter, hall, good, bad))
        record.caller_observations.add(max(good + bad - evidence.probes, 0), 0, now_ms)
        record.time.add(evidence.time_sum_ms, evidence.time_count, now_ms)
        record.recent_time.add(evidence.time_sum_ms, evidence.time_count, now_ms)
        if bad:
            record.reason = evidence.main_reason().value
        if is_withdrawn(record.standing) and (not record.halls or hall in record.halls):
            return
        weights = compute_weights(self._peer_failure_rate())
        active_count = len(self._active_reporters(now_ms))
        cap = reporter_cap(THRESHOLDS[service.bias], active_count)
        for key in (None, hall):
            record.window(key).add(reporter, good, bad, weights, cap, now_ms)

    def decide(
        self, service: ServiceRow, known: Collection[ServerName], now_ms: int
    ) -> None:
        """Update every server's standing; drop servers that are not in the table."""
        for removed in self._records.keys() - set(known):
            del self._records[removed]
        self._update_normal_time()
        for record in self._records.values():
            self._update_standing(record, service, now_ms)

    def probes_per_s(self, record: ServerRecord, service: ServiceRow) -> float:
        """Rate at which all entries together should probe a server themselves."""
        if not service.probe_path:
            return 0.0
        threshold = THRESHOLDS[service.bias]
        is_suspect = record.suspicion >= threshold * PROBE_THRESHOLD_SHARE
        if record.standing is ServerStanding.EJECTED and not (
            record.halls and is_suspect
        ):
            return 0.0
        if record.standing in (ServerStanding.PROBING, ServerStanding.TRIAL):
            return READMISSION_PROBES_PER_S
        return SUSPECT_PROBES_PER_S if is_suspect else 0.0

    def background_probes_per_s(self, service: ServiceRow, now_ms: int) -> float:
        """Rate at which every server should be probed, including those not suspect.

        It falls as callers' requests rise. Callers' requests come at random, probes at
        regular intervals, so one probe shortens the longest gap between observations as
        much as several callers' requests do.
        """
        if not service.probe_path:
            return 0.0
        rates = [
            record.caller_observations_per_s(now_ms)
            for record in self._records.values()
        ]
        seen_per_s = statistics.mean(rates) if rates else 0.0
        return max(service.probes_per_s - seen_per_s / CALLER_REQUESTS_PER_PROBE, 0.0)

    def share(self, record: ServerRecord, service: ServiceRow, now_ms: int) -> float:
        """Share of a server's weight that applies at its standing."""
        match record.standing:
            case ServerStanding.HEALTHY:
                return 1.0
            case ServerStanding.TRIAL:
                return TRIAL_SHARE
            case ServerStanding.RECOVERING:
                elapsed_ms = now_ms - record.standing_since_ms
                ramp = elapsed_ms / max(service.slow_start_ms, 1)
                return min(max(ramp, TRIAL_SHARE), 1.0)
            case _:
                return 0.0

    def slow_server_share(self, record: ServerRecord, now_ms: int) -> float:
        """Share of the weight of a server that is healthy but slow at the moment.

        Requests that take twice as long occupy a server's slots for twice as long. The
        share has two steps, so that entries get an update only if it matters.
        """
        record.recent_time.add(0, 0, now_ms)
        if record.recent_time.second < MIN_RECENT_TIME_COUNT or not self.normal_ms:
            return 1.0
        factor = record.recent_time.first / record.recent_time.second / self.normal_ms
        if factor < SLOW_PACE_FACTOR:
            return 1.0
        is_very_slow = factor >= SLOW_PACE_FACTOR**2
        return VERY_SLOW_WEIGHT_SHARE if is_very_slow else SLOW_WEIGHT_SHARE

    # Transitions between standings.

    def _update_standing(
        self, record: ServerRecord, service: ServiceRow, now_ms: int
    ) -> None:
        if record.halls and record.standing is not ServerStanding.HEALTHY:
            self._widen_ejection(record, service, now_ms)
        match record.standing:
            case ServerStanding.EJECTED if now_ms >= record.until_ms:
                standing = (
                    ServerStanding.PROBING
                    if service.probe_path
                    else ServerStanding.TRIAL
                )
                record.set_standing(standing, now_ms)
            case ServerStanding.PROBING if record.bad_since_change:
                record.eject(record.halls, record.score, now_ms)
            case ServerStanding.PROBING if record.good_since_change >= PROBES_TO_TRIAL:
                record.set_standing(ServerStanding.TRIAL, now_ms)
            case ServerStanding.TRIAL:
                self._update_trial(record, service, now_ms)
            case ServerStanding.RECOVERING:
                if now_ms - record.standing_since_ms >= service.slow_start_ms:
                    record.set_standing(ServerStanding.HEALTHY, now_ms)
                    record.healthy_since_ms = now_ms
                else:
                    self._eject_if_failing(record, service, now_ms)
            case ServerStanding.HEALTHY:
                self._eject_if_failing(record, service, now_ms)

    def _update_trial(
        self, record: ServerRecord, service: ServiceRow, now_ms: int
    ) -> None:
        if record.bad_since_change > max(
            1, record.good_since_change // GOOD_OBSERVATIONS_TO_RECOVER
        ):
            record.eject(record.halls, record.score, now_ms)
            return
        is_over = now_ms - record.standing_since_ms >= MAX_TRIAL_MS
        if record.good_since_change >= GOOD_OBSERVATIONS_TO_RECOVER or is_over:
            record.set_standing(ServerStanding.RECOVERING, now_ms)

    def _eject_if_failing(
        self, record: ServerRecord, service: ServiceRow, now_ms: int
    ) -> None:
        threshold = THRESHOLDS[service.bias]
        if record.standing is ServerStanding.RECOVERING:
            threshold *= RELAPSE_THRESHOLD_SHARE
        for hall, window in list(record.windows.items()):
            if window.score < threshold:
                continue
            self._drop_faulty_reporters(window, now_ms)
            if window.score < threshold:
                continue
            scope = self._ejection_scope(record, hall, window.began_at_ms, now_ms)
            if scope is not None and self._has_healthy_peers(
                record, scope, window, now_ms
            ):
                record.eject(scope, window.score, now_ms)
                return

    def _widen_ejection(
        self, record: ServerRecord, service: ServiceRow, now_ms: int
    ) -> None:
        """Extend an ejection to another hall whose own entries see the server fail."""
        for hall, window in list(record.windows.items()):
            if hall is None or hall in record.halls:
                continue
            if self._is_condemned(record, hall, window, service, now_ms):
                record.eject(record.halls | {hall}, window.score, now_ms)
                return

    def _is_condemned(
        self,
        record: ServerRecord,
        hall: DataHall,
        window: Window,
        service: ServiceRow,
        now_ms: int,
    ) -> bool:
        threshold = THRESHOLDS[service.bias] * WIDEN_THRESHOLD_SHARE
        # The cap per reporter is relative to the full threshold and could exceed this
        # lower one, so the minimum number of reporters is checked explicitly.
        if window.score < threshold or len(window.bad) < WIDEN_REPORTERS:
            return False
        self._drop_faulty_reporters(window, now_ms)
        if window.score < threshold or len(window.bad) < WIDEN_REPORTERS:
            return False
        return self._has_healthy_peers(record, frozenset({hall}), window, now_ms)

    # Distinguishing the causes of failures.

    def _ejection_scope(
        self, record: ServerRecord, hall: DataHall | None, since_ms: int, now_ms: int
    ) -> frozenset[DataHall] | None:
        """Return the halls to eject for, empty for all halls, or None not to eject yet.

        Compares the hall with the most failures with all others together. While the
        others have few observations, the decision is delayed by up to
        `OTHER_HALLS_WAIT_MS`: their entries are asked to probe a suspect server.
        """
        tallies = {
            seen: record.count_observations(since_ms, halls=frozenset({seen}))
            for seen in sorted(record.observing_halls(since_ms))
        }
        failing = max(tallies, key=lambda seen: tallies[seen].bad)
        if tallies[failing].bad_share < PARTITION_BAD_SHARE:
            return frozenset()
        others = sum((tallies[seen] for seen in tallies if seen != failing), Tally())
        if (
            others.count < MIN_OTHER_HALL_OBSERVATIONS
            and now_ms - since_ms < OTHER_HALLS_WAIT_MS
        ):
            return None if self._has_other_halls(failing, now_ms) else frozenset()
        if not has_contradiction(others, tallies[failing]):
            return frozenset()
        partitioned = {
            seen for seen in tallies if tallies[seen].bad_share >= PARTITION_BAD_SHARE
        }
        return frozenset(partitioned) if hall is None or hall in partitioned else None

    def _has_other_halls(self, hall: DataHall, now_ms: int) -> bool:
        return any(r.hall != hall for r in self._active_reporters(now_ms))

    def _has_healthy_peers(
        self,
        record: ServerRecord,
        scope: frozenset[DataHall],
        window: Window,
        now_ms: int,
    ) -> bool:
        """Whether only this server fails, not the service as a whole.

        Looks at the observations of the other servers by entries in the same halls
        since this server began to fail: if the whole service has just become slow, the
        peers have given no good answers since then either.
        """
        since_ms = window.began_at_ms
        tallies = [
            peer.count_observations(since_ms, halls=scope)
            for peer in self._records.values()
            if peer is not record and peer.standing is not ServerStanding.EJECTED
        ]
        seen = [tally for tally in tallies if tally.count]
        if len(seen) < min(MIN_OBSERVED_PEERS, len(tallies)) or not seen:
            return False
        if sum(seen, Tally()).bad_share <= MAX_HEALTHY_PEER_BAD_SHARE:
            return True
        age_ms = now_ms - since_ms
        if age_ms > SERVICE_WIDE_FAILURE_GIVE_UP_MS:
            window.reset()
            return False
        return age_ms >= SERVICE_WIDE_FAILURE_WAIT_MS and is_better_half_healthy(seen)

    def _drop_faulty_reporters(self, window: Window, now_ms: int) -> None:
        since_ms = window.began_at_ms - FAULTY_REPORTER_LOOKBACK_MS
        for reporter in list(window.bad):
            if self._is_faulty_reporter(reporter, since_ms):
                for record in self._records.values():
                    for other in record.windows.values():
                        other.drop_reporter(reporter)

    def _is_faulty_reporter(self, reporter: EntryName, since_ms: int) -> bool:
        """Whether an entry sees failures of servers that the others find healthy."""
        own, others, failing_servers = Tally(), Tally(), 0
        for record in self._records.values():
            tally = record.count_observations(since_ms, reporter=reporter)
            own += tally
            if tally.bad:
                failing_servers += 1
                others += record.count_observations(
                    since_ms, without=frozenset({reporter})
                )
        return (
            failing_servers >= FAULTY_REPORTER_MIN_SERVERS
            and own.bad_share >= FAULTY_REPORTER_BAD_SHARE
            and others.good >= MIN_GOOD_FROM_OTHER_REPORTERS
            and others.bad_share < MAX_HEALTHY_PEER_BAD_SHARE
        )

    # Reference values for comparison.

    def _active_reporters(self, now_ms: int) -> list[Reporter]:
        oldest_ms = now_ms - REPORTER_ACTIVE_MS
        return [r for r in self._reporters.values() if r.received_at_ms >= oldest_ms]

    def _peer_failure_rate(self) -> float:
        """Lower quartile of the servers' recent failure rates."""
        rates = sorted(
            record.recent_outcomes.second
            / (record.recent_outcomes.first + record.recent_outcomes.second)
            for record in self._records.values()
            if record.recent_outcomes.first + record.recent_outcomes.second >= 1
        )
        return rates[len(rates) // 4] if rates else 0.0

    def _update_normal_time(self) -> None:
        means_ms = [
            record.time.first / record.time.second
            for record in self._records.values()
            if record.time.second >= MIN_TIME_COUNT
        ]
        if means_ms:
            self.normal_ms = statistics.median_low(means_ms)
