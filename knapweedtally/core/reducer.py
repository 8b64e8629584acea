"""The reducer, which handles all events and returns effects as data.

``decide`` modifies the given state but has no other side effects: the moment
provides the time and a random number, and the event provides the input.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import decisions as admission
from knapweedtally.core.bundles import decisions as bundles
from knapweedtally.core.draining import decisions as draining_decisions
from knapweedtally.core.failover import decisions as failover
from knapweedtally.core.membership import decisions as membership_decisions
from knapweedtally.core.writes import decisions as writes

Effects = list[effects.Effect]
Handler = Callable[[state_module.ProxyState, model.Moment, Any], Effects]
HandlerTable = Mapping[type, Handler]

# One handler table per part, exported by its decisions.py as HANDLERS.
PART_HANDLER_TABLES: tuple[HandlerTable, ...] = (
    membership_decisions.HANDLERS,
    draining_decisions.HANDLERS,
    failover.HANDLERS,
    bundles.HANDLERS,
    admission.HANDLERS,
    writes.HANDLERS,
)

# Maximum length of a chain of events in which each event raises the next one.
MAX_EVENT_CHAIN = 8


def merge_handler_tables(
    tables: Iterable[HandlerTable],
) -> dict[type, tuple[Handler, ...]]:
    """Return the handlers of each event type, in the order of the tables."""
    merged: dict[type, list[Handler]] = collections.defaultdict(list)
    for table in tables:
        for event_type, handler in table.items():
            merged[event_type].append(handler)
    return {kind: tuple(handlers) for kind, handlers in merged.items()}


HANDLERS = merge_handler_tables(PART_HANDLER_TABLES)


def decide(
    state: state_module.ProxyState, moment: model.Moment, event: Any
) -> Effects:
    """Handle an event and the events that it raises, and return the effects.

    Args:
        state: state of the proxy, changed in place.
        moment: time and random number of this step.
        event: any event of the core or of one of its parts.

    Returns:
        The effects, in the order in which they have to be executed.

    Raises:
        RuntimeError: a chain of raised events exceeds ``MAX_EVENT_CHAIN``.
    """
    result: Effects = []
    pending = collections.deque([(event, 1)])
    while pending:
        current, depth = pending.popleft()
        if depth > MAX_EVENT_CHAIN:
            raise RuntimeError(
                f"{type(current).__name__} is event {depth} of a chain from "
                f"{type(event).__name__}; at most "
                f"{MAX_EVENT_CHAIN} are allowed"
            )
        for handler in HANDLERS.get(type(current), ()):
            for effect in handler(state, moment, current):
                if isinstance(effect, effects.RaiseEvent):
                    pending.append((effect.event, depth + 1))
                else:
                    result.append(effect)
    return result
