"""Parses pushback from response headers. Pure; accepts arbitrary input.

Source: RFC 9110, sections 10.2.3 (Retry-After) and 5.6.7 (dates). Fractions of a second
are not part of the RFC, but backend servers send them.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429
# Longer backoffs are capped. A server that asks for an hour by mistake gets requests
# again within minutes; one that meant it gets a few requests too many.
MAXIMUM_BACKOFF_MS = 600_000
# Twelve digits and three decimals are more than any limit needs.
SECONDS_PATTERN = re.compile(rb"(\d{1,12})(\.\d{0,9})?|(\.\d{1,9})")
# A decimal number with an optional exponent.
RATE_PATTERN = re.compile(rb"(\d{1,12}(\.\d{0,9})?|\.\d{1,9})([eE][+-]?\d{1,2})?")
RETRY_AFTER = b"retry-after"
DATE = b"date"
FALSE = b"0"

Headers = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True)
class PushbackHeaders:
    """Pushback in one response; `backoff_ms` is None if it requests no backoff.

    `rate_limit_per_s` is the rate that the server accepts from all entries together. It
    is None if there is no limit header or no valid value in it; `has_limit_header` is
    True only in the second case.
    """

    backoff_ms: int | None = None
    is_leaving: bool = False
    rate_limit_per_s: float | None = None
    has_limit_header: bool = False


NO_PUSHBACK = PushbackHeaders()


def parse_pushback_headers(
    status: int,
    headers: Headers,
    *,
    is_shed: bool,
    leaving_header: bytes,
    limit_header: bytes,
    wall_clock_ms: int,
) -> PushbackHeaders:
    """Parse the pushback in a response's status and headers.

    `is_shed` means that the server did not run the request. Only then does a 429
    request a backoff from the entry; any other 429 is addressed to the caller. The
    longest of several backoffs counts, and an invalid one counts as none. The lowest of
    several rate limits counts.
    """
    backoff_ms, is_leaving, date_ms = None, False, wall_clock_ms
    retry_after_values: list[bytes] = []
    limit_values: list[bytes] = []
    for name, value in headers:
        lower = name.lower()
        if lower == RETRY_AFTER:
            retry_after_values.append(value)
        elif lower == DATE:
            # Use the server's own clock if it sends a date, since ours may differ.
            date_ms = _parse_date_ms(value) or wall_clock_ms
        elif lower == leaving_header:
            is_leaving = value.strip() != FALSE
        elif lower == limit_header:
            limit_values.append(value)
    has_backoff = status == UNAVAILABLE or (status == TOO_MANY_REQUESTS and is_shed)
    if has_backoff:
        backoff_ms = _parse_backoff_ms(retry_after_values, date_ms)
    if not (backoff_ms or is_leaving or limit_values):
        return NO_PUSHBACK
    return PushbackHeaders(
        backoff_ms, is_leaving, _parse_rate_per_s(limit_values), bool(limit_values)
    )


def _parse_backoff_ms(retry_after_values: list[bytes], date_ms: int) -> int | None:
    parsed = [_parse_wait_ms(text.strip(), date_ms) for text in retry_after_values]
    return min(max(parsed, default=0), MAXIMUM_BACKOFF_MS) or None


def _parse_rate_per_s(limit_values: list[bytes]) -> float | None:
    texts = [text.strip() for text in limit_values]
    return min((float(t) for t in texts if RATE_PATTERN.fullmatch(t)), default=None)


def _parse_wait_ms(text: bytes, date_ms: int) -> int:
    """Parse one Retry-After value; return 0 if it is invalid."""
    if SECONDS_PATTERN.fullmatch(text):
        return round(float(text) * 1000)
    until_ms = _parse_date_ms(text)
    return max(until_ms - date_ms, 0) if until_ms is not None else 0


def _parse_date_ms(text: bytes) -> int | None:
    """Parse an HTTP date to milliseconds since the epoch; None if it is invalid."""
    try:
        parsed = parsedate_to_datetime(text.decode("ascii"))
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=UTC)
    return round((parsed - datetime.fromtimestamp(0, UTC)).total_seconds() * 1000)
