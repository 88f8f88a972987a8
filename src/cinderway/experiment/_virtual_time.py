"""An event loop in virtual time, which jumps from timer to timer without waiting.

It runs unmodified production code. The same random seeds give the same run.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from cinderway._clock import monotonic_source

NS_PER_S = 1_000_000_000
# Far from zero, so that a timestamp of 0 lies well in the past, as it does on a real
# machine.
START_TIME_S = 1_000.0


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances virtual time instead of waiting for I/O."""

    def __init__(self):
        super().__init__()
        self.now_s = START_TIME_S

    def select(self, timeout: float | None = None) -> list:
        """Advance virtual time to the next timer; no file is ever ready."""
        if timeout is None:
            raise RuntimeError(
                "deadlock: every task is waiting and no timer is scheduled"
            )
        self.now_s += max(timeout, 0.0)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now_s


def run_in_virtual_time(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run a coroutine function to completion in virtual time; return its result."""
    loops: list[_VirtualLoop] = []

    def make_loop() -> _VirtualLoop:
        loops.append(_VirtualLoop())
        return loops[-1]

    with monotonic_source(lambda: round(loops[-1].time() * NS_PER_S)):
        return anyio.run(main, *args, backend_options={"loop_factory": make_loop})


def call_later(delay_ms: float, call: Callable[..., None], *args: Any) -> None:
    """Call a function after a delay, such as the latency of a simulated message."""
    asyncio.get_running_loop().call_later(delay_ms / 1000, call, *args)
