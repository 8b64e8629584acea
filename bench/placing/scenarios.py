"""Loads for the model."""

from typing import NamedTuple

from bench.placing import operations
from bench.placing import teams


class Scenario(NamedTuple):
    """Load, and parameters of the hosts and the target.

    Attributes:
        name: name in the results.
        classes: classes of requests.
        layout: hosts and target.
        demand: the teams that send the requests, or None without teams.
    """

    name: str
    classes: tuple[operations.RequestClass, ...]
    layout: operations.Layout
    demand: teams.Demand | None = None

    def scale(self, load: float) -> "Scenario":
        """Return the scenario with all arrival rates multiplied."""
        classes = tuple(
            request_class._replace(rate=request_class.rate * load)
            for request_class in self.classes
        )
        return self._replace(classes=classes)


# One group of the users' larger deployment while the lag of its replicas
# exceeds what any caller accepts, so that its primary serves all reads.
OVERLOADED = Scenario(
    "crowded primary",
    (
        operations.RequestClass(
            "urgent", 21.5, 0.006, 0.15, 1.0, 1, 2.0, 0.6, 0.25
        ),
        operations.RequestClass(
            "aged", 21.5, 0.030, 0.5, 3.0, 2, 1.0, 0.3, 0.10
        ),
        operations.RequestClass(
            "session", 100.0, 0.018, 0.25, 1.0, 2, 2.0, 0.3, 0.12
        ),
    ),
    operations.Layout(),
)

# The same at the users' small sites: few hosts, and a target with two slots.
OVERLOADED_SMALL = Scenario(
    "crowded primary, few hosts",
    (
        operations.RequestClass(
            "urgent", 11.0, 0.0045, 0.12, 2.0, 1, 2.0, 0.6, 0.25
        ),
        operations.RequestClass(
            "aged", 11.0, 0.022, 0.4, 6.0, 2, 1.0, 0.3, 0.10
        ),
        operations.RequestClass(
            "session", 52.0, 0.014, 0.2, 2.0, 2, 2.0, 0.3, 0.12
        ),
    ),
    operations.Layout(hosts=7, slots=2, queue_limit=16),
)

SCENARIOS = (OVERLOADED, OVERLOADED_SMALL)

# The primary of one of the four groups of the users' deployment for tolling: a
# quarter of its operations, of which the primary gets all but the reads of a
# stated age, which its two replicas share. Slots are in use for 0.73 of the
# time. Three holders have five connections each.
TOLLING = Scenario(
    "tolling, usual load",
    (
        operations.RequestClass(
            "urgent", 44.8, 0.006, 0.153, 2.5, 0, 2.0, 0.6, 0.325
        ),
        operations.RequestClass(
            "aged", 15.0, 0.030, 1.003, 8.0, 2, 1.0, 0.3, 0.10
        ),
        operations.RequestClass(
            "session", 44.8, 0.018, 0.253, 2.5, 1, 2.0, 0.3, 0.12
        ),
    ),
    operations.Layout(
        hosts=3,
        slots=4,
        target_latency_s=0.0014,
        connections=5,
        statement_counts=(2, 12),
    ),
    teams.Demand(80, 1.2),
)

_BURST = teams.Surge(3.0, 3.0, 1.7)
_HOT_TEAM = teams.Surge(3.0, 6.5, 7.5, team=0)

TOLLING_BURST = TOLLING._replace(
    name="tolling, many callers at once",
    demand=teams.Demand(80, 1.2, (_BURST,)),
)
TOLLING_HOT_TEAM = TOLLING._replace(
    name="tolling, one team sends 7.5 times its load",
    demand=teams.Demand(80, 1.2, (_HOT_TEAM,)),
)
TOLLING_BOTH = TOLLING._replace(
    name="tolling, both at once",
    demand=teams.Demand(80, 1.2, (_BURST, _HOT_TEAM)),
)

TEAM_SCENARIOS = (TOLLING, TOLLING_BURST, TOLLING_HOT_TEAM, TOLLING_BOTH)
