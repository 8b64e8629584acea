"""Check a bundle's file."""

from cleo.io.inputs import argument

from knapweedtally.core.bundles import codec
from knapweedtally.core.failover import checks
from knapweedtally.management import base
from knapweedtally.management import bundle_options
from knapweedtally.management import exit_codes


class BundleValidateCommand(base.BaseCommand):
    """Check a bundle's file and name all mistakes with their lines."""

    name = "bundle validate"
    description = "Check a bundle's file and name all mistakes by line."
    arguments = [argument.Argument("file", description="YAML or JSON file")]
    options = [base.JSON_OPTION]
    examples = ("knapweedtally bundle validate bundle.yaml",)

    def run_command(self) -> int:
        """Print a summary when the file is right."""
        value = bundle_options.load_file(self.argument("file"))
        warnings = [
            warning
            for group in codec.parse_bundle(value).groups.values()
            for warning in checks.check_group(group)
        ]
        self.write_values(
            {
                "version": value["version"],
                "groups": len(value["groups"]),
                "targets": sum(len(g["targets"]) for g in value["groups"]),
                "signer": value["signer"] or None,
                "warnings": "; ".join(warnings) or None,
            }
        )
        return exit_codes.OK
