import unittest

from hypothesis import given, strategies as st

from cinderway._errors import CinderwayError, ErrorCode
from cinderway.table import (
    COLUMNS,
    Edit,
    Sheet,
    Table,
    TableMachine,
    allowed_values,
    changes_from_csv,
    export_csv,
    format_cell,
    parse_cell,
)

SERVICES = "name,routes,floor_slots\nlookup,/lookup,2\n"
SERVERS = "name,service,data_hall,address,weight\ns1,lookup,suva,127.0.0.1:80,{}\n"


def import_all(machine, services, servers):
    changes = changes_from_csv(machine.table, Sheet.SERVICES, services)
    changes += changes_from_csv(machine.table, Sheet.SERVERS, servers)
    edit_id = f"e{machine.sequence}"
    return machine.apply_edit(Edit(edit_id, "op", machine.sequence, changes))


class CsvTest(unittest.TestCase):
    @given(st.integers(1, 1000))
    def test_exported_sheet_imported_again_changes_nothing(self, weight):
        machine = TableMachine()
        import_all(machine, SERVICES, SERVERS.format(weight))
        for sheet in Sheet:
            text = export_csv(machine.table, sheet)
            self.assertEqual(changes_from_csv(machine.table, sheet, text), [])

    def test_missing_row_is_removed_and_changed_cell_is_set(self):
        machine = TableMachine()
        two = SERVERS.format(50) + "s2,lookup,suva,127.0.0.1:81,70\n"
        import_all(machine, SERVICES, two)
        import_all(machine, SERVICES, SERVERS.format(60))
        servers = machine.table.servers_of("lookup")
        self.assertEqual(
            {name: row.weight for name, row in servers.items()}, {"s1": 60}
        )

    def test_bad_cell_is_refused_with_line_and_column(self):
        with self.assertRaises(CinderwayError) as caught:
            changes_from_csv(Table(), Sheet.SERVERS, SERVERS.format("heavy"))
        error = caught.exception
        self.assertIs(error.code, ErrorCode.CSV_INVALID)
        self.assertIn("line 2: weight: given 'heavy'", error.detail)

    def test_unknown_column_is_refused(self):
        with self.assertRaises(CinderwayError) as caught:
            changes_from_csv(Table(), Sheet.SERVERS, "name,color\n")
        self.assertIn("line 1", caught.exception.detail)

    def test_row_that_appears_twice_is_refused(self):
        text = SERVERS.format(1) + SERVERS.format(1).splitlines()[1] + "\n"
        with self.assertRaises(CinderwayError) as caught:
            changes_from_csv(Table(), Sheet.SERVERS, text)
        self.assertIn("line 3: name: 's1' appears twice", caught.exception.detail)


class ColumnTest(unittest.TestCase):
    def test_each_default_is_allowed_by_its_own_column(self):
        for columns in COLUMNS.values():
            for declared in columns.values():
                self.assertTrue(allowed_values(declared.kind))
                if not declared.is_required:
                    text = format_cell(declared.default)
                    self.assertEqual(parse_cell(declared, text), declared.default)
