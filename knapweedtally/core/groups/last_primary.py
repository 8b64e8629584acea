"""The primary of a group's latest known term, whether or not it still leads.

While it led, each commit of its term was acknowledged from its log. Its log
therefore has every acknowledged commit, as long as no target leads a later term
and the log wasn't lost. So a group without a primary can be led again from this
log even if other members, which may have held a copy of it, are gone for good.

The store has the terms for which promotions were requested. If it came back
from an older copy, it may have lost one. A primary then counts only if it was
seen to lead for long enough after that.
"""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model


class LastPrimary(NamedTuple):
    """The primary of the latest known term.

    Attributes:
        target: id of the target.
        term: the term that it led.
        position: log position that it had reached when it was first seen to
            lead. A log that ends before it was lost.
        generation: the latest generation of the store in which it was seen to
            lead after every request of before had lost its effect, or
            ``UNKNOWN_GENERATION``.
    """

    target: str
    term: int
    position: model.Position
    generation: int = store_revisions.UNKNOWN_GENERATION


def confirm(
    last: LastPrimary | None,
    leadership: evidence.Leadership,
    generation: store_revisions.Generation,
) -> LastPrimary | None:
    """Return the last primary, with the generation in which it led for certain.

    Args:
        last: the last primary.
        leadership: evidence about the group's primary.
        generation: the store's generation.
    """
    if last is None or last.generation == generation.number:
        return last
    if (last.target, last.term) != (leadership.target, leadership.term):
        return last
    seen_s = generation.seen_s
    settled_s = change_notices.REQUEST_VALIDITY_S
    if seen_s is None or leadership.primary_seen_s < seen_s + settled_s:
        return last
    return last._replace(generation=generation.number)


def choose_latest(
    known: LastPrimary | None,
    found: LastPrimary | None,
    members: Mapping[str, Any],
) -> LastPrimary | None:
    """Return the one of the later term.

    Args:
        known: what this host knows.
        found: what another host has recorded.
        members: the known members by id. Of two ids for one term, the id of a
            member counts: the other one is its former life.
    """
    if known is None or found is None:
        return known or found
    if known.term != found.term:
        return max(known, found, key=lambda last: last.term)
    chosen = known if known.target in members else found
    return chosen._replace(generation=max(known.generation, found.generation))


def can_prove_log(
    last: LastPrimary | None, known_term: int, generation: int
) -> bool:
    """Return whether the last primary's log has every acknowledged commit.

    Args:
        last: the last primary.
        known_term: highest known term of any member. A primary of a later term
            than the last known one may have acknowledged commits.
        generation: the store's generation.
    """
    return (
        last is not None
        and last.term == known_term
        and last.generation == generation
    )


def format_last_primary(last: LastPrimary) -> dict[str, Any]:
    """Return a last primary as it is stored."""
    fields = last._asdict()
    if last.generation == store_revisions.UNKNOWN_GENERATION:
        del fields["generation"]
    return fields


def parse_last_primary(fields: Any) -> LastPrimary | None:
    """Return the last primary in a stored record, or None if it has none."""
    try:
        term, number = fields["position"]
        return LastPrimary(
            str(fields["target"]),
            int(fields["term"]),
            model.Position(int(term), int(number)),
            int(fields.get("generation", store_revisions.UNKNOWN_GENERATION)),
        )
    except (KeyError, OverflowError, TypeError, ValueError):
        return None
