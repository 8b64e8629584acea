"""Print the version of the program."""

import platform

import knapweedtally
from knapweedtally.management import base
from knapweedtally.management import exit_codes


class VersionCommand(base.BaseCommand):
    """Print the versions of the program and of Python."""

    name = "version"
    description = "Print the versions of the program and of Python."
    options = [base.JSON_OPTION]
    examples = ("knapweedtally version", "knapweedtally version --json")

    def run_command(self) -> int:
        """Print the versions."""
        self.write_values(
            {
                "knapweedtally": knapweedtally.VERSION,
                "python": platform.python_version(),
            }
        )
        return exit_codes.OK
