"""State of the draining part: this proxy's stop and the leaving targets."""

import dataclasses
import enum
from typing import NamedTuple


class Phase(enum.Enum):
    """Phases of a planned stop, in order."""

    SERVING = "serving"
    ANNOUNCING = "announcing"
    CLOSING = "closing"
    ABORTING = "aborting"
    STOPPED = "stopped"


class TargetState(enum.Enum):
    """Whether a target gets new work; the values order the states.

    A target is ``LISTED`` if the platform lists it as leaving, ``STOPPING`` if
    it reported its own shutdown, and ``GONE`` if it is leaving and no longer
    accepts connections.
    """

    SERVING = 0
    LISTED = 1
    STOPPING = 2
    GONE = 3


class Signal(enum.Enum):
    """Events that can change a target's state."""

    LISTED = "the platform lists it as leaving"
    UNLISTED = "the platform lists it as live"
    REFUSED = "it refused work because it shuts down"
    UNREACHABLE = "it accepts no connection"
    ANSWERED = "it answers probes"


class TargetEntry(NamedTuple):
    """Known state of a target and its version.

    Attributes:
        state: the state.
        version: version of the register that publishes the state.
        at: when this host learned of the state, in seconds.
    """

    state: TargetState
    version: tuple[int, int]
    at: float


class Settings(NamedTuple):
    """Settings of a planned stop.

    Attributes:
        announce_s: time for the load balancer to notice that the proxy is not
            ready, before the proxy refuses connections.
        timeout_s: time for requests in flight to finish, counted from the
            request to stop.
        spread_s: time over which idle callers are asked to leave, so that they
            don't all connect to other hosts at one moment.
    """

    announce_s: float = 1.0
    timeout_s: float = 30.0
    spread_s: float = 1.0


@dataclasses.dataclass(slots=True)
class DrainingState:
    """State of the draining part.

    Attributes:
        settings: settings of a planned stop.
        phase: phase of the planned stop.
        requested_at: when the stop was requested, in seconds.
        target_entries: state of each target that has been leaving, by id.
        bundle_version: version of the bundle that the next three
            attributes were taken from.
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
