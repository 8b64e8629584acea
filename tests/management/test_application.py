"""Tests of the command line application."""

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
    app = application.make_application()
    app.auto_exits(False)
    tester = application_tester.ApplicationTester(app)
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

    def test_commands_are_imported_lazily(self) -> None:
        program = (
            "import sys\n"
            "from knapweedtally.management import application\n"
            "application.make_application()\n"
            "names = ('yaml', 'jsonschema', 'cryptography', 'anyio')\n"
            "print([name for name in names if name in sys.modules])\n"
        )
        process = subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual("[]", process.stdout.strip())


class CheckCommandTest(testtools.TestCase):
    def test_valid_settings_are_printed_without_secrets(self) -> None:
        flags = [
            f"--{name}={value}" for name, value in test_settings.OPTIONS.items()
        ]
        code, output, _ = run_command(f"check --json {' '.join(flags)}")
        self.assertEqual(exit_codes.OK, code)
        self.assertEqual("(secret)", json.loads(output)["admin-token"])
        self.assertNotIn(test_settings.SECRET_TOKEN, output)

    def test_all_problems_are_printed(self) -> None:
        code, _, errors = run_command("check --host-name=A --log-level=loud")
        self.assertEqual(exit_codes.INVALID, code)
        self.assertIn("KW002 --host-name: 'A'", errors)
        self.assertIn("KW002 --log-level: 'loud'", errors)
        self.assertIn("KW001 --platform-address", errors)
