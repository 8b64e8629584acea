"""Validate the settings of a host."""

from knapweedtally.conf import settings
from knapweedtally.management import base
from knapweedtally.management import exit_codes
from knapweedtally.management import options


class CheckCommand(base.BaseCommand):
    """Validate the settings and print them without secrets."""

    name = "check"
    description = "Validate the settings of a host and list all problems."
    options = [*options.make_settings_options(), base.JSON_OPTION]
    examples = (
        "knapweedtally check",
        "knapweedtally check --listen-port 6432 --json",
    )

    def run_command(self) -> int:
        """Print the settings if they are valid."""
        loaded = options.load_settings(self)
        self.write_values(settings.describe_settings(loaded))
        return exit_codes.OK
