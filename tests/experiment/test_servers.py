import random
import unittest

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, DataHall, ServerName
from cinderway.experiment._declaration import BurstFailure, Bursts
from cinderway.experiment._servers import (
    GATEWAY_TIMEOUT,
    INTERNAL_SERVER_ERROR,
    OK,
    SERVICE_UNAVAILABLE,
    ModelServer,
)
from cinderway.experiment._virtual_time import run_in_virtual_time

from ._declared import service


class ModelServerTests(unittest.TestCase):
    def answers(self, requests, deadline_ms=10_000, **given):
        """Return the statuses of requests that come together, in order of arrival."""

        async def main():
            server = ModelServer(
                ServerName("i-1"),
                Address("i-1:80"),
                DataHall("suva"),
                service(**given),
                random.Random(1),
            )
            answers = [None] * requests

            async def ask(number):
                # Later requests have earlier deadlines.
                until_ms = monotonic_ms() + deadline_ms - number
                answers[number] = await server.answer(until_ms)

            async with anyio.create_task_group() as tasks:
                for number in range(requests):
                    tasks.start_soon(ask, number)
            self.assertEqual(server.running, 0)
            return [answer.status for answer in answers]

        return run_in_virtual_time(main)

    def test_it_runs_what_its_slots_and_queue_hold_and_sheds_the_rest(self):
        statuses = self.answers(6, slots=2, queue=3)
        self.assertEqual(statuses, [OK] * 5 + [SERVICE_UNAVAILABLE])

    def test_a_request_whose_time_passes_in_the_queue_is_not_run(self):
        statuses = self.answers(2, deadline_ms=100, slots=1, work_ms=5_000)
        self.assertEqual(statuses, [GATEWAY_TIMEOUT, SERVICE_UNAVAILABLE])

    def test_in_a_burst_requests_fail_at_once_or_hang(self):
        for failure, status in (
            (BurstFailure.ERROR, INTERNAL_SERVER_ERROR),
            (BurstFailure.HANG, GATEWAY_TIMEOUT),
        ):
            with self.subTest(failure):
                bursts = Bursts(
                    length_ms=999_000, every_ms=1_000_000, fail_share=1, failure=failure
                )
                self.assertEqual(self.answers(1, bursts=bursts), [status])

    def test_a_slot_of_a_caller_that_leaves_is_free_again(self):
        async def main():
            server = ModelServer(
                ServerName("i-1"),
                Address("i-1:80"),
                DataHall("suva"),
                service(slots=1, work_ms=5_000),
                random.Random(1),
            )
            for _ in range(3):
                with anyio.move_on_after(0.1):
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(server.answer, monotonic_ms() + 10_000)
                        tasks.start_soon(server.answer, monotonic_ms() + 10_000)
            return server.running

        self.assertEqual(run_in_virtual_time(main), 0)
