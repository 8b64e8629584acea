"""The rule that keeps new work from leaving targets."""

from knapweedtally.core import model
from knapweedtally.core import state as state_module


def is_leaving(
    state: state_module.ProxyState, target: str, group: model.Group
) -> bool:
    """Return whether a target gets no new work.

    Args:
        state: state of the proxy.
        target: id of the target.
        group: the target's group.
    """
    return target in group.leaving
