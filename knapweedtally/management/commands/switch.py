"""Request a planned change of a group's primary."""

import json
from urllib import parse

from cleo.io.inputs import argument

from knapweedtally.management import admin_client
from knapweedtally.management import base
from knapweedtally.management import exit_codes


class SwitchCommand(base.BaseCommand):
    """Request that a target become the primary of its group."""

    name = "switch"
    description = "Request a planned change of a group's primary."
    arguments = [
        argument.Argument("group", description="name of the group"),
        argument.Argument("target", description="id of the new primary"),
    ]
    options = [*admin_client.OPTIONS, base.JSON_OPTION]
    examples = (
        "knapweedtally switch fog-1 fog-1-b --admin-url http://127.0.1.2:7200",
    )

    def run_command(self) -> int:
        """Request the change and print it as recorded in the group's object."""
        group = parse.quote(self.argument("group"), safe="")
        body = json.dumps({"target": self.argument("target")}).encode()
        path = f"/v1/groups/{group}/switch"
        self.write_values(admin_client.call_once(self, "POST", path, body))
        return exit_codes.OK
