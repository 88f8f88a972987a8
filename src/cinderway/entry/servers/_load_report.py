"""Parses the load that a backend server reports in a header of each response."""

import re


def parse_load(text: bytes | None) -> float | None:
    """Return the share of slots in use, above 1 with a queue; None if invalid.

    Accepts "running/slots" and "running,waiting,slots".
    """
    numbers = re.split(rb"[,/]", text or b"")
    if len(numbers) not in (2, 3) or not all(part.isdigit() for part in numbers):
        return None
    *busy, slots = [int(part) for part in numbers]
    return sum(busy) / slots if slots else None
