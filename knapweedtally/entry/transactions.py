"""A caller's open transaction."""

import dataclasses

from knapweedtally.core.groups import model
from knapweedtally.core.groups import statements
from knapweedtally.entry import connections


@dataclasses.dataclass(slots=True, eq=False)
class Transaction:
    """Hold a caller's open transaction.

    Attributes:
        begin: the statement that began it.
        arrived_s: when that arrived.
        route: its route, fixed from the begin to the end.
        connection: connection that it owns, or None before its first use.
        target: id of the connection's target.
        has_written: whether a write was sent in it.
        is_failed: whether it can only be ended.
        abort_reason: why the host ended it, to be told next; or empty.
        rest_since_s: when its last statement ended.
    """

    begin: statements.Statement
    arrived_s: float
    route: model.Route
    connection: connections.Connection | None = None
    target: str = ""
    has_written: bool = False
    is_failed: bool = False
    abort_reason: str = ""
    rest_since_s: float = 0.0
