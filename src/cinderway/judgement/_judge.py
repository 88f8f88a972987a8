"""Judge the backend servers of one service from all entries' observations.

Pure: reports, table rows and time come in, standings come out. It must tell apart

    one sick server                 its window crosses while its peers do well
    a server cut off from a hall    the entries of another hall see it well
    a sick entry                    sees servers fail that all others see well
    a service in trouble as a whole the peers do badly too: nobody is ejected
    a flapping server               each ejection lasts twice as long as the last
    a server that starts cold       RECOVERING, with a growing share
"""

import statistics
from collections.abc import Collection
from dataclasses import dataclass

from cinderway._ids import DataHall, EntryName, ServerName
from cinderway.judgement._comparison import better_half_is_well, contradicts
from cinderway.judgement._conversation import ServerEvidence, Standing
from cinderway.judgement._record import Observed, ServerRecord, Tally, is_out
from cinderway.judgement._sequential import (
    THRESHOLDS,
    Window,
    reporter_cap,
    weights_for,
)
from cinderway.table import ServiceRow

REPORTER_ACTIVE_MS = 3_000
# A server that was restarted at its address is not taken for leaving any longer.
DRAIN_VALID_MS = 60_000
# Peers that fail more often than this are in trouble themselves.
PEERS_WELL_RATE = 0.2
PEERS_TO_SEE = 3
# With peers in trouble too, a crossing must last this long to count, and is dropped
# after the second time.
WIDE_TROUBLE_WAIT_MS = 1_500
WIDE_TROUBLE_GIVE_UP_MS = 5_000
# A hall that is cut off from a server sees nearly everything fail there.
CUT_RATE = 0.75
OTHERS_NEEDED = 3
OTHERS_WAIT_MS = 1_000
OTHERS_GOOD = 3
SICK_REPORTER_RATE = 0.5
SICK_REPORTER_SERVERS = 2
SICK_LOOKBACK_MS = 1_000

PROBE_AT_SHARE = 0.25
SUSPECT_PROBES_PER_S = 40.0
RETURN_PROBES_PER_S = 10.0
PROBES_TO_TRIAL = 3
GOOD_TO_RECOVER = 5
TRIAL_LIMIT_MS = 10_000
TRIAL_SHARE = 0.1
RELAPSE_THRESHOLD_SHARE = 0.6
# Where one hall has condemned a server, another needs this share of the evidence.
WIDEN_THRESHOLD_SHARE = 0.5
WIDEN_REPORTERS = 2
MIN_TIME_COUNT = 3
# Times of single requests scatter by half of their mean or more: the mean of four is
# twice the usual one by chance only once in some hundred.
SLOW_PACE_COUNT = 4
SLOW_PACE_FACTOR = 2.0
# Of its weight, for a server that takes twice the usual time, and four times.
SLOW_SHARE = 0.5
VERY_SLOW_SHARE = 0.25
CALLERS_FOR_A_PROBE = 4


@dataclass
class Reporter:
    """An entry that reports, and when it did last."""

    hall: DataHall
    heard_at_ms: int


