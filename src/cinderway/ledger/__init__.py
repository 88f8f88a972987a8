"""The durable record of run-once requests: which attempt may run, and its outcome."""

from cinderway.ledger._client import LedgerClient
from cinderway.ledger._conversation import (
    LEDGER,
    NO_ANSWER,
    Claim,
    ClaimAnswer,
    ClaimList,
    ClaimName,
    ClaimRecord,
    Finish,
    Header,
    ListClaims,
    Ruling,
    Settle,
    StoredAnswer,
)
from cinderway.ledger._daemon import found_ledger, run_ledger
from cinderway.ledger._machine import LedgerMachine, Resolution

__all__ = [
    "LEDGER",
    "NO_ANSWER",
    "Claim",
    "ClaimName",
    "Finish",
    "Header",
    "Settle",
    "ClaimAnswer",
    "ClaimList",
    "ClaimRecord",
    "LedgerClient",
    "LedgerMachine",
    "ListClaims",
    "Resolution",
    "Ruling",
    "StoredAnswer",
    "found_ledger",
    "run_ledger",
]
