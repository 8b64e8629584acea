"""Validate a bundle file."""

from cleo.io.inputs import argument

from knapweedtally.core.bundles import codec
from knapweedtally.core.failover import checks
from knapweedtally.management import base
from knapweedtally.management import bundle_io
from knapweedtally.management import exit_codes


class BundleValidateCommand(base.BaseCommand):
    """Validate a bundle file and list all problems with their lines."""

    name = "bundle validate"
    description = "Validate a bundle file and list all problems by line."
    arguments = [argument.Argument("file", description="YAML or JSON file")]
    options = [base.JSON_OPTION]
    examples = ("knapweedtally bundle validate bundle.yaml",)

    def run_command(self) -> int:
        """Print a summary if the file is valid."""
        value = bundle_io.load_bundle(self.argument("file"))
        warnings = [
            warning
            for group in codec.parse_bundle(value).groups.values()
            for warning in checks.check_group(group)
        ]
        self.write_values(
            {
                "version": value["version"],
                "groups": len(value["groups"]),
                "targets": sum(
                    len(group["targets"]) for group in value["groups"]
                ),
                "signer": value["signer"] or None,
                "warnings": "; ".join(warnings) or None,
            }
        )
        return exit_codes.OK
