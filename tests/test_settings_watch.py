"""Reading the settings file, and reloading it while the process runs."""

import os
import signal
import tempfile
import unittest
from pathlib import Path

from cinderway._errors import CinderwayError
from cinderway._settings import (
    CatalogEntrySettings,
    parse_settings,
    read_settings_file,
    with_settings_file,
)
from cinderway._settings_watch import SettingsWatch
from standins.catalog_fleet import CatalogFleet, wait_for

GIVEN = {
    "name": "suva-1",
    "data_hall": "suva",
    "callers_listen": "127.0.0.1:8000",
    "seeds": "10.0.0.1:80,10.0.0.2:80",
    "control_port": "7100",
    "shared_key": "a-key-for-tests-only",
}


class SettingsFileTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.toml"
        self.write(GIVEN)
        self.applied = []

    def write(self, values, more=""):
        lines = [f'{name} = "{value}"' for name, value in values.items()]
        self.path.write_text("\n".join([*lines, more]))

    def settings(self):
        given = dict.fromkeys(CatalogEntrySettings.__dataclass_fields__)
        given["settings_file"] = str(self.path)
        return parse_settings(CatalogEntrySettings, with_settings_file(given))

    def watch(self):
        return SettingsWatch(self.settings(), self.applied.append)

    def test_flags_take_precedence_over_the_file(self):
        given = {"settings_file": str(self.path), "name": "other", "data_hall": None}
        completed = with_settings_file(given)
        self.assertEqual((completed["name"], completed["data_hall"]), ("other", "suva"))

    def test_lists_and_booleans_are_read_from_toml(self):
        self.path.write_text('seeds = ["a", "b"]\nis_first_start = true\nport = 7\n')
        texts = read_settings_file(self.path)
        self.assertEqual(texts, {"seeds": "a,b", "is_first_start": "true", "port": "7"})

    def test_a_file_without_a_required_field_is_refused(self):
        for name in GIVEN:
            with self.subTest(name):
                self.write({k: v for k, v in GIVEN.items() if k != name})
                with self.assertRaises(CinderwayError) as caught:
                    self.settings()
                self.assertIn(name.replace("_", "-"), caught.exception.detail)

    def test_invalid_values_are_refused(self):
        for invalid_values in (
            {"control_port": "many"},
            {"seeds": ""},
            {"name": "a b"},
        ):
            with self.subTest(invalid_values):
                self.write({**GIVEN, **invalid_values})
                with self.assertRaises(CinderwayError):
                    self.settings()

    def test_unknown_fields_are_ignored(self):
        self.write({**GIVEN, "later": "x"})
        self.assertEqual(self.settings().name, "suva-1")

    def test_a_changed_file_is_applied(self):
        watch = self.watch()
        self.write({**GIVEN, "seeds": "10.0.0.9:80"})
        watch.reload_if_changed()
        self.assertEqual(self.applied[0].seeds, ("10.0.0.9:80",))

    def test_an_unchanged_file_does_not_call_on_change(self):
        watch = self.watch()
        watch.reload_if_changed()
        self.assertEqual(self.applied, [])

    def test_an_invalid_file_changes_nothing_and_is_logged_once(self):
        watch = self.watch()
        with self.assertLogs("cinderway", "WARNING") as logs:
            for _ in range(3):
                self.write({**GIVEN, "seeds": "nonsense"})
                watch.reload_if_changed()
        self.assertEqual((len(logs.output), self.applied), (1, []))
        with self.assertLogs("cinderway", "WARNING"):
            self.path.write_text("{ no toml")
            watch.reload_if_changed()
        self.write({**GIVEN, "seeds": "10.0.0.9:80"})
        watch.reload_if_changed()
        self.assertEqual(len(self.applied), 1)

    def test_a_missing_file_changes_nothing(self):
        watch = self.watch()
        os.remove(self.path)
        with self.assertLogs("cinderway", "WARNING"):
            watch.reload_if_changed()
        self.assertEqual(self.applied, [])


class SignalTests(unittest.TestCase):
    def test_sighup_ends_neither_an_entry_nor_a_control_replica(self):
        fleet = CatalogFleet(replicas=1, tolerated_losses=0)
        self.addCleanup(fleet.stop)
        fleet.start()
        for name in ("entry-0", "control-0"):
            wait_for(lambda name=name: "starts at" in fleet.log_of(name), "a start")
        fleet.put_sheet({"version": 1, "routes": [], "services": []})
        fleet.wait_ready()
        for name in ("entry-0", "control-0"):
            fleet.signal(name, signal.SIGHUP)
            wait_for(lambda name=name: "SIGHUP" in fleet.log_of(name), "a reload")
            self.assertIsNone(fleet.processes[name].poll())
