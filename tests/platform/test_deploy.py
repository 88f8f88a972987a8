"""Templates, names and requirements for the platform fit the product."""

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
# What a template's gaps are filled with here; the values only need the right form.
FILLED = {
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
    # A missing value gives nothing.
    "bounds.quotaSlack": "",
}
# Header names and message fields of the platform that the product must not know.
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


def filled(template):
    text = (ROOT / "platform" / template).read_text()
    return tomllib.loads(re.sub(r"\{\{(.*?)\}\}", lambda gap: FILLED[gap[1]], text))


def texts_of(values):
    return {
        name: str(value).lower() if isinstance(value, bool) else str(value)
        for name, value in values.items()
    }


class TemplateTests(unittest.TestCase):
    def test_templates_give_whole_and_valid_settings(self):
        for template, kind in (
            ("entry.toml", CatalogEntrySettings),
            ("control.toml", CatalogControlSettings),
        ):
            with self.subTest(template):
                values = filled(template)
                self.assertEqual(values.keys() - get_declarations(kind).keys(), set())
                parse_settings(kind, texts_of(values))

    def test_roles_start_commands_with_a_template_that_is_there(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for role in deploy["roles"].values():
            self.assertTrue((ROOT / role["template"]).is_file())
            self.assertTrue((ROOT / role["run"].split()[1]).is_file())


class BoundaryTests(unittest.TestCase):
    def test_the_build_takes_only_what_the_lock_holds(self):
        locked = set((ROOT / "requirements.lock").read_text().split())
        built = set((ROOT / "deploy/requirements.txt").read_text().split())
        self.assertEqual(built - locked, set())

    def test_the_product_does_not_know_the_platforms_names(self):
        for path in (ROOT / "src").rglob("*.py"):
            text = path.read_text().lower()
            found = [name for name in PLATFORM_NAMES if name.lower() in text]
            self.assertEqual(found, [], path)

    def test_the_platforms_folder_hides_no_standard_module(self):
        self.assertFalse((ROOT / "platform/__init__.py").exists())
