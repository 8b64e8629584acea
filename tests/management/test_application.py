"""Tests of the command line itself."""

import json
import subprocess
import sys

import testtools
from cleo.testers import application_tester

from knapweedtally.management import application
from knapweedtally.management import exit_codes
from tests.conf import test_settings


def run_command(
    line: str,
) -> tuple[int, str, str]:
    """Run a command line in this process.

    Returns:
        The exit code, the standard output and the standard error.
    """
    made = application.make_application()
    made.auto_exits(False)
    tester = application_tester.ApplicationTester(made)
    code = tester.execute(line)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


class ApplicationTest(testtools.TestCase):
    def test_every_command_has_help_with_examples(self) -> None:
        for name, entry in application.COMMANDS.items():
            command = application.make_command_factory(entry)()
            self.assertEqual(name, command.name)
            self.assertTrue(command.examples)
            for example in command.examples:
                self.assertIn(f"knapweedtally {name}", example)
                self.assertIn(example, command.help)
            self.assertIn("Exit codes:", command.help)

    def test_commands_are_imported_when_called(self) -> None:
        program = (
            "import sys\n"
            "from knapweedtally.management import application\n"
            "application.make_application()\n"
            "names = ('yaml', 'jsonschema', 'cryptography', 'anyio')\n"
            "print([name for name in names if name in sys.modules])\n"
        )
        printed = subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual("[]", printed.stdout.strip())


class CheckCommandTest(testtools.TestCase):
    def test_right_settings_are_printed_without_secrets(self) -> None:
        flags = [
            f"--{name}={value}" for name, value in test_settings.OPTIONS.items()
        ]
        code, shown, _ = run_command(f"check --json {' '.join(flags)}")
        self.assertEqual(exit_codes.OK, code)
        self.assertEqual("(secret)", json.loads(shown)["admin-token"])
        self.assertNotIn(test_settings.SECRET_TOKEN, shown)

    def test_all_mistakes_are_printed(self) -> None:
        code, _, errors = run_command("check --host-name=A --log-level=loud")
        self.assertEqual(exit_codes.INVALID, code)
        self.assertIn("KW002 --host-name: 'A'", errors)
        self.assertIn("KW002 --log-level: 'loud'", errors)
        self.assertIn("KW001 --platform-address", errors)
