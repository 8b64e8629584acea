"""Check that a bundle's groups can survive the loss of an instance."""

from knapweedtally.core import model
from knapweedtally.core.failover import rules

MIN_TARGETS = 3


def check_group(group: model.Group) -> list[str]:
    """Return the problems that would prevent a failover of a group.

    Args:
        group: the group as defined in a bundle.

    Returns:
        One sentence for each problem, each with its remedy.
    """
    problems = []
    size = len(group.targets)
    if size < MIN_TARGETS:
        problems.append(
            f"group {group.name} has {size} targets, so writes stop when one"
            f" fails; name at least {MIN_TARGETS}"
        )
    staying = {target.id for target in group.targets} - group.leaving
    if len(staying) < rules.count_majority(size):
        problems.append(
            f"group {group.name} keeps {len(staying)} of {size} targets, which"
            " is no majority; let fewer leave at once"
        )
    centres = {target.data_centre for target in group.targets}
    if size >= MIN_TARGETS and len(centres) == 1:
        problems.append(
            f"group {group.name} has all targets in {centres.pop()}; spread"
            " them over data centres"
        )
    return problems
