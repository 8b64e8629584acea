"""Tests of the closed list of error kinds."""

import testtools

from knapweedtally.core import errors


class ErrorAnswersTest(testtools.TestCase):
    def test_every_kind_has_an_answer(self) -> None:
        self.assertEqual(set(errors.ErrorKind), set(errors.ANSWERS))

    def test_sqlstates_are_well_formed(self) -> None:
        for answer in errors.ANSWERS.values():
            self.assertRegex(answer.sqlstate, "^[0-9A-Z]{5}$")
