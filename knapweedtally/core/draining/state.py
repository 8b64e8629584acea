"""State of the draining part: this proxy's stop and the leaving targets."""

import dataclasses
import enum
from typing import NamedTuple


class Phase(enum.Enum):
    """Name the steps of a planned stop."""

    SERVING = "serving"
    ANNOUNCING = "announcing"
    CLOSING = "closing"
    STOPPED = "stopped"


class TargetState(enum.Enum):
    """Tell whether a target gets new work; the rank orders the states.

    ``LISTED`` is a target that the platform lists as leaving, ``STOPPING``
    one that said itself that it shuts down, ``GONE`` a leaving one that
    accepts no connection any more.
    """

    SERVING = 0
    LISTED = 1
    STOPPING = 2
    GONE = 3


class Signal(enum.Enum):
    """Name what can change a target's state."""

    LISTED = "the platform lists it as leaving"
    UNLISTED = "the platform lists it as live"
    REFUSED = "it refused work because it shuts down"
    UNREACHABLE = "it accepts no connection"
    ANSWERED = "it answers probes"


class TargetEntry(NamedTuple):
    """Hold a target's state.

    Attributes:
        state: the state.
        version: version of the register that spreads it.
        at: when this host learned of it.
    """

    state: TargetState
    version: tuple[int, int]
    at: float


class Settings(NamedTuple):
    """Hold the settings of a planned stop.

    Attributes:
        announce_s: time for the balancer to notice that the proxy is not
            ready, before it refuses connections.
        timeout_s: time that requests in flight get to finish, from the
            request to stop on.
    """

    announce_s: float = 1.0
    timeout_s: float = 30.0


@dataclasses.dataclass(slots=True)
class DrainingState:
    """Hold what the draining part knows.

    Attributes:
        settings: settings of a planned stop.
        phase: step of the planned stop.
        requested_at: when the stop was asked for.
        target_entries: targets that were leaving at some time, by id.
        bundle_version: bundle that the next three attributes stem from.
        bundle_leaving: targets that the bundle lists as leaving.
        target_ids: ids of all targets.
        addresses: ids of targets by address and port.
    """

    settings: Settings = Settings()
    phase: Phase = Phase.SERVING
    requested_at: float = 0.0
    target_entries: dict[str, TargetEntry] = dataclasses.field(
        default_factory=dict
    )
    bundle_version: int = 0
    bundle_leaving: frozenset[str] = frozenset()
    target_ids: frozenset[str] = frozenset()
    addresses: dict[tuple[str, int], str] = dataclasses.field(
        default_factory=dict
    )
