"""Edits are atomic, take effect at most once, and a resend gets the same answer."""

import unittest

from hypothesis import given, strategies as st

from cinderway._errors import ErrorCode
from cinderway.table import (
    Action,
    Change,
    Edit,
    EditOutcome,
    RowKey,
    Sheet,
    Table,
    TableMachine,
    build_initial_snapshot,
)

SERVICE = [
    Change(Action.CREATE, Sheet.SERVICES, "lookup"),
    Change(Action.SET, Sheet.SERVICES, "lookup", "routes", "/lookup"),
]


def server_changes(name, port, slots="4"):
    cells = {
        "service": "lookup",
        "data_hall": "suva",
        "address": f"127.0.0.1:{port}",
        "slots": slots,
    }
    creation = [Change(Action.CREATE, Sheet.SERVERS, name)]
    return creation + [
        Change(Action.SET, Sheet.SERVERS, name, column, value)
        for column, value in cells.items()
    ]


def edit(edit_id, *changes, seen_sequence=0):
    return Edit(edit_id, "op", seen_sequence, list(changes))


def set_weight(value, seen_revision, row="s1"):
    return Change(Action.SET, Sheet.SERVERS, row, "weight", value, seen_revision)


def build_machine(**limits):
    machine = TableMachine(**limits)
    changes = [*SERVICE, *server_changes("s1", 1), *server_changes("s2", 2)]
    assert machine.apply_edit(edit("first", *changes)).verdict is EditOutcome.ACCEPTED
    return machine


class EditTest(unittest.TestCase):
    def assert_refused(self, answer, code):
        self.assertIs(answer.verdict, EditOutcome.REFUSED)
        self.assertEqual(answer.code, code.value)

    def test_second_edit_of_a_cell_at_one_revision_is_refused_with_the_winner(self):
        machine = build_machine()
        won = machine.apply_edit(edit("a", set_weight("50", 1)))
        lost = machine.apply_edit(edit("b", set_weight("60", 1)))
        self.assertIs(won.verdict, EditOutcome.ACCEPTED)
        self.assert_refused(lost, ErrorCode.REVISION_CONFLICT)
        self.assertEqual((lost.winner_value, lost.revision), ("50", won.revision))

    def test_resent_edit_gets_the_same_answer_and_is_applied_once(self):
        machine = build_machine()
        first = machine.apply_edit(edit("a", set_weight("50", 1)))
        again = machine.apply_edit(edit("a", set_weight("50", 1)))
        self.assertEqual(first, again)
        self.assertEqual(machine.table.revision, 2)

    def test_refused_edit_stays_refused_when_resent(self):
        machine = build_machine()
        machine.apply_edit(edit("a", set_weight("50", 1)))
        first = machine.apply_edit(edit("b", set_weight("60", 1)))
        self.assertEqual(machine.apply_edit(edit("b", set_weight("60", 1))), first)

    def test_used_id_with_other_content_is_refused(self):
        machine = build_machine()
        machine.apply_edit(edit("a", set_weight("50", 1)))
        answer = machine.apply_edit(edit("a", set_weight("60", 2)))
        self.assert_refused(answer, ErrorCode.EDIT_ID_REUSED)

    def test_resend_past_the_window_is_refused_and_not_applied_twice(self):
        machine = build_machine(remembered_limit=3)
        old = edit("old", set_weight("50", 1), seen_sequence=1)
        machine.apply_edit(old)
        for number in range(5):
            revision = machine.table.revision
            machine.apply_edit(
                edit(
                    f"n{number}",
                    set_weight("70", revision),
                    seen_sequence=machine.sequence,
                )
            )
        revision = machine.table.revision
        self.assert_refused(machine.apply_edit(old), ErrorCode.EDIT_TOO_OLD)
        self.assertEqual(machine.table.revision, revision)

    def test_edit_of_several_cells_is_all_or_nothing(self):
        machine = build_machine()
        before = machine.snapshot()
        answer = machine.apply_edit(
            edit("a", set_weight("50", 1), set_weight("9999", 1, "s2"))
        )
        self.assert_refused(answer, ErrorCode.CELL_INVALID)
        row = machine.table.get(RowKey(Sheet.SERVERS, "s1"))
        self.assertEqual(row.typed.weight, 100)
        self.assertNotEqual(before, machine.snapshot())

    def test_floor_above_capacity_is_refused(self):
        change = Change(Action.SET, Sheet.SERVICES, "lookup", "floor_slots", "9", 1)
        answer = build_machine().apply_edit(edit("a", change))
        self.assert_refused(answer, ErrorCode.RULE_BROKEN)

    def test_service_left_without_a_server_is_refused(self):
        changes = [set_weight("0", 1), set_weight("0", 1, "s2")]
        answer = build_machine().apply_edit(edit("a", *changes))
        self.assert_refused(answer, ErrorCode.RULE_BROKEN)

    def test_server_without_its_service_is_refused(self):
        change = Change(Action.SET, Sheet.SERVERS, "s1", "service", "payouts", 1)
        answer = build_machine().apply_edit(edit("a", change))
        self.assert_refused(answer, ErrorCode.RULE_BROKEN)

    def test_address_of_another_server_is_refused(self):
        answer = build_machine().apply_edit(edit("a", *server_changes("s3", 2)))
        self.assert_refused(answer, ErrorCode.RULE_BROKEN)

    def test_two_new_servers_with_one_address_are_refused(self):
        changes = [*server_changes("s3", 3), *server_changes("s4", 3)]
        self.assert_refused(
            build_machine().apply_edit(edit("a", *changes)), ErrorCode.RULE_BROKEN
        )

    def test_unknown_column_is_refused(self):
        change = Change(Action.SET, Sheet.SERVERS, "s1", "color", "red", 1)
        self.assert_refused(
            build_machine().apply_edit(edit("a", change)), ErrorCode.CELL_INVALID
        )

    def test_edit_of_a_cell_seen_before_its_row_was_recreated_is_refused(self):
        machine = build_machine()
        machine.apply_edit(
            edit("a", Change(Action.REMOVE, Sheet.SERVERS, "s2", seen_revision=1))
        )
        machine.apply_edit(edit("b", *server_changes("s2", 2)))
        answer = machine.apply_edit(edit("c", set_weight("50", 1, "s2")))
        self.assert_refused(answer, ErrorCode.REVISION_CONFLICT)

    def test_new_table_continues_above_the_given_revision(self):
        machine = TableMachine()
        machine.restore(build_initial_snapshot(41))
        answer = machine.apply_edit(edit("a", *SERVICE, *server_changes("s1", 1)))
        self.assertEqual(answer.revision, 42)


