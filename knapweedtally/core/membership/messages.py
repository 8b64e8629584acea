"""Messages between proxies over an open link."""

from typing import NamedTuple

from knapweedtally.core import model


class Heartbeat(NamedTuple):
    """Show that the sender is alive when it has nothing else to say."""


class Deltas(NamedTuple):
    """Carry registers that the receiver may not know yet."""

    registers: tuple[model.Register, ...]


class Summary(NamedTuple):
    """Compare whole kinds of registers at once.

    Attributes:
        hashes: hash of the names and versions of each kind, by kind.
    """

    hashes: dict[str, int]


class DigestEntry(NamedTuple):
    """Name one register's version."""

    name: str
    version: tuple[int, ...]


class Digest(NamedTuple):
    """List the versions of one kind within a range of names.

    Attributes:
        kind: kind of the registers.
        first: lowest name of the range, itself included.
        last: highest name of the range, itself included; empty when the
            range has no upper end.
        entries: every register that the sender holds in the range.
        is_reply: whether it answers a digest, and so asks for none back.
    """

    kind: str
    first: str
    last: str
    entries: tuple[DigestEntry, ...]
    is_reply: bool


class ProbeRequest(NamedTuple):
    """Ask the receiver to find out whether a host is alive."""

    target: str


class ProbeAnswer(NamedTuple):
    """Report that a host was heard from since it was asked about."""

    target: str


Message = Heartbeat | Deltas | Summary | Digest | ProbeRequest | ProbeAnswer
