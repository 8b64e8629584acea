"""The store of versioned registers; the higher version wins."""

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

# Names, versions and framing of one register on the wire.
OVERHEAD_BYTES = 32

DIGEST_ENTRIES = 1000


def is_newer(
    store: membership_state.RegisterStore, register: model.Register
) -> bool:
    """Return whether a register's version is above the known one."""
    known = store.entries.get((register.kind, register.name))
    return known is None or register.version > known.register.version


def put_register(
    store: membership_state.RegisterStore, register: model.Register
) -> bool:
    """Store a register if it is newer than the known one.

    Returns:
        Whether it was newer and is stored now.
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
    """Forget a register, if there is one."""
    known = store.entries.pop((kind, name), None)
    if known is not None:
        _toggle_hash(store, known.register)


def estimate_size(register: model.Register) -> int:
    """Return the register's size on the wire in bytes, slightly rounded up."""
    return (
        len(cbor2.dumps(register.value)) + len(register.name) + OVERHEAD_BYTES
    )


def is_tombstone(register: model.Register) -> bool:
    """Return whether a register only marks the end of its subject.

    Digests leave tombstones out: a host that never knew the subject needs
    none, and each host forgets them in its own time.
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
    """Yield digests of bounded size that cover a range of names.

    Args:
        store: the store to describe.
        kind: kind of the registers.
        first: lowest name of the range.
        last: highest name of the range; empty for no upper end.
        is_reply: whether the digests answer a peer's digest.
    """
    entries = sorted(
        messages.DigestEntry(entry.register.name, entry.register.version)
        for (entry_kind, name), entry in store.entries.items()
        if entry_kind == kind
        and _is_in_range(name, first, last)
        and not is_tombstone(entry.register)
    )
    for start in range(0, max(len(entries), 1), DIGEST_ENTRIES):
        part = tuple(entries[start : start + DIGEST_ENTRIES])
        is_end = start + DIGEST_ENTRIES >= len(entries)
        part_last = last if is_end else part[-1].name
        yield messages.Digest(kind, first, part_last, part, is_reply)
        # The lowest name above the part.
        first = part_last + "\0"


def list_missing(
    store: membership_state.RegisterStore, digest: messages.Digest
) -> list[membership_state.Key]:
    """Return the keys whose registers the sender of a digest needs."""
    theirs = {entry.name: entry.version for entry in digest.entries}
    return [
        key
        for key, entry in store.entries.items()
        if key[0] == digest.kind
        and _is_in_range(key[1], digest.first, digest.last)
        and _is_missing(entry.register, theirs.get(key[1]))
    ]


def has_newer(
    store: membership_state.RegisterStore,
    kind: str,
    entries: Iterable[messages.DigestEntry],
) -> bool:
    """Return whether a digest's sender holds a register this host needs."""
    for entry in entries:
        known = store.entries.get((kind, entry.name))
        if known is None or known.register.version < entry.version:
            return True
    return False


def _is_in_range(name: str, first: str, last: str) -> bool:
    return first <= name and (not last or name <= last)


def _is_missing(
    register: model.Register, their_version: tuple[int, ...] | None
) -> bool:
    if their_version is None:
        return not is_tombstone(register)
    return their_version < register.version


def _toggle_hash(
    store: membership_state.RegisterStore, register: model.Register
) -> None:
    """Add a register to its kind's hash, or take it out again."""
    if is_tombstone(register):
        return
    text = f"{register.name}\0{register.version}"
    value = hashes.hash_text(text)
    store.hashes[register.kind] = store.hashes.get(register.kind, 0) ^ value
