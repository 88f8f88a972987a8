"""Tests that the platform's templates, names and requirements fit the product."""

import re
import tomllib
import unittest
from pathlib import Path

from cinderway._settings import (
    CatalogControlSettings,
    CatalogEntrySettings,
    get_declarations,
    parse_settings,
)

ROOT = Path(__file__).resolve().parent.parent.parent
# Values for the templates' placeholders; only their format matters.
PLACEHOLDER_VALUES = {
    "nodeName": "edge-suva-hall-1",
    "data_hall": "suva-hall",
    "ip": "10.1.0.34",
    "listen.front": "10.1.0.34:8548",
    "listen.readiness": "10.1.0.34:8542",
    "listen.control": "10.1.0.34:8544",
    "seeds": "10.1.0.37:8544,10.2.0.37:8544",
    "portRange.0": "7540",
    "portRange.1": "7555",
    "bootstrap": "true",
    "faultTolerance.machines": "2",
    "dataDir": "/data/control",
    "bounds.quotaWindowS": "5",
    "bounds.quotaOvershoot": "0.1",
    # The platform fills in an empty text for a missing value.
    "bounds.quotaSlack": "",
}
# The platform's header names, message fields and paths; they must not occur in src.
PLATFORM_NAMES = (
    "Cinderway-Attempt-Id",
    "Cinderway-Expected-Instance",
    "Cinderway-Not-Executed",
    "Cinderway-Server-Seal",
    "heartbeatUrl",
    "callSeq",
    "pathPrefix",
    "sloLatencyMs",
    "CINDERWAY_BOOT",
    "/-/config",
    "/-/instances",
)


def fill_template(template):
    text = (ROOT / "platform" / template).read_text()
    return tomllib.loads(
        re.sub(
            r"\{\{(.*?)\}\}",
            lambda placeholder: PLACEHOLDER_VALUES[placeholder[1]],
            text,
        )
    )


def format_values(values):
    return {
        name: str(value).lower() if isinstance(value, bool) else str(value)
        for name, value in values.items()
    }


class TemplateTests(unittest.TestCase):
    def test_templates_yield_valid_settings(self):
        for template, kind in (
            ("entry.toml", CatalogEntrySettings),
            ("control.toml", CatalogControlSettings),
        ):
            with self.subTest(template):
                values = fill_template(template)
                self.assertEqual(values.keys() - get_declarations(kind).keys(), set())
                parse_settings(kind, format_values(values))

    def test_templates_and_programs_of_all_roles_exist(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for role in deploy["roles"].values():
            self.assertTrue((ROOT / role["template"]).is_file())
            self.assertTrue((ROOT / role["run"].split()[1]).is_file())


class BoundaryTests(unittest.TestCase):
    def test_build_requirements_are_in_the_lock_file(self):
        locked = set((ROOT / "requirements.lock").read_text().split())
        built = set((ROOT / "deploy/requirements.txt").read_text().split())
        self.assertEqual(built - locked, set())

    def test_the_product_contains_none_of_the_platforms_names(self):
        for path in (ROOT / "src").rglob("*.py"):
            text = path.read_text().lower()
            found = [name for name in PLATFORM_NAMES if name.lower() in text]
            self.assertEqual(found, [], path)

    def test_the_platform_folder_is_not_a_package(self):
        self.assertFalse((ROOT / "platform/__init__.py").exists())
