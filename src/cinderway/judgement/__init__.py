"""Detection and ejection of failing backend servers from all entries' evidence."""

from cinderway.judgement._assessor import Assessor, GroupView, ReporterState
from cinderway.judgement._assignment import (
    GROUP_COUNT,
    assessors_of,
    group_of,
    verdict_quorum,
)
from cinderway.judgement._conversation import (
    JUDGEMENT,
    EvidenceReport,
    ServerEvidence,
    ServerVerdict,
    ServiceNormal,
    Standing,
    VerdictSheet,
    evidence_from,
)
from cinderway.judgement._evidence import (
    PIECE_BYTES,
    Attempt,
    Bad,
    EvidenceLog,
    Pace,
    ServerCounts,
)
from cinderway.judgement._floor import Capacity, floor_slots_of, permitted_ejections
from cinderway.judgement._judge import DRAIN_VALID_MS, ServiceJudge
from cinderway.judgement._merge import Agreed, HeldSheet, merge_sheets, service_norms
from cinderway.judgement._record import ServerRecord, is_out
from cinderway.judgement._suspicion import (
    FADES_MS,
    UNDER_WAY_MS,
    Suspicions,
    suspicion_left,
)

__all__ = [
    "DRAIN_VALID_MS",
    "FADES_MS",
    "GROUP_COUNT",
    "JUDGEMENT",
    "PIECE_BYTES",
    "Agreed",
    "Assessor",
    "Attempt",
    "Bad",
    "Capacity",
    "EvidenceLog",
    "EvidenceReport",
    "GroupView",
    "HeldSheet",
    "Pace",
    "ReporterState",
    "ServerCounts",
    "ServerEvidence",
    "ServerRecord",
    "ServerVerdict",
    "ServiceJudge",
    "ServiceNormal",
    "Standing",
    "Suspicions",
    "UNDER_WAY_MS",
    "VerdictSheet",
    "assessors_of",
    "evidence_from",
    "floor_slots_of",
    "group_of",
    "is_out",
    "merge_sheets",
    "permitted_ejections",
    "service_norms",
    "suspicion_left",
    "verdict_quorum",
]
