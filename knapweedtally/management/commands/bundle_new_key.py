"""Generate a key for signing bundles."""

import os
import secrets

from cleo.io.inputs import argument
from cleo.io.inputs import option

from knapweedtally.core.bundles import signatures
from knapweedtally.management import base
from knapweedtally.management import exit_codes

_KEY_BYTES = 32
_OWNER_ONLY_MODE = 0o600


class BundleNewKeyCommand(base.BaseCommand):
    """Generate a private key and print its public key."""

    name = "bundle new-key"
    description = (
        "Generate a signing key and print its entry for --bundle-keys."
    )
    arguments = [argument.Argument("signer", description="operator's name")]
    options = [
        option.Option(
            "key-file", flag=False, description="new file for the private key"
        ),
        base.JSON_OPTION,
    ]
    examples = ("knapweedtally bundle new-key ana --key-file ana.key",)

    def run_command(self) -> int:
        """Write the private key to a new file readable only by its owner."""
        name = self.option("key-file")
        if not name:
            raise base.CommandError(
                "--key-file: no value: name a new file", exit_codes.INVALID
            )
        private_key = secrets.token_bytes(_KEY_BYTES)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        try:
            descriptor = os.open(name, flags, _OWNER_ONLY_MODE)
        except OSError as error:
            raise base.CommandError(
                f"--key-file: {name!r}: {error.strerror}; name a new file",
                exit_codes.INVALID,
            ) from error
        with os.fdopen(descriptor, "w") as file:
            file.write(private_key.hex() + "\n")
        public_key = signatures.derive_public_key(private_key).hex()
        signer = self.argument("signer")
        self.write_values({"bundle-keys": f"{signer}:{public_key}"})
        return exit_codes.OK
