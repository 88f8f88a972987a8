"""Run one daemon and count its timers and messages.

    python -m bench._counted FOLDER ROLE …

The daemon runs on the standard library's event loop because uvloop cannot be
instrumented. On SIGUSR1 it writes a file to FOLDER: expired timers by the function that
set them, and sent messages by type.
"""

import asyncio
import os
import signal
import sys
from collections import Counter
from pathlib import Path

import anyio
import msgspec

from cinderway import _launch
from cinderway._settings import environment_variable_of
from cinderway.wire import Conversation

PACKAGE = "/src/cinderway/"
UNKNOWN = "a library"


class Counts(msgspec.Struct):
    """Counters of one process since its start."""

    timers: dict[str, int] = {}
    messages: dict[str, int] = {}
    message_bytes: dict[str, int] = {}


timers: Counter[str] = Counter()
messages: Counter[str] = Counter()
message_bytes: Counter[str] = Counter()


class CountingLoop(asyncio.SelectorEventLoop):
    """An event loop that counts expired timers by the function that set them."""

    def call_at(self, when, callback, *args, context=None):
        """Set a timer that is counted when it expires."""
        name = _caller_name()

        def count_and_call():
            timers[name] += 1
            callback(*args)

        return super().call_at(when, count_and_call, context=context)


def _caller_name() -> str:
    """Return the name of the product's innermost function on the stack."""
    frame = sys._getframe()
    while frame is not None:
        if PACKAGE in frame.f_code.co_filename:
            return frame.f_code.co_qualname
        frame = frame.f_back
    return UNKNOWN


def _count_messages() -> None:
    encode = Conversation.encode

    def counted(self, message, call_id=0):
        frame = encode(self, message, call_id)
        name = type(message).__name__
        messages[name] += 1
        message_bytes[name] += len(frame)
        return frame

    Conversation.encode = counted


def main() -> None:
    """Run the daemon named on the command line."""
    folder, role, *arguments = sys.argv[1:]
    options = dict(zip(arguments[::2], arguments[1::2], strict=True))
    variable = environment_variable_of("settings_file")
    os.environ[variable] = options["--settings-file"]
    _count_messages()
    run = anyio.run

    def run_counted(function, *args, **_):
        return run(function, *args, backend_options={"loop_factory": CountingLoop})

    def write(*_) -> None:
        counts = Counts(dict(timers), dict(messages), dict(message_bytes))
        path = Path(folder) / f"{os.getpid()}.json"
        path.with_suffix(".new").write_bytes(msgspec.json.encode(counts))
        path.with_suffix(".new").rename(path)

    anyio.run = run_counted
    signal.signal(signal.SIGUSR1, write)
    sys.exit(_launch.main([role]))


if __name__ == "__main__":
    main()
