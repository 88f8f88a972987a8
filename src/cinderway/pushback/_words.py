"""Read what an answer's head says of its server. Pure; anything may come in.

Source: RFC 9110, sections 10.2.3 (Retry-After) and 5.6.7 (dates). Fractions of a second
go beyond it, and backend servers send them.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429
# Longer ones are cut: a server that asks for an hour by mistake is found again within
# minutes, one that meant it is asked a few times too often.
REST_LIMIT_MS = 600_000
# Twelve digits and three after the point say more than any limit.
SECONDS = re.compile(rb"(\d{1,12})(\.\d{0,9})?|(\.\d{1,9})")
# A decimal number, with an exponent if need be.
RATE = re.compile(rb"(\d{1,12}(\.\d{0,9})?|\.\d{1,9})([eE][+-]?\d{1,2})?")
RETRY_AFTER = b"retry-after"
DATE = b"date"
NO = b"0"

Headers = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True)
class ServerWords:
    """What a server said of itself: `rest_ms` is None where it asked for no rest.

    `rate_limit_per_s` is how many requests a second it takes from all entries together,
    None where it names no such limit, or none that can be read; `names_limit` tells
    these apart.
    """

    rest_ms: int | None = None
    is_leaving: bool = False
    rate_limit_per_s: float | None = None
    names_limit: bool = False


NO_WORDS = ServerWords()


def words_of(
    status: int,
    headers: Headers,
    *,
    is_shed: bool,
    leaving_header: bytes,
    limit_header: bytes,
    wall_clock_ms: int,
) -> ServerWords:
    """Return what an answer's head says of its server.

    `is_shed` says that the server did not run the request. A 429 asks for rest only
    then: any other is about the caller. Of several waits the longest counts; one that
    cannot be read counts as none. Of several rate limits the lowest counts.
    """
    rest_ms, is_leaving, date_ms = None, False, wall_clock_ms
    waits: list[bytes] = []
    limits: list[bytes] = []
    for name, value in headers:
        lower = name.lower()
        if lower == RETRY_AFTER:
            waits.append(value)
        elif lower == DATE:
            # By the server's own clock, where it tells it: ours may differ.
            date_ms = _date_ms(value) or wall_clock_ms
        elif lower == leaving_header:
            is_leaving = value.strip() != NO
        elif lower == limit_header:
            limits.append(value)
    asks = status == UNAVAILABLE or (status == TOO_MANY_REQUESTS and is_shed)
    if asks:
        rest_ms = _longest_ms(waits, date_ms)
    if not (rest_ms or is_leaving or limits):
        return NO_WORDS
    return ServerWords(rest_ms, is_leaving, _lowest_per_s(limits), bool(limits))


def _longest_ms(waits: list[bytes], date_ms: int) -> int | None:
    found = [_wait_ms(text.strip(), date_ms) for text in waits]
    return min(max(found, default=0), REST_LIMIT_MS) or None


def _lowest_per_s(limits: list[bytes]) -> float | None:
    texts = [text.strip() for text in limits]
    return min((float(t) for t in texts if RATE.fullmatch(t)), default=None)


def _wait_ms(text: bytes, date_ms: int) -> int:
    """Return one wait, 0 where there is none to read."""
    if SECONDS.fullmatch(text):
        return round(float(text) * 1000)
    until_ms = _date_ms(text)
    return max(until_ms - date_ms, 0) if until_ms is not None else 0


def _date_ms(text: bytes) -> int | None:
    """Return a date as milliseconds since the epoch, or None."""
    try:
        found = parsedate_to_datetime(text.decode("ascii"))
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
    if found.tzinfo is None:
        found = found.replace(tzinfo=UTC)
    return round((found - datetime.fromtimestamp(0, UTC)).total_seconds() * 1000)
