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

# Several heartbeats, and longer than the own replica is given to tell of a change.
A_WHILE_S = 3.0


class StandbyTests(ControlCase):
    async def fetches_for_calm_changes(self):
        """Return how often changes were fetched that the own replica tells, too."""
        for version in range(2, 8):
            followed = self.followed
            # Whichever replica leads has a change before the others.
            self.replicas[version % 2].apply(10 * version, sheet(version))
            await anyio.sleep(COMMIT_DELAY_S)
            self.apply_everywhere(10 * version, sheet(version))
            await self.until_version(version)
            self.assertIs(self.followed, followed)
            await anyio.sleep(A_WHILE_S)
        return self.follower._standby.fetches

    def test_a_change_that_the_own_replica_tells_of_is_not_fetched_as_well(self):
        self.assertEqual(self.play(self.fetches_for_calm_changes), 0)
        self.assertEqual(self.play(self.fetches_for_calm_changes, BUSY_LEG_MS), 0)

    async def change_that_the_own_replica_does_not_tell_of(self):
        followed = self.followed
        for replica in self.replicas:
            if replica is not followed:
                replica.apply(10, sheet(2))
        await self.until_version(2)
        return self.version_in_force, self.followed is followed

    def test_a_change_is_fetched_where_the_own_replica_does_not_tell_of_it(self):
        found = self.play(self.change_that_the_own_replica_does_not_tell_of)
        self.assertEqual(found, (2, True))

    async def connections_for_a_loss(self):
        """Return the next replica's hall, and how many connections that took."""
        before = [replica.connections for replica in self.replicas]
        lost = self.followed
        lost.has_power = False
        while self.followed in (lost, None):
            await anyio.sleep(0.01)
        after = [replica.connections for replica in self.replicas]
        return self.followed.own.data_hall, sum(after) - sum(before)

    def test_the_replica_that_stands_by_is_followed_over_its_open_connection(self):
        data_hall, opened = self.play(self.connections_for_a_loss, BUSY_LEG_MS)
        self.assertEqual(data_hall, HALL)
        self.assertEqual(opened, 0)

    async def connections_to_the_next_replica(self):
        lost = self.followed
        lost.has_power = False
        while self.followed in (lost, None):
            await anyio.sleep(0.01)
        before = self.followed.connections
        await anyio.sleep(A_WHILE_S)
        return self.followed.connections - before

    def test_the_replica_that_is_followed_now_does_not_stand_by_as_well(self):
        self.assertEqual(self.play(self.connections_to_the_next_replica), 0)

    async def whether_a_silent_one_stands_by(self):
        for replica in self.replicas:
            replica.has_power = replica is self.followed
        # What was on its way when the power went counts from when it came.
        await anyio.sleep(KNOWLEDGE_AGE_LIMIT_MS / 1000 + 0.1)
        return self.follower._standby.is_current

    def test_a_standby_that_is_silent_is_not_turned_to(self):
        self.assertFalse(self.play(self.whether_a_silent_one_stands_by))

    async def replicas_known_after_an_announcement(self):
        hall = DataHall("labasa")
        late = AnnounceReplica(Address("10.0.0.9:7100"), hall, Address("unused:0"))
        self.apply_everywhere(10, late)
        await anyio.sleep(3 * A_WHILE_S)
        return {replica.address for replica in self.follower._choice.replicas}

    def test_a_replica_that_joins_later_becomes_known(self):
        known = self.play(self.replicas_known_after_an_announcement)
        self.assertIn("10.0.0.9:7100", known)

    async def whether_replicas_are_known_after_an_empty_list(self):
        for replica in self.replicas:
            replica.machine.replicas.clear()
        await anyio.sleep(3 * A_WHILE_S)
        return {replica.address for replica in self.follower._choice.replicas}

    def test_a_replica_that_knows_of_none_does_not_make_an_entry_forget_them(self):
        known = self.play(self.whether_replicas_are_known_after_an_empty_list)
        self.assertEqual(known, {HOME_1, HOME_2, AWAY})

    async def hall_followed_when_the_own_one_comes_back(self):
        for replica in self.replicas[:2]:
            replica.has_power = False
        while self.followed is None or self.followed.address != AWAY:
            await anyio.sleep(0.01)
        for replica in self.replicas[:2]:
            replica.has_power = True
        await anyio.sleep(6 * A_WHILE_S)
        return self.followed.own.data_hall

    def test_an_entry_returns_to_its_own_hall_once_a_replica_is_back_there(self):
        self.assertEqual(
            self.play(self.hall_followed_when_the_own_one_comes_back), HALL
        )


class StartOfTheFleetTests(ControlCase):
    """An entry follows a replica before that one has announced itself.

    Its hall was not known then, and loads are told within a hall only: it told none for
    as long as it followed that replica, and the others chose servers without them.
    """

    seeds = "10.0.0.1:80,10.0.0.2:80"
    are_announced = False

    async def loads_told_after_the_announcements(self):
        told = []

        async def send_loads(connection):
            told.append(connection.peer)

        self.follower._reports.send_loads = send_loads
        self.announce()
        await anyio.sleep(3 * A_WHILE_S)
        return told, self.followed.address

    def test_loads_are_told_once_the_replicas_hall_is_known(self):
        told, followed = self.play(self.loads_told_after_the_announcements)
        self.assertEqual(told[-1:], [followed])
