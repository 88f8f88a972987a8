"""Daemons that are started without the command line, as processes of their own."""

import os
import subprocess
import sys
import unittest
from pathlib import Path

SOURCES = Path(__file__).resolve().parent.parent / "src"


def launch(*arguments, **environment):
    variables = {"PYTHONPATH": str(SOURCES), "PATH": os.environ["PATH"], **environment}
    return subprocess.run(
        [sys.executable, "-m", "cinderway._launch", *arguments],
        env=variables,
        capture_output=True,
        text=True,
    )


class LaunchTests(unittest.TestCase):
    def test_an_unknown_role_is_refused_with_the_names_of_all_roles(self):
        for arguments in ((), ("gateway",)):
            result = launch(*arguments)
            self.assertEqual(result.returncode, 2)
            self.assertIn("catalog-entry", result.stderr)

    def test_a_missing_setting_is_refused_by_name(self):
        result = launch("catalog-entry", CINDERWAY_NAME="e1")
        self.assertEqual(result.returncode, 2)
        self.assertIn("CINDERWAY_DATA_HALL", result.stderr)

    def test_an_unreadable_settings_file_is_refused_by_path(self):
        result = launch("catalog-control", CINDERWAY_SETTINGS_FILE="/nowhere.toml")
        self.assertEqual(result.returncode, 2)
        self.assertIn("/nowhere.toml", result.stderr)

    def test_a_daemon_does_not_import_the_command_line(self):
        code = (
            "import sys, cinderway._launch, cinderway.entry._catalog_daemon; "
            "print({'typer', 'rich', 'cinderway._cli'} & set(sys.modules))"
        )
        result = subprocess.run(
            [sys.executable, "-c", code],
            env={"PYTHONPATH": str(SOURCES), "PATH": os.environ["PATH"]},
            capture_output=True,
            text=True,
        )
        self.assertEqual(result.stdout.strip(), "set()", result.stderr)
