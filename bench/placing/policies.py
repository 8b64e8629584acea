"""Policies for the model, and the upper bound of their utility.

The policies call the same functions as the entry hosts.
"""

import random
from collections.abc import Callable

from bench.placing import model
from bench.placing import operations
from bench.placing import scenarios
from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import status_polling
from knapweedtally.entry.pools import requests

# Time that a status poll of a target occupies a slot.
POLL_SERVICE_TIME_S = 0.0005

PolicyFactory = Callable[
    [random.Random, load_shedding.LoadShedding], operations.Policy
]


class RetryImmediately:
    """Policy that sends all requests and retries rejected ones at once."""

    def __init__(
        self,
        random_source: random.Random,
        shedding_state: load_shedding.LoadShedding,
    ) -> None:
        """Create the policy of a host without requests.

        Args:
            random_source: source of the decisions that are drawn.
            shedding_state: state that all hosts share.
        """
        self._random = random_source
        self._shedding_state = shedding_state
        self._sent: list[operations.Request] = []
        self._refused: list[operations.Request] = []

    def add_request(self, request: operations.Request, now_s: float) -> None:
        """Queue a request to be sent to the target."""
        self._sent.append(request)

    def record_rejection(self, request: operations.Request) -> None:
        """Retry a request that the target rejected, or refuse it."""
        is_last = request.attempts >= requests.MAX_ATTEMPTS
        (self._refused if is_last else self._sent).append(request)

    def record_end(self, request: operations.Request, now_s: float) -> None:
        """Do nothing: the number of sent requests isn't limited."""

    def take_actions(self) -> operations.Actions:
        """Remove and return the requests to send and to refuse now."""
        actions = operations.Actions(self._sent, self._refused)
        self._sent, self._refused = [], []
        return actions


class RefuseEarly(RetryImmediately):
    """Policy that refuses a share of new requests under overload."""

    def add_request(self, request: operations.Request, now_s: float) -> None:
        """Queue a request to be sent, or refuse it at once."""
        priority = request.request_class.priority
        load_shedding.record_priority(self._shedding_state, priority)
        is_refused = load_shedding.should_refuse(
            self._shedding_state, priority, self._random.random(), now_s
        )
        (self._refused if is_refused else self._sent).append(request)


POLICIES: dict[str, PolicyFactory] = {
    "repeat at once": RetryImmediately,
    "refuse early": RefuseEarly,
}


def make_model(
    make_policy: PolicyFactory, scenario: scenarios.Scenario, seed: int
) -> model.Model:
    """Return a model whose hosts share one measurement of the waiting time."""
    shedding_state = load_shedding.LoadShedding()
    made_model = model.Model(
        scenario.classes,
        scenario.layout,
        lambda random_source: make_policy(random_source, shedding_state),
        seed,
        scenario.demand,
    )

    def record_wait(has_run: bool, wait_s: float, now_s: float) -> None:
        if not has_run:
            wait_s = max(wait_s, load_shedding.FULL_QUEUE_DELAY_S)
        load_shedding.record_queueing_delay(shedding_state, wait_s, now_s)

    made_model.poll_status(
        status_polling.POLLER_MAX_EVIDENCE_AGE_S,
        POLL_SERVICE_TIME_S,
        record_wait,
    )
    return made_model


def compute_utility_bound(run: model.Model, duration_s: float) -> float:
    """Return an upper bound of the earned share of the total utility.

    The bound spends the whole time of the slots on the operations with the
    highest utility per second in a slot. It assumes that all operations are
    known in advance and answered within their objectives.
    """
    request_classes = {
        request_class.name: request_class for request_class in run.classes
    }
    free_slot_time_s = run.layout.slots * (
        duration_s
        + max(
            request_class.deadline_s
            for request_class in request_classes.values()
        )
    )
    operations = sorted(
        (
            (sum(service_times_s), request_classes[name].utility)
            for name, service_times_s, _ in run.arrivals
        ),
        key=lambda item: item[0] / item[1],
    )
    earned_utility = 0.0
    for service_time_s, utility in operations:
        earned_utility += utility * min(
            1.0, max(0.0, free_slot_time_s / service_time_s)
        )
        free_slot_time_s -= service_time_s
    total_utility = sum(utility for _, utility in operations)
    return earned_utility / total_utility if total_utility else 1.0
