"""A failed request asks for a retry while its entry changes its control replica.

Guards against a caller that gets a server's 500 although another server is free: the
question was lost with the replica, or reached a replica whose budget was still empty.
"""

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import ServiceName
from cinderway.control._retry_pools import RetryPools
from cinderway.entry._blackboard import ServiceState
from cinderway.entry.fleet._shared_retries import RETRY_TIMEOUT_S
from cinderway.experiment._virtual_time import call_later
from cinderway.limits import RetryBudget
from cinderway.table import ServiceRow
from tests.entry.fleet.test_lost_replica import ControlCase

# Grants at most one retry in 25 ms to an entry that has just begun to follow.
RETRIES_PER_ENTRY = 400
DEADLINE_MS = 1_500


class RetryAtReplicaChangeTests(ControlCase):
    def setUp(self):
        super().setUp()
        budget = RetryBudget(0, initial=0)
        self.lookup = ServiceState(ServiceRow(name=ServiceName("lookup")), budget)

    def prepare(self):
        for replica in self.replicas:
            replica.service.hall.retry_pools = RetryPools(0, RETRIES_PER_ENTRY)

    def lose_replica(self):
        self.followed.has_power = False
        self.follower._connection.end()

    def lose_control(self):
        for replica in self.replicas:
            replica.has_power = False
        self.follower._standby._session.connection.end()
        self.follower._connection.end()

    async def consume(self, after_failure=True):
        """Return whether a retry is granted, and after how many milliseconds."""
        began_ms = monotonic_ms()
        is_granted = await self.follower.consume(
            self.lookup, until_ms=began_ms + DEADLINE_MS, after_failure=after_failure
        )
        return is_granted, monotonic_ms() - began_ms

    async def consume_before_loss(self):
        self.prepare()
        results = []

        async def record():
            results.append(await self.consume())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record)
            await anyio.sleep(0.001)
            self.lose_replica()
        return results[0]

    async def consume_on_broken_connection(self):
        """Ask over a connection whose end has not been received yet."""
        self.prepare()
        connection = self.follower._connection
        connection.is_closed = True
        call_later(50, connection.end)
        return await self.consume()

    async def consume_without_replica(self):
        self.prepare()
        self.lose_replica()
        await self.follower.wait_disconnected()
        return await self.consume()

    async def consume_at_silent_replica(self):
        """Ask a replica that has lost power, which its connection does not show."""
        self.prepare()
        self.followed.has_power = False
        return await self.consume()

    async def consume_after_change(self):
        self.prepare()
        self.lose_replica()
        await self.follower.wait_disconnected()
        while not self.follower.is_following:
            await anyio.sleep(0.001)
        return await self.consume()

    def test_a_question_lost_with_its_replica_is_asked_again(self):
        self.assertTrue(self.play(self.consume_before_loss)[0])

    def test_a_question_that_cannot_be_sent_is_put_to_the_next_replica(self):
        self.assertTrue(self.play(self.consume_on_broken_connection)[0])

    def test_a_failure_without_a_replica_waits_for_the_next_one(self):
        self.assertTrue(self.play(self.consume_without_replica)[0])

    def test_a_new_replicas_growing_budget_is_awaited(self):
        self.assertTrue(self.play(self.consume_after_change)[0])

    def test_a_question_that_a_silent_replica_got_is_put_to_the_next_one(self):
        # The time until the deadline, less what an answer usually takes.
        is_granted, waited_ms = self.play(self.consume_at_silent_replica)
        self.assertTrue(is_granted)
        self.assertLess(waited_ms, DEADLINE_MS)

    def test_a_failure_is_not_held_while_control_stays_away(self):
        async def consume_twice():
            self.lose_control()
            await self.follower.wait_disconnected()
            return await self.consume(), await self.consume()

        first, second = self.play(consume_twice)
        self.assertFalse(first[0] or second[0])
        self.assertLessEqual(first[1], 1000 * RETRY_TIMEOUT_S)
        self.assertEqual(second[1], 0)

    def test_a_hedge_is_not_held_without_a_replica(self):
        async def hedge():
            self.lose_control()
            await self.follower.wait_disconnected()
            return await self.consume(after_failure=False)

        self.assertEqual(self.play(hedge), (False, 0))
