"""Merging of the assessors' sheets into the verdicts that one entry acts on.

The functions do no I/O; the time is passed in.
"""

from collections.abc import Collection
from dataclasses import dataclass

from cinderway._ids import DataHall, ServerName, ServiceName
from cinderway.judgement._conversation import (
    ServerStanding,
    ServerVerdict,
    ServiceNormal,
    VerdictSheet,
)
from cinderway.judgement._server_record import is_withdrawn


@dataclass(frozen=True)
class HeldSheet:
    """A sheet and the send time, by this entry's clock, of the report that it answers.

    The lease of a verdict starts at that time, so a network delay can never prolong it:
    the assessor sent the sheet after that report. It may have made a verdict even
    before the report.
    """

    sheet: VerdictSheet
    report_sent_at_ms: int


@dataclass(frozen=True)
class MergedVerdict:
    """The merged verdict of a quorum of assessors on a server."""

    is_ejected: bool
    share: float
    score: float
    probes_per_s: float
    reason: str
    is_draining: bool


def merge_sheets(
    sheets: Collection[HeldSheet],
    own_hall: DataHall,
    quorum: int,
    now_ms: int,
) -> dict[tuple[ServiceName, ServerName], MergedVerdict]:
    """Return the merged verdict on each server that has a valid one.

    A server is ejected only while at least `quorum` assessors have ejected it and their
    leases have not expired. Its share is the quorum-th lowest of the assessors' shares.
    """
    verdicts_by_server: dict[tuple[ServiceName, ServerName], list[ServerVerdict]] = {}
    for held in sheets:
        for verdict in held.sheet.servers:
            is_valid = now_ms < held.report_sent_at_ms + verdict.lease_ms
            if is_valid and (not verdict.halls or own_hall in verdict.halls):
                verdicts_by_server.setdefault(
                    (verdict.service, verdict.server), []
                ).append(verdict)
    return {
        key: _merge_verdicts(verdicts, quorum)
        for key, verdicts in verdicts_by_server.items()
    }


def median_norms(sheets: Collection[HeldSheet]) -> dict[ServiceName, ServiceNormal]:
    """Return for each service the report with the median of the normal answer times."""
    norms_by_service: dict[ServiceName, list[ServiceNormal]] = {}
    for held in sheets:
        for service in held.sheet.services:
            norms_by_service.setdefault(service.service, []).append(service)
    return {
        name: sorted(norms, key=lambda norm: norm.normal_ms)[len(norms) // 2]
        for name, norms in norms_by_service.items()
    }


def _merge_verdicts(verdicts: list[ServerVerdict], quorum: int) -> MergedVerdict:
    votes = sum(is_withdrawn(verdict.standing) for verdict in verdicts)
    is_ejected = votes >= quorum
    shares = sorted(
        verdict.share
        for verdict in verdicts
        if verdict.standing in (ServerStanding.TRIAL, ServerStanding.RECOVERING)
        or is_withdrawn(verdict.standing)
    )
    share = 1.0
    if not is_ejected and len(shares) >= quorum:
        share = shares[quorum - 1]
    worst = max(verdicts, key=lambda verdict: verdict.score)
    probes = sorted((verdict.probes_per_s for verdict in verdicts), reverse=True)
    # The highest requested probe rate is used, not the sum: one probe serves all
    # assessors. Draining needs no second assessor, since the server itself reports it.
    is_draining = any(verdict.is_draining for verdict in verdicts)
    return MergedVerdict(
        is_ejected, share, worst.score, probes[0], worst.reason, is_draining
    )
