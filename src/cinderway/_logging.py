"""Log lines on standard output, in human-readable form or as JSON.

Logging never blocks and is rate-limited, so that it cannot delay requests: lines are
dropped when the pipe is full or when there are too many in one second. The next line
that is written states how many were dropped before it.
"""

import json
import logging
import os
import sys
import time

HUMAN_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
# Ten times the peak rate of an entry in today's fleets.
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
    """Writes lines to a file descriptor without blocking, up to a rate limit.

    Lines at level WARNING and above have twice the limit.
    """

    def __init__(self, descriptor: int, lines_per_s: int = LINES_PER_S):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._window_start_s = 0
        self._lines_in_window = 0
        self._unsent = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record as a line, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._window_start_s:
            self._window_start_s, self._lines_in_window = second, 0
        self._lines_in_window += 1
        is_urgent = record.levelno >= logging.WARNING
        if self._lines_in_window > self._lines_per_s * (2 if is_urgent else 1):
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
        """Write a line; return False if it was dropped.

        If the previous line was written only partly, its remainder goes out first, so
        that lines are never mixed.
        """
        try:
            self._unsent = self._unsent[os.write(self._descriptor, self._unsent) :]
            if self._unsent:
                return False
            self._unsent = line[os.write(self._descriptor, line) :]
        except OSError:
            # The pipe is full or closed. The caller counts the line as dropped.
            return False
        return True


def configure_logging(line_format: str, level: str) -> None:
    """Write log lines to standard output, as JSON if `line_format` is "json"."""
    handler = BoundedHandler(sys.stdout.fileno())
    if line_format == "json":
        handler.setFormatter(_JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter(HUMAN_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("httpcore").setLevel(logging.WARNING)
    # uvicorn logs a traceback for each response that is aborted on purpose.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
