"""The preference of failure detection, apart from the table for a fast start."""

from enum import Enum


class Bias(Enum):
    """Which error failure detection should prefer: false alarms or late detection."""

    DETECT_SOON = "detect-soon"
    BALANCED = "balanced"
    EJECT_RARELY = "eject-rarely"
