"""Fast, non-cryptographic hashes that are the same on every host."""

import xxhash


def hash_text(text: str) -> int:
    """Return a 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode())


def hash_to_unit_interval(text: str) -> float:
    """Return a hash of a text as a number in [0, 1)."""
    return (hash_text(text) >> 11) / 2**53
