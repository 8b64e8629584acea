"""Factories of core values for tests."""

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import events as admission_events
from knapweedtally.core.admission import state as admission_state

GROUP = "fog"
TARGETS = ("fog-a", "fog-b", "fog-c")
DATA_CENTRES = ("norte", "sur", "archivo")


def make_group(**changes: object) -> model.Group:
    """Return a group of three targets in three data centres.

    Args:
        changes: fields of the group to replace.
    """
    targets = tuple(
        model.Target(name, "127.0.0.1", 1, data_centre)
        for name, data_centre in zip(TARGETS, DATA_CENTRES, strict=True)
    )
    return model.Group(GROUP, targets)._replace(**changes)  # type: ignore


def make_state(**changes: object) -> state_module.ProxyState:
    """Return the state of a proxy in norte; the primary of its group is fog-a.

    Args:
        changes: fields of the group to replace.
    """
    state = state_module.ProxyState(
        state_module.Identity("norte-1", "norte", 1)
    )
    group = make_group(**changes)
    state.directory.set_bundle(model.Bundle(1, "d", {GROUP: group}))
    state.directory.records[GROUP] = model.GroupRecord(
        1, 1, model.Phase.OPEN, TARGETS[0], "op"
    )
    return state


def make_arrival(
    request: int,
    kind: admission_state.RequestKind,
    *,
    position: model.Position | None = None,
    key: str = "",
    caller: str = "ana",
    session: int = 1,
) -> admission_events.RequestArrived:
    """Return the event that a request has arrived."""
    return admission_events.RequestArrived(
        request, session, caller, GROUP, kind, None, frozenset(), position, key
    )


def make_request(
    kind: admission_state.RequestKind,
    max_age_ms: int,
    position: model.Position | None,
) -> admission_state.Request:
    """Return a request as the admission state stores it."""
    return admission_state.Request(
        1, 1, "ana", GROUP, kind, max_age_ms, position, "", 0.0, 5.0
    )


def find_effects(result: list[effects.Effect], kind: type) -> list[object]:
    """Return the effects of one type."""
    return [effect for effect in result if isinstance(effect, kind)]