class ServiceJudge:
    """Judgement of one service."""

    def __init__(self, reporters: dict[EntryName, Reporter] | None = None):
        self._records: dict[ServerName, ServerRecord] = {}
        # Shared by all services of a group: a report is heard once for all of them.
        self._reporters = {} if reporters is None else reporters
        self.normal_ms = 0.0

    def records(self) -> list[ServerRecord]:
        """All servers by name."""
        return sorted(self._records.values(), key=lambda record: record.name)

    def hear(self, reporter: EntryName, hall: DataHall, now_ms: int) -> None:
        """Note that a reporter is there, whether or not it has seen anything."""
        self._reporters[reporter] = Reporter(hall, now_ms)

    def observe(
        self,
        reporter: EntryName,
        hall: DataHall,
        evidence: ServerEvidence,
        service: ServiceRow,
        now_ms: int,
    ) -> None:
        """Take one reporter's observations of one server."""
        record = self._records.get(evidence.server)
        if record is None:
            record = self._records[evidence.server] = ServerRecord(evidence.server)
        if evidence.is_draining:
            record.draining_until_ms = now_ms + DRAIN_VALID_MS
        good, bad = evidence.good, evidence.bad
        record.note(Observed(now_ms, reporter, hall, good, bad))
        record.callers.add(max(good + bad - evidence.probes, 0), 0, now_ms)
        record.time.add(evidence.time_sum_ms, evidence.time_count, now_ms)
        record.pace.add(evidence.time_sum_ms, evidence.time_count, now_ms)
        if bad:
            record.reason = evidence.main_reason().value
        if is_out(record.standing) and (not record.halls or hall in record.halls):
            return
        weights = weights_for(self._peer_rate())
        active_count = len(self._active_reporters(now_ms))
        cap = reporter_cap(THRESHOLDS[service.bias], active_count)
        for key in (None, hall):
            record.window(key).add(reporter, good, bad, weights, cap, now_ms)

    def decide(
        self, service: ServiceRow, known: Collection[ServerName], now_ms: int
    ) -> None:
        """Bring every standing up to date; servers not in the table are dropped."""
        for gone in self._records.keys() - set(known):
            del self._records[gone]
        self._update_normal()
        for record in self._records.values():
            self._decide_one(record, service, now_ms)

    def probes_per_s(self, record: ServerRecord, service: ServiceRow) -> float:
        """How often the fleet should try a server out with work of its own."""
        if not service.probe_path:
            return 0.0
        threshold = THRESHOLDS[service.bias]
        is_suspect = record.suspicion >= threshold * PROBE_AT_SHARE
        if record.standing is Standing.EJECTED and not (record.halls and is_suspect):
            return 0.0
        if record.standing in (Standing.PROBING, Standing.TRIAL):
            return RETURN_PROBES_PER_S
        return SUSPECT_PROBES_PER_S if is_suspect else 0.0

    def background_probes_per_s(self, service: ServiceRow, now_ms: int) -> float:
        """How often each server is to be probed although nothing speaks against it.

        Callers' requests come at random, probes at regular intervals, so one probe
        shortens the longest gap as much as several callers' requests do.
        """
        if not service.probe_path:
            return 0.0
        rates = [record.callers_per_s(now_ms) for record in self._records.values()]
        seen_per_s = statistics.mean(rates) if rates else 0.0
        return max(service.probes_per_s - seen_per_s / CALLERS_FOR_A_PROBE, 0.0)

    def share(self, record: ServerRecord, service: ServiceRow, now_ms: int) -> float:
        """The share of its weight that a server should get."""
        match record.standing:
            case Standing.HEALTHY:
                return 1.0
            case Standing.TRIAL:
                return TRIAL_SHARE
            case Standing.RECOVERING:
                elapsed_ms = now_ms - record.standing_since_ms
                ramp = elapsed_ms / max(service.slow_start_ms, 1)
                return min(max(ramp, TRIAL_SHARE), 1.0)
            case _:
                return 0.0

    def pace_share(self, record: ServerRecord, now_ms: int) -> float:
        """The share of its weight for a server that is well but slow at the moment.

        Work that takes a server twice as long fills its slots twice as much. In two
        steps, so that entries are told anew only when it matters.
        """
        record.pace.add(0, 0, now_ms)
        if record.pace.second < SLOW_PACE_COUNT or not self.normal_ms:
            return 1.0
        factor = record.pace.first / record.pace.second / self.normal_ms
        if factor < SLOW_PACE_FACTOR:
            return 1.0
        is_very_slow = factor >= SLOW_PACE_FACTOR**2
        return VERY_SLOW_SHARE if is_very_slow else SLOW_SHARE

    # Standings.

    def _decide_one(
        self, record: ServerRecord, service: ServiceRow, now_ms: int
    ) -> None:
        if record.halls and record.standing is not Standing.HEALTHY:
            self._widen(record, service, now_ms)
        match record.standing:
            case Standing.EJECTED if now_ms >= record.until_ms:
                standing = Standing.PROBING if service.probe_path else Standing.TRIAL
                record.move_to(standing, now_ms)
            case Standing.PROBING if record.bad_since:
                record.eject(record.halls, record.score, now_ms)
            case Standing.PROBING if record.good_since >= PROBES_TO_TRIAL:
                record.move_to(Standing.TRIAL, now_ms)
            case Standing.TRIAL:
                self._decide_trial(record, service, now_ms)
            case Standing.RECOVERING:
                if now_ms - record.standing_since_ms >= service.slow_start_ms:
                    record.move_to(Standing.HEALTHY, now_ms)
                    record.well_since_ms = now_ms
                else:
                    self._eject_if_failing(record, service, now_ms)
            case Standing.HEALTHY:
                self._eject_if_failing(record, service, now_ms)

    def _decide_trial(
        self, record: ServerRecord, service: ServiceRow, now_ms: int
    ) -> None:
        if record.bad_since > max(1, record.good_since // GOOD_TO_RECOVER):
            record.eject(record.halls, record.score, now_ms)
            return
        is_over = now_ms - record.standing_since_ms >= TRIAL_LIMIT_MS
        if record.good_since >= GOOD_TO_RECOVER or is_over:
            record.move_to(Standing.RECOVERING, now_ms)

    def _eject_if_failing(
        self, record: ServerRecord, service: ServiceRow, now_ms: int
    ) -> None:
        threshold = THRESHOLDS[service.bias]
        if record.standing is Standing.RECOVERING:
            threshold *= RELAPSE_THRESHOLD_SHARE
        for hall, window in list(record.windows.items()):
            if window.score < threshold:
                continue
            self._drop_sick_reporters(window, now_ms)
            if window.score < threshold:
                continue
            scope = self._scope(record, hall, window.began_at_ms, now_ms)
            if scope is not None and self._peers_do_well(record, scope, window, now_ms):
                record.eject(scope, window.score, now_ms)
                return

    def _widen(self, record: ServerRecord, service: ServiceRow, now_ms: int) -> None:
        """Eject for a further hall too, once its own entries see the server fail."""
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
        # The reporters' cap is for the whole threshold: here two must be asked for.
        if window.score < threshold or len(window.bad) < WIDEN_REPORTERS:
            return False
        self._drop_sick_reporters(window, now_ms)
        if window.score < threshold or len(window.bad) < WIDEN_REPORTERS:
            return False
        return self._peers_do_well(record, frozenset({hall}), window, now_ms)

    # Telling failures apart.

    def _scope(
        self, record: ServerRecord, hall: DataHall | None, since_ms: int, now_ms: int
    ) -> frozenset[DataHall] | None:
        """The halls to eject for (none listed: all), or None to wait or do nothing.

        Compared are the hall that sees it fail most and all others together. While
        the others have hardly seen it yet, it is waited for them a little: they are
        asked to probe a suspect.
        """
        tallies = {
            seen: record.tally(since_ms, halls=frozenset({seen}))
            for seen in sorted(record.halls_seen(since_ms))
        }
        failing = max(tallies, key=lambda seen: tallies[seen].bad)
        if tallies[failing].bad_share < CUT_RATE:
            return frozenset()
        others = sum((tallies[seen] for seen in tallies if seen != failing), Tally())
        if others.count < OTHERS_NEEDED and now_ms - since_ms < OTHERS_WAIT_MS:
            return None if self._has_other_halls(failing, now_ms) else frozenset()
        if not contradicts(others, tallies[failing]):
            return frozenset()
        cut_off = {seen for seen in tallies if tallies[seen].bad_share >= CUT_RATE}
        return frozenset(cut_off) if hall is None or hall in cut_off else None

    def _has_other_halls(self, hall: DataHall, now_ms: int) -> bool:
        return any(r.hall != hall for r in self._active_reporters(now_ms))

    def _peers_do_well(
        self,
        record: ServerRecord,
        scope: frozenset[DataHall],
        window: Window,
        now_ms: int,
    ) -> bool:
        """Whether the failure is this server's own and not the whole service's.

        Compared is what the same entries saw of the other servers since this one
        began to fail: a service that has just become slow has given its peers no
        good answers since then either.
        """
        since_ms = window.began_at_ms
        tallies = [
            peer.tally(since_ms, halls=scope)
            for peer in self._records.values()
            if peer is not record and peer.standing is not Standing.EJECTED
        ]
        seen = [tally for tally in tallies if tally.count]
        if len(seen) < min(PEERS_TO_SEE, len(tallies)) or not seen:
            return False
        if sum(seen, Tally()).bad_share <= PEERS_WELL_RATE:
            return True
        age_ms = now_ms - since_ms
        if age_ms > WIDE_TROUBLE_GIVE_UP_MS:
            window.reset()
            return False
        return age_ms >= WIDE_TROUBLE_WAIT_MS and better_half_is_well(seen)

    def _drop_sick_reporters(self, window: Window, now_ms: int) -> None:
        since_ms = window.began_at_ms - SICK_LOOKBACK_MS
        for reporter in list(window.bad):
            if self._is_sick(reporter, since_ms):
                for record in self._records.values():
                    for other in record.windows.values():
                        other.drop_reporter(reporter)

    def _is_sick(self, reporter: EntryName, since_ms: int) -> bool:
        """Whether an entry sees servers fail that all others see well."""
        own, others, failing_servers = Tally(), Tally(), 0
        for record in self._records.values():
            tally = record.tally(since_ms, reporter=reporter)
            own += tally
            if tally.bad:
                failing_servers += 1
                others += record.tally(since_ms, without=frozenset({reporter}))
        return (
            failing_servers >= SICK_REPORTER_SERVERS
            and own.bad_share >= SICK_REPORTER_RATE
            and others.good >= OTHERS_GOOD
            and others.bad_share < PEERS_WELL_RATE
        )

    # References.

    def _active_reporters(self, now_ms: int) -> list[Reporter]:
        oldest_ms = now_ms - REPORTER_ACTIVE_MS
        return [r for r in self._reporters.values() if r.heard_at_ms >= oldest_ms]

    def _peer_rate(self) -> float:
        """The lower quartile of the servers' recent failure rates."""
        rates = sorted(
            record.rate.second / (record.rate.first + record.rate.second)
            for record in self._records.values()
            if record.rate.first + record.rate.second >= 1
        )
        return rates[len(rates) // 4] if rates else 0.0

    def _update_normal(self) -> None:
        means_ms = [
            record.time.first / record.time.second
            for record in self._records.values()
            if record.time.second >= MIN_TIME_COUNT
        ]
        if means_ms:
            self.normal_ms = statistics.median_low(means_ms)
