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
    ServerStanding,
    ServerVerdict,
    ServiceNormal,
    VerdictSheet,
    build_evidence,
)
from cinderway.judgement._evidence import (
    PIECE_BYTES,
    Attempt,
    EvidenceLog,
    FailureKind,
    Pace,
    ServerCounts,
)
from cinderway.judgement._floor import (
    Capacity,
    compute_floor_slots,
    permitted_ejections,
)
from cinderway.judgement._merge import (
    HeldSheet,
    MergedVerdict,
    median_norms,
    merge_sheets,
)
from cinderway.judgement._server_record import ServerRecord, is_withdrawn
from cinderway.judgement._service_judge import DRAIN_SIGNAL_TTL_MS, ServiceJudge
from cinderway.judgement._suspicion import (
    IN_FLIGHT_MS,
    SUSPICION_MS,
    Suspicions,
    suspicion_left,
)

__all__ = [
    "DRAIN_SIGNAL_TTL_MS",
    "SUSPICION_MS",
    "GROUP_COUNT",
    "JUDGEMENT",
    "PIECE_BYTES",
    "MergedVerdict",
    "Assessor",
    "Attempt",
    "FailureKind",
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
    "ServerStanding",
    "Suspicions",
    "IN_FLIGHT_MS",
    "VerdictSheet",
    "assessors_of",
    "build_evidence",
    "compute_floor_slots",
    "group_of",
    "is_withdrawn",
    "merge_sheets",
    "permitted_ejections",
    "median_norms",
    "suspicion_left",
    "verdict_quorum",
]
