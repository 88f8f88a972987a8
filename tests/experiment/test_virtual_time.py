import time
import unittest

import anyio

from cinderway._clock import monotonic_ms
from cinderway.experiment._virtual_time import call_later, run_in_virtual_time


class VirtualTimeTests(unittest.TestCase):
    def test_hours_pass_without_waiting_and_all_clocks_agree(self):
        async def main():
            began_ms = monotonic_ms()
            await anyio.sleep(7_200)
            return monotonic_ms() - began_ms

        self.assertEqual(run_in_virtual_time(main), 7_200_000)

    def test_timers_end_in_the_order_of_their_times(self):
        async def main():
            seen = []
            for delay_ms in (30, 10, 20):
                call_later(delay_ms, seen.append, delay_ms)
            with anyio.move_on_after(0.025):
                await anyio.sleep_forever()
            return seen

        self.assertEqual(run_in_virtual_time(main), [10, 20])

    def test_a_deadlock_raises_an_error(self):
        async def main():
            await anyio.Event().wait()

        with self.assertRaises(RuntimeError):
            run_in_virtual_time(main)

    def test_real_time_is_restored_afterwards(self):
        async def main():
            await anyio.sleep(1_000_000)

        run_in_virtual_time(main)
        self.assertLess(abs(monotonic_ms() - time.monotonic_ns() // 1_000_000), 60_000)
