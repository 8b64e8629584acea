"""Whether a host still knows all changes that the store has made.

A watch call that will never be answered looks like one that waits for a change.
So what a host knows of a kind of objects has to be confirmed from time to time:
by an answer of the store, or by another host that the store has answered. One
host of each data centre asks with short waits and tells the others, since calls
to the store are paid for. A host that nobody confirms asks by itself.
"""

import dataclasses
from typing import Any
from typing import NamedTuple

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


class Confirmation(NamedTuple):
    """What a host tells others of the objects of one kind.

    Attributes:
        kind: kind of the objects.
        changed_revision: highest revision of an object that the host has seen.
        age_s: how long before the message the store had no later change.
    """

    kind: str
    changed_revision: int
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
            doesn't know, or 0.
        awaited_since_s: since when it is awaited.
        unknown_revision: the highest awaited revision that the store, when it
            was asked, didn't have.
    """

    position: int | None = None
    changed_revision: int = 0
    read_s: float | None = None
    confirmed_s: float | None = None
    heard_s: float = float("-inf")
    awaited_revision: int = 0
    awaited_since_s: float = 0.0
    unknown_revision: int = 0


def record_answer(
    state: State, position: int, changed_revision: int, shown_s: float
) -> None:
    """Record a list, or the answer to a watch.

    Args:
        state: the state.
        position: revision up to which all changes are known now.
        changed_revision: highest revision of an object in the answer, or 0.
        shown_s: latest time of which the answer certainly shows the objects.
    """
    state.position = position
    state.changed_revision = max(state.changed_revision, changed_revision)
    state.read_s = _latest(state.read_s, shown_s)
    state.confirmed_s = _latest(state.confirmed_s, shown_s)
    if state.awaited_revision > position:
        # Another host would otherwise have this one ask again and again.
        state.unknown_revision = state.awaited_revision
    state.awaited_revision = 0


def record_confirmation(
    state: State, changed_revision: int, shown_s: float, now_s: float
) -> None:
    """Record what another host has said of the objects.

    Args:
        state: the state.
        changed_revision: highest revision of an object that it has seen.
        shown_s: this host's time at which the store had no later change.
        now_s: the current time.
    """
    if state.position is None:
        return
    if changed_revision <= state.position:
        state.confirmed_s = _latest(state.confirmed_s, shown_s)
        state.heard_s = now_s
    elif changed_revision > state.unknown_revision:
        if not state.awaited_revision:
            state.awaited_since_s = now_s
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
    if state.awaited_revision:
        awaited_s = max(asked_s, state.awaited_since_s)
        deadline_s = min(deadline_s, awaited_s + BEHIND_AFTER_S)
    return deadline_s


def make_confirmation(
    state: State, kind: str, now_s: float
) -> Confirmation | None:
    """Return what to tell other hosts, or None before the first list."""
    if state.read_s is None:
        return None
    age_s = max(0.0, now_s - state.read_s)
    return Confirmation(kind, state.changed_revision, age_s)


def encode_confirmation(confirmation: Confirmation) -> list[Any]:
    """Return the form of a message, with the age in whole microseconds."""
    age_us = round(confirmation.age_s * 1e6)
    return [confirmation.kind, confirmation.changed_revision, age_us]


def parse_confirmation(item: Any) -> Confirmation | None:
    """Return the confirmation in a message, or None if it is malformed."""
    if not isinstance(item, list) or len(item) != 3:
        return None
    kind, changed_revision, age_us = item
    if not isinstance(kind, str):
        return None
    if type(changed_revision) is not int or type(age_us) is not int:
        return None
    if changed_revision < 0 or not 0 <= age_us < 2**53:
        return None
    return Confirmation(kind, changed_revision, age_us / 1e6)


def _latest(known_s: float | None, time_s: float) -> float:
    return time_s if known_s is None else max(known_s, time_s)
