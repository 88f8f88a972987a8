"""The second control replica that an entry keeps a connection to."""

import anyio

from cinderway._ids import Address, DataHall
from cinderway.catalog import AnnounceReplica
from cinderway.entry.fleet._catalog_follower import KNOWLEDGE_AGE_LIMIT_MS
from tests.entry.fleet.test_lost_replica import (
    AWAY,
    BUSY_LEG_MS,
    COMMIT_DELAY_S,
    HALL,
    HOME_1,
    HOME_2,
    ControlCase,
    sheet,
)

# Several heartbeats, and longer than the delay before the standby's change is fetched.
A_WHILE_S = 3.0


class StandbyTests(ControlCase):
    async def count_needless_fetches(self):
        """Return how often changes were fetched that the followed replica sends."""
        for version in range(2, 8):
            followed = self.followed
            # The leader has a change before the other replicas.
            self.replicas[version % 2].apply(10 * version, sheet(version))
            await anyio.sleep(COMMIT_DELAY_S)
            self.apply_everywhere(10 * version, sheet(version))
            await self.until_version(version)
            self.assertIs(self.followed, followed)
            await anyio.sleep(A_WHILE_S)
        return self.follower._standby.fetches

    def test_a_change_that_the_followed_replica_sends_is_not_fetched_too(self):
        self.assertEqual(self.play(self.count_needless_fetches), 0)
        self.assertEqual(self.play(self.count_needless_fetches, BUSY_LEG_MS), 0)

    async def apply_change_unknown_to_followed(self):
        followed = self.followed
        for replica in self.replicas:
            if replica is not followed:
                replica.apply(10, sheet(2))
        await self.until_version(2)
        return self.version_in_force, self.followed is followed

    def test_a_change_that_the_followed_replica_does_not_send_is_fetched(self):
        found = self.play(self.apply_change_unknown_to_followed)
        self.assertEqual(found, (2, True))

    async def count_connections_after_loss(self):
        """Return the hall of the next replica and how many connections were opened."""
        before = [replica.connections for replica in self.replicas]
        lost = self.followed
        lost.has_power = False
        while self.followed in (lost, None):
            await anyio.sleep(0.01)
        after = [replica.connections for replica in self.replicas]
        return self.followed.own.data_hall, sum(after) - sum(before)

    def test_the_standby_is_followed_over_its_open_connection(self):
        data_hall, opened = self.play(self.count_connections_after_loss, BUSY_LEG_MS)
        self.assertEqual(data_hall, HALL)
        self.assertEqual(opened, 0)

    async def count_connections_to_next_replica(self):
        lost = self.followed
        lost.has_power = False
        while self.followed in (lost, None):
            await anyio.sleep(0.01)
        before = self.followed.connections
        await anyio.sleep(A_WHILE_S)
        return self.followed.connections - before

    def test_the_followed_replica_is_not_the_standby_too(self):
        self.assertEqual(self.play(self.count_connections_to_next_replica), 0)

    async def is_silent_standby_current(self):
        for replica in self.replicas:
            replica.has_power = replica is self.followed
        # A message in flight when power was lost counts from its arrival.
        await anyio.sleep(KNOWLEDGE_AGE_LIMIT_MS / 1000 + 0.1)
        return self.follower._standby.is_current

    def test_a_silent_standby_is_not_current(self):
        self.assertFalse(self.play(self.is_silent_standby_current))

    async def find_known_after_announcement(self):
        hall = DataHall("labasa")
        late = AnnounceReplica(Address("10.0.0.9:7100"), hall, Address("unused:0"))
        self.apply_everywhere(10, late)
        await anyio.sleep(3 * A_WHILE_S)
        return {replica.address for replica in self.follower._choice.replicas}

    def test_a_replica_that_joins_later_becomes_known(self):
        known = self.play(self.find_known_after_announcement)
        self.assertIn("10.0.0.9:7100", known)

    async def find_known_after_empty_list(self):
        for replica in self.replicas:
            replica.machine.replicas.clear()
        await anyio.sleep(3 * A_WHILE_S)
        return {replica.address for replica in self.follower._choice.replicas}

    def test_an_empty_replica_list_is_ignored(self):
        known = self.play(self.find_known_after_empty_list)
        self.assertEqual(known, {HOME_1, HOME_2, AWAY})

    async def find_hall_after_recovery(self):
        for replica in self.replicas[:2]:
            replica.has_power = False
        while self.followed is None or self.followed.address != AWAY:
            await anyio.sleep(0.01)
        for replica in self.replicas[:2]:
            replica.has_power = True
        await anyio.sleep(6 * A_WHILE_S)
        return self.followed.own.data_hall

    def test_an_entry_returns_to_its_own_hall_once_a_replica_is_back(self):
        self.assertEqual(self.play(self.find_hall_after_recovery), HALL)


class StartOfTheFleetTests(ControlCase):
    """An entry follows a replica before that replica has announced itself.

    The replica's data hall is then unknown, and loads are sent only within a data hall.
    Guards against an entry that sends no loads for as long as it follows that replica,
    so that the other entries choose servers without them.
    """

    seeds = "10.0.0.1:80,10.0.0.2:80"
    are_announced = False

    async def record_load_reports(self):
        load_receivers = []

        async def send_loads(connection):
            load_receivers.append(connection.peer)

        self.follower._reports.send_loads = send_loads
        self.announce()
        await anyio.sleep(3 * A_WHILE_S)
        return load_receivers, self.followed.address

    def test_loads_are_sent_once_the_replicas_hall_is_known(self):
        load_receivers, followed = self.play(self.record_load_reports)
        self.assertEqual(load_receivers[-1:], [followed])
