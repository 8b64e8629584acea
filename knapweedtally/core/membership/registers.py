"""The store of versioned registers, in which the highest version wins."""

from collections.abc import Iterable
from collections.abc import Iterator

import cbor2

from knapweedtally.core import model
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import state as membership_state
from knapweedtally.utils import hashes

KINDS = ("bundle", "group", "host", "observation", "target")

# A larger register would not fit into one message between peers.
MAX_REGISTER_BYTES = 900_000

# Allowance for the kind, version and framing of one register on the wire.
REGISTER_OVERHEAD_BYTES = 32

MAX_DIGEST_ENTRIES = 1000


def is_newer(
    store: membership_state.RegisterStore, register: model.Register
) -> bool:
    """Return whether a register is unknown or newer than the stored one."""
    known = store.entries.get((register.kind, register.name))
    return known is None or register.version > known.register.version


def put_register(
    store: membership_state.RegisterStore, register: model.Register
) -> bool:
    """Store a register if it is newer than the stored one.

    Returns:
        Whether the register was stored.
    """
    if not is_newer(store, register):
        return False
    remove_register(store, register.kind, register.name)
    size = estimate_size(register)
    key = (register.kind, register.name)
    store.entries[key] = membership_state.StoredRegister(register, size)
    _toggle_hash(store, register)
    return True


def remove_register(
    store: membership_state.RegisterStore, kind: str, name: str
) -> None:
    """Remove a register from the store if it exists."""
    known = store.entries.pop((kind, name), None)
    if known is not None:
        _toggle_hash(store, known.register)


def estimate_size(register: model.Register) -> int:
    """Return the register's approximate size on the wire, in bytes.

    The value is slightly above the real size.
    """
    return (
        len(cbor2.dumps(register.value))
        + len(register.name)
        + REGISTER_OVERHEAD_BYTES
    )


def is_tombstone(register: model.Register) -> bool:
    """Return whether a register only marks a host as dead.

    Digests omit tombstones: a host that never knew the dead host doesn't need
    its tombstone, and each host removes tombstones on its own schedule.
    """
    return (
        register.kind == "host"
        and register.value.get("status") == membership_state.Status.DEAD.value
    )


def build_digests(
    store: membership_state.RegisterStore,
    kind: str,
    first: str = "",
    last: str = "",
    *,
    is_reply: bool = False,
) -> Iterator[messages.Digest]:
    """Yield digests that cover a range of names.

    Each digest has at most ``MAX_DIGEST_ENTRIES`` entries.

    Args:
        store: store whose registers are listed.
        kind: kind of the registers.
        first: lowest name of the range.
        last: highest name of the range; empty for no upper bound.
        is_reply: whether the digests answer a peer's digest.
    """
    entries = sorted(
        messages.DigestEntry(entry.register.name, entry.register.version)
        for (entry_kind, name), entry in store.entries.items()
        if entry_kind == kind
        and _is_in_range(name, first, last)
        and not is_tombstone(entry.register)
    )
    for start in range(0, max(len(entries), 1), MAX_DIGEST_ENTRIES):
        chunk = tuple(entries[start : start + MAX_DIGEST_ENTRIES])
        is_last = start + MAX_DIGEST_ENTRIES >= len(entries)
        chunk_last = last if is_last else chunk[-1].name
        yield messages.Digest(kind, first, chunk_last, chunk, is_reply)
        # The lowest name above the chunk.
        first = chunk_last + "\0"


def list_missing_keys(
    store: membership_state.RegisterStore, digest: messages.Digest
) -> list[membership_state.Key]:
    """Return the keys of registers that a digest's sender doesn't have."""
    peer_versions = {entry.name: entry.version for entry in digest.entries}
    return [
        key
        for key, entry in store.entries.items()
        if key[0] == digest.kind
        and _is_in_range(key[1], digest.first, digest.last)
        and _is_missing(entry.register, peer_versions.get(key[1]))
    ]


def has_newer_entry(
    store: membership_state.RegisterStore,
    kind: str,
    entries: Iterable[messages.DigestEntry],
) -> bool:
    """Return whether a digest's sender has a newer register."""
    for entry in entries:
        known = store.entries.get((kind, entry.name))
        if known is None or known.register.version < entry.version:
            return True
    return False


def _is_in_range(name: str, first: str, last: str) -> bool:
    return first <= name and (not last or name <= last)


def _is_missing(
    register: model.Register, peer_version: tuple[int, ...] | None
) -> bool:
    if peer_version is None:
        return not is_tombstone(register)
    return peer_version < register.version


def _toggle_hash(
    store: membership_state.RegisterStore, register: model.Register
) -> None:
    """Add a register to its kind's hash, or remove it if it is included."""
    if is_tombstone(register):
        return
    text = f"{register.name}\0{register.version}"
    value = hashes.hash_text(text)
    store.hashes[register.kind] = store.hashes.get(register.kind, 0) ^ value
