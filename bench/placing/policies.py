"""Policies for the model, on the product's own decisions, and their bound."""

import random
from collections.abc import Callable

from bench.placing import model
from bench.placing import scenarios
from knapweedtally.core.groups import crowding
from knapweedtally.core.groups import questions
from knapweedtally.entry import attempts

# Time in a slot of a question about a target's status.
QUESTION_S = 0.0005

Maker = Callable[[random.Random, crowding.Crowding], model.Policy]


class RepeatAtOnce:
    """Send everything, and what found no room again at once."""

    def __init__(
        self, chances: random.Random, crowd: crowding.Crowding
    ) -> None:
        """Make a host without requests."""
        self._chances = chances
        self._crowd = crowd
        self._sent: list[model.Request] = []
        self._refused: list[model.Request] = []

    def add(self, request: model.Request, now_s: float) -> None:
        """Take a request."""
        self._sent.append(request)

    def note_refusal(self, request: model.Request) -> None:
        """Take back a request for which the target had no room."""
        is_last = request.attempts >= attempts.MAX_ATTEMPTS
        (self._refused if is_last else self._sent).append(request)

    def next_actions(self) -> model.Actions:
        """Return what to send and what to refuse now."""
        actions = model.Actions(self._sent, self._refused)
        self._sent, self._refused = [], []
        return actions


class RefuseEarly(RepeatAtOnce):
    """Refuse a share of the new requests while the target is crowded."""

    def add(self, request: model.Request, now_s: float) -> None:
        """Take a request, or refuse it at once."""
        priority = request.kind.priority
        crowding.note_request(self._crowd, priority)
        is_refused = crowding.should_refuse(
            self._crowd, priority, self._chances.random(), now_s
        )
        (self._refused if is_refused else self._sent).append(request)


POLICIES: dict[str, Maker] = {
    "repeat at once": RepeatAtOnce,
    "refuse early": RefuseEarly,
}


def make_model(
    make_policy: Maker, scenario: scenarios.Scenario, seed: int
) -> model.Model:
    """Return a model whose hosts share what one of them measures."""
    crowd = crowding.Crowding()
    made = model.Model(
        scenario.classes,
        scenario.layout,
        lambda chances: make_policy(chances, crowd),
        seed,
    )

    def note_wait(has_run: bool, wait_s: float, now_s: float) -> None:
        if not has_run:
            wait_s = max(wait_s, crowding.FULL_WAIT_S)
        crowding.note_wait(crowd, wait_s, now_s)

    made.ask_regularly(questions.ASK_AFTER_S, QUESTION_S, note_wait)
    return made


def find_bound(run: model.Model, duration_s: float) -> float:
    """Return a share of worth that no policy exceeds.

    The slots' whole time goes to the operations that are worth most for each
    second in a slot, all of them known before and answered in time.
    """
    kinds = {kind.name: kind for kind in run.classes}
    left_s = run.layout.slots * (
        duration_s + max(kind.deadline_s for kind in kinds.values())
    )
    operations = sorted(
        ((sum(works_s), kinds[name].worth) for name, works_s in run.arrivals),
        key=lambda item: item[0] / item[1],
    )
    earned = 0.0
    for work_s, worth in operations:
        earned += worth * min(1.0, max(0.0, left_s / work_s))
        left_s -= work_s
    owed = sum(worth for _, worth in operations)
    return earned / owed if owed else 1.0
