"""The rule that decides whether a bundle may replace the one in force."""

import enum

from knapweedtally.core import model


class BundleRelation(enum.Enum):
    """Relation of a bundle to the one in force."""

    OLDER = "older"
    SAME = "same"
    CONFLICTING = "conflicting"
    NEWER = "newer"


def compare_bundles(
    candidate: model.Bundle, in_force: model.Bundle | None
) -> BundleRelation:
    """Compare a bundle with the one in force.

    Only a newer bundle may replace it, so that the version never decreases.
    """
    if in_force is None or candidate.version > in_force.version:
        return BundleRelation.NEWER
    if candidate.version < in_force.version:
        return BundleRelation.OLDER
    if candidate.digest == in_force.digest:
        return BundleRelation.SAME
    return BundleRelation.CONFLICTING
