import unittest

from cinderway._ids import Address, DataHall, EntryName
from cinderway.catalog import ReplicaAddress
from cinderway.entry.fleet._replica_choice import (
    AVOID_MS,
    LEADERLESS_AVOID_MS,
    ReplicaChoice,
)

SUVA, NADI = DataHall("suva"), DataHall("nadi")
HOME = [Address(f"10.0.0.{n}:7100") for n in (1, 2)]
AWAY = [Address(f"10.1.0.{n}:7100") for n in (1, 2)]
REPLICAS = [ReplicaAddress(address, SUVA) for address in HOME]
REPLICAS += [ReplicaAddress(address, NADI) for address in AWAY]


def choice(entry="e1", replicas=REPLICAS):
    seeds = (Address("10.0.0.1:80"), Address("10.1.0.1:80"))
    return ReplicaChoice(EntryName(entry), SUVA, 7100, seeds, list(replicas))


class ReplicaChoiceTests(unittest.TestCase):
    def test_while_no_replica_is_known_the_seeds_hosts_are_tried(self):
        found = choice(replicas=[]).candidates(0)
        self.assertEqual(set(found), {HOME[0], AWAY[0]})

    def test_replicas_of_the_own_hall_come_first(self):
        found = choice().candidates(0)
        self.assertEqual(set(found[:2]), set(HOME))
        self.assertEqual(set(found[2:]), set(AWAY))

    def test_all_entries_of_a_hall_choose_the_same_replica_of_it(self):
        first = {choice(f"e{n}").candidates(0)[0] for n in range(20)}
        self.assertEqual(len(first), 1)

    def test_entries_without_a_replica_of_their_hall_spread(self):
        away = REPLICAS[2:]
        first = {choice(f"e{n}", away).candidates(0)[0] for n in range(20)}
        self.assertGreater(len(first), 1)

    def test_a_replica_that_failed_comes_last_for_a_while(self):
        chooser = choice()
        before = chooser.candidates(0)
        chooser.avoid(before[0], 0)
        self.assertEqual(chooser.candidates(AVOID_MS - 1)[-1], before[0])
        self.assertEqual(chooser.candidates(AVOID_MS), before)

    def test_a_replica_of_the_own_hall_is_preferred_unless_it_failed_recently(self):
        chooser = choice()
        self.assertFalse(chooser.has_home_alternative(HOME[0], 0))
        self.assertTrue(chooser.has_home_alternative(AWAY[0], 0))
        for address in HOME:
            chooser.avoid(address, 0)
        self.assertFalse(chooser.has_home_alternative(AWAY[0], AVOID_MS - 1))
        self.assertTrue(chooser.has_home_alternative(AWAY[0], AVOID_MS))

    def test_there_is_an_alternative_until_all_have_failed(self):
        chooser = choice()
        for address in HOME[1:] + AWAY:
            self.assertTrue(chooser.has_alternative(HOME[0], 0))
            chooser.avoid(address, 0, LEADERLESS_AVOID_MS)
        self.assertFalse(chooser.has_alternative(HOME[0], LEADERLESS_AVOID_MS - 1))
        self.assertTrue(chooser.has_alternative(HOME[0], LEADERLESS_AVOID_MS))

    def test_the_hall_of_an_unknown_replica_is_not_known(self):
        self.assertEqual(choice(replicas=[]).find_hall(HOME[0]), "")
        self.assertFalse(choice(replicas=[]).is_home(HOME[0]))
