"""An event loop whose time runs by itself: from timer to timer, without waiting.

What runs on it is the program's own code, unchanged. The same seeds give the same run.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from cinderway._clock import monotonic_source

NS_PER_S = 1_000_000_000
# Far from zero: moments before the start count as long ago, as on a real machine.
STARTS_AT_S = 1_000.0


class _Waitless(selectors.SelectSelector):
    """Waits for no file: where others would sleep, virtual time moves on."""

    def __init__(self):
        super().__init__()
        self.now_s = STARTS_AT_S

    def select(self, timeout: float | None = None) -> list:
        """Let the time pass that the loop has nothing to do in."""
        if timeout is None:
            raise RuntimeError("every task waits, and no timer is left to end that")
        self.now_s += max(timeout, 0.0)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._waitless = _Waitless()
        super().__init__(self._waitless)

    def time(self) -> float:
        return self._waitless.now_s


def run_in_virtual_time(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run a coroutine function to its end in virtual time; return its result."""
    loops: list[_VirtualLoop] = []

    def make_loop() -> _VirtualLoop:
        loops.append(_VirtualLoop())
        return loops[-1]

    with monotonic_source(lambda: round(loops[-1].time() * NS_PER_S)):
        return anyio.run(main, *args, backend_options={"loop_factory": make_loop})


def call_later(delay_ms: float, call: Callable[..., None], *args: Any) -> None:
    """Call a function after a delay, as a message that arrives."""
    asyncio.get_running_loop().call_later(delay_ms / 1000, call, *args)