EDITS = st.lists(
    st.tuples(
        st.sampled_from(["s1", "s2", "s3"]),
        st.sampled_from(["set", "remove", "create"]),
        st.integers(0, 6),
        st.integers(-1, 200),
    ),
    max_size=25,
)


def build_edits(drawn):
    for number, (name, kind, seen, value) in enumerate(drawn):
        match kind:
            case "set":
                changes = [set_weight(str(value), seen, name)]
            case "remove":
                change = Change(Action.REMOVE, Sheet.SERVERS, name, seen_revision=seen)
                changes = [change]
            case "create":
                changes = server_changes(name, int(name[1]))
        yield edit(f"e{number % 9}", *changes)


class MachineTest(unittest.TestCase):
    @given(EDITS, st.integers(0, 25))
    def test_restart_from_a_snapshot_gives_the_same_answers(self, drawn, restart_at):
        uninterrupted, restarted = (
            build_machine(remembered_limit=5),
            build_machine(remembered_limit=5),
        )
        for number, one in enumerate(build_edits(drawn)):
            if number == restart_at:
                snapshot = restarted.snapshot()
                restarted = TableMachine(remembered_limit=5)
                restarted.restore(snapshot)
            self.assertEqual(uninterrupted.apply_edit(one), restarted.apply_edit(one))
        self.assertEqual(uninterrupted.table.digest, restarted.table.digest)

    @given(EDITS, st.data())
    def test_followers_that_apply_deltas_converge_and_never_go_back(self, drawn, data):
        machine, follower, peer = build_machine(), Table(), Table()
        old = [machine.table.delta_since(0)]
        for one in build_edits(drawn):
            machine.apply_edit(one)
            source = data.draw(st.sampled_from([machine.table, follower]))
            target = data.draw(st.sampled_from([follower, peer]))
            delta = source.delta_since(target.revision)
            old.append(delta)
            for sent in (delta, data.draw(st.sampled_from(old))):
                before = target.revision
                target.install(sent)
                self.assertGreaterEqual(target.revision, before)
        for table in (follower, peer):
            table.install(machine.table.delta_since(table.revision))
            self.assertEqual(table.digest, machine.table.digest)
            self.assertEqual(
                table.rows(Sheet.SERVERS), machine.table.rows(Sheet.SERVERS)
            )
