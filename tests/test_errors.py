"""Tests of the error kinds and their answers."""

import testtools

from knapweedtally.core import errors


class ErrorAnswersTest(testtools.TestCase):
    def test_every_kind_has_an_answer(self) -> None:
        self.assertEqual(set(errors.ErrorKind), set(errors.ERROR_ANSWERS))

    def test_sqlstates_have_five_letters_or_digits(self) -> None:
        for answer in errors.ERROR_ANSWERS.values():
            self.assertRegex(answer.sqlstate, "^[0-9A-Z]{5}$")
