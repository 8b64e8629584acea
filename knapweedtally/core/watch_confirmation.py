"""Whether a host still knows all changes that the store has made.

A watch call that will never be answered looks like one that waits for a change.
So what a host knows of a kind of objects has to be confirmed from time to time:
by an answer of the store, or by another host that the store has answered. One
host of each data centre asks with short waits and tells the others, since calls
to the store are paid for. A host that nobody confirms asks by itself.
"""

import dataclasses
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from knapweedtally.core import store_revisions

# Time without a confirmation after which a watch is abandoned, in seconds. The
# users' smallest bound for a change is 3 s; the rest of it is for a list.
UNCONFIRMED_AFTER_S = 2.5

# Time for a watch to return a change that another host knows, in seconds.
BEHIND_AFTER_S = 0.5

# Longest wait of a watch call of a host that confirms for others, or that is
# confirmed by no other, in seconds.
CONFIRMING_WAIT_S = 1.0

# Shortest interval between two messages to the same hosts, in seconds.
SEND_INTERVAL_S = 0.5


# Name of the item of a message with the store's generation.
GENERATION_ITEM = "generation"


class MalformedConfirmation(ValueError):  # noqa: N818 - named after the cause
    """A message has no confirmations."""


class Confirmation(NamedTuple):
    """What a host tells others of the objects of one kind.

    Attributes:
        kind: kind of the objects.
        changed_revision: highest revision of an object that the host has seen.
        age_s: how long before the message the store had no later change.
    """

    kind: str
    changed_revision: store_revisions.Revision
    age_s: float


@dataclasses.dataclass(slots=True)
class State:
    """What a host knows of the objects of one kind.

    Attributes:
        position: revision up to which all changes are known, or None before
            the first list.
        changed_revision: highest revision of an object that was seen.
        read_s: latest time of which an answer of the store to this host shows
            the objects, or None.
        confirmed_s: the same for an answer to any host.
        heard_s: when another host last confirmed what this host knows.
        awaited_revision: revision that another host has seen and this host
            doesn't know, or None.
        awaited_since_s: since when it is awaited.
        unknown_revision: the highest awaited revision that the store, when it
            was asked, didn't have.
    """

    position: store_revisions.Revision | None = None
    changed_revision: store_revisions.Revision = store_revisions.NO_REVISION
    read_s: float | None = None
    confirmed_s: float | None = None
    heard_s: float = float("-inf")
    awaited_revision: store_revisions.Revision | None = None
    awaited_since_s: float = 0.0
    unknown_revision: store_revisions.Revision = store_revisions.NO_REVISION


def record_answer(
    state: State,
    position: store_revisions.Revision,
    changed_revision: store_revisions.Revision,
    shown_s: float,
) -> None:
    """Record a list, or the answer to a watch.

    Args:
        state: the state.
        position: revision up to which all changes are known now.
        changed_revision: highest revision of an object in the answer, or
            ``NO_REVISION``.
        shown_s: latest time of which the answer certainly shows the objects.
    """
    state.position = position
    state.changed_revision = max(state.changed_revision, changed_revision)
    state.read_s = _latest(state.read_s, shown_s)
    state.confirmed_s = _latest(state.confirmed_s, shown_s)
    awaited, state.awaited_revision = state.awaited_revision, None
    if awaited is not None and awaited > position:
        # Another host would otherwise have this one ask again and again.
        state.unknown_revision = awaited


def record_confirmation(
    state: State,
    changed_revision: store_revisions.Revision,
    shown_s: float,
    now_s: float,
) -> None:
    """Record what another host has said of the objects.

    A host that has seen a later generation of the store knows a later change.
    One that has seen an earlier generation only confirms nothing.

    Args:
        state: the state.
        changed_revision: highest revision of an object that it has seen.
        shown_s: this host's time at which the store had no later change.
        now_s: the current time.
    """
    if state.position is None:
        return
    if changed_revision.generation < state.position.generation:
        return
    if changed_revision <= state.position:
        state.confirmed_s = _latest(state.confirmed_s, shown_s)
        state.heard_s = now_s
    elif changed_revision > state.unknown_revision:
        if state.awaited_revision is None:
            state.awaited_since_s = now_s
            state.awaited_revision = changed_revision
        state.awaited_revision = max(state.awaited_revision, changed_revision)


def compute_wait_s(
    state: State, longest_s: float, is_confirming: bool, now_s: float
) -> float:
    """Return how long the next watch call waits for a change.

    Args:
        state: the state.
        longest_s: longest wait that the store's history allows.
        is_confirming: whether this host confirms for others.
        now_s: the current time.
    """
    is_heard = now_s - state.heard_s < UNCONFIRMED_AFTER_S
    if is_heard and not is_confirming:
        return longest_s
    return min(longest_s, CONFIRMING_WAIT_S)


def compute_deadline_s(state: State, asked_s: float) -> float:
    """Return when a watch call is abandoned unless something confirms it.

    Args:
        state: the state.
        asked_s: when the call was sent.
    """
    confirmed_s = _latest(state.confirmed_s, asked_s)
    deadline_s = confirmed_s + UNCONFIRMED_AFTER_S
    if state.awaited_revision is not None:
        awaited_s = max(asked_s, state.awaited_since_s)
        deadline_s = min(deadline_s, awaited_s + BEHIND_AFTER_S)
    return deadline_s


def make_confirmation(
    state: State, kind: str, now_s: float
) -> Confirmation | None:
    """Return what to tell other hosts, or None before the first list."""
    if state.read_s is None or state.position is None:
        return None
    age_s = max(0.0, now_s - state.read_s)
    # Without an object in this generation no number has to be known.
    generation = state.position.generation
    changed_revision = max(
        state.changed_revision, store_revisions.Revision(generation, 0)
    )
    return Confirmation(kind, changed_revision, age_s)


def encode_confirmations(
    confirmations: Sequence[Confirmation],
) -> list[list[Any]]:
    """Return the form of a message, with ages in whole microseconds.

    All are of one generation of the store, the newest; its item has the form of
    a kind, which earlier builds don't know and pass over.
    """
    generation = max(
        (c.changed_revision.generation for c in confirmations),
        default=store_revisions.UNKNOWN_GENERATION,
    )
    items: list[list[Any]] = [
        [c.kind, c.changed_revision.number, round(c.age_s * 1e6)]
        for c in confirmations
        if c.changed_revision.generation == generation
    ]
    if generation != store_revisions.UNKNOWN_GENERATION:
        items.append([GENERATION_ITEM, generation, 0])
    return items


def parse_confirmations(items: Any) -> list[Confirmation]:
    """Return the confirmations in a message.

    Raises:
        MalformedConfirmation: an item is malformed.
    """
    if not isinstance(items, list) or not all(map(_is_item, items)):
        raise MalformedConfirmation("expected a kind, a number and an age each")
    generation = max(
        (number for kind, number, _ in items if kind == GENERATION_ITEM),
        default=store_revisions.UNKNOWN_GENERATION,
    )
    return [
        Confirmation(
            kind, store_revisions.Revision(generation, number), age_us / 1e6
        )
        for kind, number, age_us in items
        if kind != GENERATION_ITEM
    ]


def _is_item(item: Any) -> bool:
    if not isinstance(item, list) or len(item) != 3:
        return False
    kind, number, age_us = item
    if not isinstance(kind, str):
        return False
    if type(number) is not int or type(age_us) is not int:
        return False
    return number >= 0 and 0 <= age_us < 2**53


def _latest(known_s: float | None, time_s: float) -> float:
    return time_s if known_s is None else max(known_s, time_s)
