"""Run an entry host."""

from knapweedtally.management import base
from knapweedtally.management import exit_codes
from knapweedtally.management import options


class ProxyCommand(base.BaseCommand):
    """Serve callers until SIGTERM or SIGINT."""

    name = "proxy"
    description = "Run an entry host until SIGTERM or SIGINT."
    options = [*options.make_settings_options()]
    examples = (
        "knapweedtally proxy --host-name ams-1 --data-centre nlw-ams"
        " --listen-address 127.0.1.1",
    )

    def run_command(self) -> int:
        """Validate the settings and run the proxy."""
        from knapweedtally.runtime import process

        process.run_proxy(options.load_settings(self))
        return exit_codes.OK
