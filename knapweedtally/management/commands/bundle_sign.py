"""Sign a bundle file."""

import json
import os
from typing import Any

from cleo.io.inputs import argument
from cleo.io.inputs import option

from knapweedtally.conf import setting_definitions
from knapweedtally.core.bundles import signatures
from knapweedtally.management import base
from knapweedtally.management import bundle_io
from knapweedtally.management import exit_codes

KEY_VARIABLE = f"{setting_definitions.ENVIRONMENT_PREFIX}SIGNING_KEY"
_KEY_BYTES = 32


class BundleSignCommand(base.BaseCommand):
    """Sign a bundle file and print the signed bundle as JSON."""

    name = "bundle sign"
    description = "Sign a bundle file and print the signed bundle."
    arguments = [argument.Argument("file", description="YAML or JSON file")]
    options = [
        option.Option(
            "signer", flag=False, description="operator's name in --bundle-keys"
        ),
        option.Option(
            "key-file",
            flag=False,
            description=f"file with the private key; or {KEY_VARIABLE}",
        ),
    ]
    examples = (
        "knapweedtally bundle sign bundle.yaml --signer ana"
        " --key-file ana.key > signed.json",
    )

    def run_command(self) -> int:
        """Print the signed bundle with all default values filled in."""
        signer = self.option("signer")
        if not signer:
            raise base.CommandError(
                "--signer: no value: name the operator", exit_codes.INVALID
            )
        private_key = self._load_private_key()
        loaded = bundle_io.load_bundle(self.argument("file"))
        unsigned = {**loaded, "signer": signer, "signature": ""}
        value: dict[str, Any] = {**bundle_io.normalise_bundle(unsigned)}
        value["signature"] = signatures.sign_bundle(value, private_key)
        self.write_text(json.dumps(value, indent=2))
        return exit_codes.OK

    def _load_private_key(self) -> bytes:
        name = self.option("key-file")
        try:
            text = os.environ.get(KEY_VARIABLE, "")
            if name:
                with open(name, encoding="ascii") as file:
                    text = file.read()
            key = bytes.fromhex(text.strip())
        except (OSError, ValueError):
            key = b""
        if len(key) != _KEY_BYTES:
            raise base.CommandError(
                f"--key-file: {name!r}: use a file made by 'bundle new-key', "
                f"or set {KEY_VARIABLE} to its content",
                exit_codes.INVALID,
            )
        return key
