"""Loads that the model plays."""

from typing import NamedTuple

from bench.placing import model


class Scenario(NamedTuple):
    """Hold what callers want of which target.

    Attributes:
        name: its name.
        classes: kinds of requests.
        layout: hosts and target.
    """

    name: str
    classes: tuple[model.RequestClass, ...]
    layout: model.Layout

    def scale(self, load: float) -> "Scenario":
        """Return the same with all rates multiplied."""
        classes = tuple(
            kind._replace(rate=kind.rate * load) for kind in self.classes
        )
        return self._replace(classes=classes)


# One group of the users' larger deployment while its replicas lag by more than
# any caller accepts, so that its primary serves all reads.
CROWDED = Scenario(
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

# The same on the users' small sites: few hosts, and a target of two slots.
CROWDED_SMALL = Scenario(
    "crowded primary, few hosts",
    (
        model.RequestClass(
            "urgent", 11.0, 0.0045, 0.12, 2.0, 1, 2.0, 0.6, 0.25
        ),
        model.RequestClass("aged", 11.0, 0.022, 0.4, 6.0, 2, 1.0, 0.3, 0.10),
        model.RequestClass("session", 52.0, 0.014, 0.2, 2.0, 2, 2.0, 0.3, 0.12),
    ),
    model.Layout(hosts=7, slots=2, queue=16),
)

SCENARIOS = (CROWDED, CROWDED_SMALL)
