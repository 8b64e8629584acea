"""Begin a planned stop of a host."""

from knapweedtally.management import admin_client
from knapweedtally.management import base
from knapweedtally.management import exit_codes


class DrainCommand(base.BaseCommand):
    """Ask a host to finish its requests in flight and stop."""

    name = "drain"
    description = "Begin a planned stop of a host (idempotent)."
    options = [*admin_client.OPTIONS, base.JSON_OPTION]
    examples = ("knapweedtally drain --admin-url http://127.0.1.2:7200",)

    def run_command(self) -> int:
        """Request the stop and print its current phase."""
        self.write_values(admin_client.call_once(self, "POST", "/v1/drain"))
        return exit_codes.OK
