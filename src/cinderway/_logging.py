"""Log lines, for people or as JSON, on standard output.

Writing never blocks and is bounded: a full pipe or too many lines in a second lose
lines, not requests. Lost lines are counted, and the next line that gets through says
how many there were.
"""

import json
import logging
import os
import sys
import time

HUMAN_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
# Ten times what an entry of today's fleets writes at its peak.
LINES_PER_S = 200


class _JsonFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        line = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line)


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int, lines_per_s: int = LINES_PER_S):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._window_s = 0
        self._lines = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._window_s:
            self._window_s, self._lines = second, 0
        self._lines += 1
        is_urgent = record.levelno >= logging.WARNING
        if self._lines > self._lines_per_s * (2 if is_urgent else 1):
            self.dropped += 1
            return
        line = self.format(record)
        if self.dropped:
            line = f"{line} ({self.dropped} lines were dropped before)"
        if self._write(line.encode() + b"\n"):
            self.dropped = 0
        else:
            self.dropped += 1

    def _write(self, line: bytes) -> bool:
        """Write a line; whole lines only, so what was cut goes out first."""
        try:
            self._rest = self._rest[os.write(self._descriptor, self._rest) :]
            if self._rest:
                return False
            self._rest = line[os.write(self._descriptor, line) :]
        except OSError:
            # The reader is slow or gone: the line is dropped, and counted.
            return False
        return True


def configure_logging(form: str, level: str) -> None:
    """Send log lines to standard output in the given form."""
    handler = BoundedHandler(sys.stdout.fileno())
    if form == "json":
        handler.setFormatter(_JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter(HUMAN_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("httpcore").setLevel(logging.WARNING)
    # It would log each answer that is broken off on purpose with a traceback.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
