"""Messages between proxies over an open link."""

from typing import NamedTuple

from knapweedtally.core import model


class Heartbeat(NamedTuple):
    """Show that the sender is alive while its link is otherwise idle."""


class Deltas(NamedTuple):
    """Transfer registers that the receiver may not have yet."""

    registers: tuple[model.Register, ...]


class Summary(NamedTuple):
    """Summarise all registers of each kind as one hash.

    Attributes:
        hashes: hash of the names and versions of each kind, by kind.
    """

    hashes: dict[str, int]


class DigestEntry(NamedTuple):
    """Name and version of one register."""

    name: str
    version: tuple[int, ...]


class Digest(NamedTuple):
    """List the versions of registers of one kind in a range of names.

    Attributes:
        kind: kind of the registers.
        first: lowest name of the range, inclusive.
        last: highest name of the range, inclusive; empty when the range has
            no upper bound.
        entries: every register, except tombstones, that the sender has in the
            range.
        is_reply: whether it answers a digest; the receiver sends no digest in
            return.
    """

    kind: str
    first: str
    last: str
    entries: tuple[DigestEntry, ...]
    is_reply: bool


class ProbeRequest(NamedTuple):
    """Ask the receiver to probe a host indirectly."""

    target: str


class ProbeAnswer(NamedTuple):
    """Report that the target has been heard from since the request."""

    target: str


Message = Heartbeat | Deltas | Summary | Digest | ProbeRequest | ProbeAnswer
