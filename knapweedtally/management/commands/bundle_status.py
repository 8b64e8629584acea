"""Show the platform's bundle or the versions in force on the hosts."""

from knapweedtally.core.bundles import codec
from knapweedtally.management import admin_client
from knapweedtally.management import base
from knapweedtally.management import bundle_io
from knapweedtally.management import exit_codes
from knapweedtally.management import options


class BundleStatusCommand(base.BaseCommand):
    """Show the current bundle with its signer and its latest roll-outs."""

    name = "bundle status"
    description = (
        "Show the platform's bundle, or with --admin-url each host's version."
    )
    options = [
        options.make_option("platform-address"),
        *admin_client.OPTIONS,
        base.JSON_OPTION,
    ]
    examples = (
        "knapweedtally bundle status --json",
        "knapweedtally bundle status --admin-url http://127.0.1.2:7200",
    )

    def run_command(self) -> int:
        """Print the versions of the hosts, or the platform's bundle."""
        if self.option("admin-url"):
            answer = admin_client.call_once(self, "GET", "/v1/bundle")
            self.write_rows(("name", "status", "version"), answer["hosts"])
            return exit_codes.OK
        current = bundle_io.run_with_platform(
            self, bundle_io.read_current_bundle
        )
        if current.version == 0:
            raise base.CommandError(
                "the platform holds no bundle; use 'bundle roll-out'",
                exit_codes.FAILED,
            )
        try:
            bundle = codec.parse_bundle(current.value)
        except codec.MalformedBundleError as error:
            raise base.CommandError(
                f"the platform's bundle is malformed: {error}; roll out a "
                "valid one",
                exit_codes.FAILED,
            ) from error
        self.write_values(
            {
                "version": bundle.version,
                "signer": bundle.signer,
                "digest": bundle.digest,
                "groups": len(bundle.groups),
                "operations": current.value.get("operations", {}),
            }
        )
        return exit_codes.OK
