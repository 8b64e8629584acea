"""Loads for the model."""

from typing import NamedTuple

from bench.placing import model


class Scenario(NamedTuple):
    """Load, and parameters of the hosts and the target.

    Attributes:
        name: name in the results.
        classes: classes of requests.
        layout: hosts and target.
    """

    name: str
    classes: tuple[model.RequestClass, ...]
    layout: model.Layout

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
        model.RequestClass("urgent", 21.5, 0.006, 0.15, 1.0, 1, 2.0, 0.6, 0.25),
        model.RequestClass("aged", 21.5, 0.030, 0.5, 3.0, 2, 1.0, 0.3, 0.10),
        model.RequestClass(
            "session", 100.0, 0.018, 0.25, 1.0, 2, 2.0, 0.3, 0.12
        ),
    ),
    model.Layout(),
)

# The same at the users' small sites: few hosts, and a target with two slots.
OVERLOADED_SMALL = Scenario(
    "crowded primary, few hosts",
    (
        model.RequestClass(
            "urgent", 11.0, 0.0045, 0.12, 2.0, 1, 2.0, 0.6, 0.25
        ),
        model.RequestClass("aged", 11.0, 0.022, 0.4, 6.0, 2, 1.0, 0.3, 0.10),
        model.RequestClass("session", 52.0, 0.014, 0.2, 2.0, 2, 2.0, 0.3, 0.12),
    ),
    model.Layout(hosts=7, slots=2, queue_limit=16),
)

SCENARIOS = (OVERLOADED, OVERLOADED_SMALL)
