"""Ed25519 signatures of bundles.

``cryptography`` is imported on first use, because only the acceptance of a
bundle and the commands that sign or verify one need it.
"""

from collections.abc import Mapping
from typing import Any

from knapweedtally.core.bundles import codec


def verify_signature(value: dict[str, Any], keys: Mapping[str, bytes]) -> str:
    """Verify the signature of a plain form with the operators' keys.

    Args:
        value: plain form that ``codec.parse_bundle`` accepts.
        keys: raw public keys of 32 bytes, by name of the operator.

    Returns:
        Reason why the signature is invalid, or an empty string.
    """
    from cryptography import exceptions
    from cryptography.hazmat.primitives.asymmetric import ed25519

    key = keys.get(value["signer"])
    if key is None:
        return f"signer {value['signer']!r} has no key in bundle-keys"
    try:
        signature = bytes.fromhex(value.get("signature", ""))
        public_key = ed25519.Ed25519PublicKey.from_public_bytes(key)
        public_key.verify(signature, codec.get_canonical_bytes(value))
    except (TypeError, ValueError):
        return "signature is not hexadecimal"
    except exceptions.InvalidSignature:
        return f"signature does not verify with the key of {value['signer']!r}"
    return ""


def sign_bundle(value: dict[str, Any], private_key: bytes) -> str:
    """Return the signature of a plain form in hexadecimal.

    Args:
        value: plain form with its version, signer and groups.
        private_key: raw private key of 32 bytes.
    """
    from cryptography.hazmat.primitives.asymmetric import ed25519

    key = ed25519.Ed25519PrivateKey.from_private_bytes(private_key)
    return key.sign(codec.get_canonical_bytes(value)).hex()


def derive_public_key(private_key: bytes) -> bytes:
    """Return the raw public key of 32 bytes of a raw private key."""
    from cryptography.hazmat.primitives.asymmetric import ed25519

    key = ed25519.Ed25519PrivateKey.from_private_bytes(private_key)
    return key.public_key().public_bytes_raw()
