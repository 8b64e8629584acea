"""The primary of a group's latest known term, whether or not it still leads.

While it led, each commit of its term was acknowledged from its log. Its log
therefore has every acknowledged commit, as long as no target leads a later term
and the log wasn't lost. So a group without a primary can be led again from this
log even if other members, which may have held a copy of it, are gone for good.
"""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.core.groups import model


class LastPrimary(NamedTuple):
    """The primary of the latest known term.

    Attributes:
        target: id of the target.
        term: the term that it led.
        position: log position that it had reached when it was first seen to
            lead. A log that ends before it was lost.
    """

    target: str
    term: int
    position: model.Position


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
    return known if known.target in members else found


def can_prove_log(last: LastPrimary | None, known_term: int) -> bool:
    """Return whether the last primary's log has every acknowledged commit.

    Args:
        last: the last primary.
        known_term: highest known term of any member. A primary of a later term
            than the last known one may have acknowledged commits.
    """
    return last is not None and last.term == known_term


def parse_last_primary(fields: Any) -> LastPrimary | None:
    """Return the last primary in a stored record, or None if it has none."""
    try:
        term, number = fields["position"]
        return LastPrimary(
            str(fields["target"]),
            int(fields["term"]),
            model.Position(int(term), int(number)),
        )
    except (KeyError, OverflowError, TypeError, ValueError):
        return None
