"""The list of known failures names a test or a case, how to see it, and an issue."""

import unittest

from tools.run_tests import KNOWN_RED, find_test_ids, parse_known_failures

TEST = "tests.a.B.test_c"
GOOD = f"{TEST}: python -m unittest {TEST}, seed 7; 500 in place of 200; issue 9"
CASE = "review/12: review/12/run.sh, no seed; 5 of 5 broken; issue 2"


class KnownFailureTests(unittest.TestCase):
    def parse(self, *lines):
        return parse_known_failures("\n".join(lines) + "\n", {TEST})

    def test_any_number_of_tests_and_review_cases_may_be_listed(self):
        """A cap on their number led to cases that were listed under a test's name."""
        cases = [CASE.replace("12", str(number)) for number in range(9)]
        self.assertEqual(len(self.parse(GOOD, "", *cases)), 10)

    def test_an_entry_of_another_form_is_refused(self):
        for line in (
            GOOD.replace(", seed 7", ""),
            GOOD.replace("; issue 9", ""),
            GOOD.replace("500 in place of 200; ", ""),
            GOOD.replace(TEST, "tests.a.B.test_d"),
            CASE.replace("review/12:", "case 12:"),
            TEST,
        ):
            with self.subTest(line), self.assertRaises(ValueError):
                self.parse(line)
        with self.assertRaises(ValueError):
            self.parse(GOOD, GOOD)

    def test_the_list_has_its_form(self):
        parse_known_failures(KNOWN_RED.read_text(), find_test_ids())
