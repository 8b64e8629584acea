"""List the targets from the view of one host."""

from cleo.io.inputs import option

from knapweedtally.management import admin_client
from knapweedtally.management import base
from knapweedtally.management import exit_codes

_COLUMNS = (
    "id",
    "group",
    "data_centre",
    "is_primary",
    "is_leaving",
    "term",
    "offset",
    "age_ms",
    "report_ago_ms",
    "connections_in_use",
    "failure",
)


class TargetsCommand(base.BaseCommand):
    """List the targets with their latest reports."""

    name = "targets"
    description = "List the targets with their positions and failures."
    options = [
        option.Option(
            "group",
            flag=False,
            description="list only the targets of this group",
        ),
        *admin_client.OPTIONS,
        base.JSON_OPTION,
    ]
    examples = (
        "knapweedtally targets --admin-url http://127.0.1.2:7200",
        "knapweedtally targets --group fog-1 --json",
    )

    def run_command(self) -> int:
        """Print one row per target."""
        answer = admin_client.call_once(self, "GET", "/v1/targets")
        group = self.option("group")
        rows = [
            target
            for target in answer["targets"]
            if group in (None, target["group"])
        ]
        self.write_rows(_COLUMNS, rows)
        return exit_codes.OK
