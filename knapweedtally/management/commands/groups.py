"""List the groups from the view of one host."""

from knapweedtally.management import admin_client
from knapweedtally.management import base
from knapweedtally.management import exit_codes

_COLUMNS = ("name", "term", "phase", "primary", "preferred", "promotion")


class GroupsCommand(base.BaseCommand):
    """List the groups with their terms and primaries."""

    name = "groups"
    description = "List the groups with their terms and primaries."
    options = [*admin_client.OPTIONS, base.JSON_OPTION]
    examples = (
        "knapweedtally groups --admin-url http://127.0.1.2:7200",
        "knapweedtally groups --json",
    )

    def run_command(self) -> int:
        """Print one row per group."""
        answer = admin_client.call_once(self, "GET", "/v1/groups")
        self.write_rows(_COLUMNS, answer["groups"])
        return exit_codes.OK
