"""The rule that keeps an accepted bundle in force."""

import enum

from knapweedtally.core import model


class Standing(enum.Enum):
    """Tell how a bundle relates to the one in force."""

    OLDER = "older"
    SAME = "same"
    CONFLICTING = "conflicting"
    NEWER = "newer"


def compare_bundles(
    candidate: model.Bundle, in_force: model.Bundle | None
) -> Standing:
    """Return how a bundle relates to the one in force.

    Only a newer one may take its place, so that a version never goes back.
    """
    if in_force is None or candidate.version > in_force.version:
        return Standing.NEWER
    if candidate.version < in_force.version:
        return Standing.OLDER
    if candidate.digest == in_force.digest:
        return Standing.SAME
    return Standing.CONFLICTING
