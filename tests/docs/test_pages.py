"""Tests that the operators' pages match the code."""

import re
import unittest
from pathlib import Path

from cinderway._errors import ErrorCode
from tools.write_columns_page import PAGE, page

DOCS = Path(__file__).resolve().parent.parent.parent / "docs"
LINK = re.compile(r"\]\(([^)#:]+)\)")


class PagesTest(unittest.TestCase):
    def test_columns_page_matches_the_declarations(self):
        self.assertEqual(PAGE.read_text(), page())

    def test_each_error_code_is_documented(self):
        text = (DOCS / "operators/errors.md").read_text()
        for code in ErrorCode:
            self.assertIn(f"`{code.value}`", text)

    def test_links_between_pages_have_existing_targets(self):
        for path in DOCS.rglob("*.md"):
            for target in LINK.findall(path.read_text()):
                with self.subTest(page=path.name, target=target):
                    self.assertTrue((path.parent / target).exists())
