"""Show the record of a decision."""

from urllib import parse

from cleo.io.inputs import argument

from knapweedtally.management import admin_client
from knapweedtally.management import base
from knapweedtally.management import exit_codes


class ExplainCommand(base.BaseCommand):
    """Show the record of a decision: its reason, evidence and remedy."""

    name = "explain"
    description = "Show why a decision was made and how to respond to it."
    arguments = [
        argument.Argument(
            "id", description="decision id from an error or a log line"
        )
    ]
    options = [*admin_client.OPTIONS, base.JSON_OPTION]
    examples = (
        "knapweedtally explain ams-1-1765432100000-17"
        " --admin-url http://127.0.1.2:7200",
    )

    def run_command(self) -> int:
        """Print the record, which any host can fetch from the deciding host."""
        path = f"/v1/decisions/{parse.quote(self.argument('id'), safe='')}"
        self.write_values(admin_client.call_once(self, "GET", path))
        return exit_codes.OK
