"""Tests with one mutant for each guarantee that a rule of the core upholds."""

from collections.abc import Mapping
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import errors
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import attempts
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.bundles import rules as bundle_rules
from knapweedtally.core.draining import decisions as draining
from knapweedtally.core.draining import state as draining_state
from tests.driver import run
from tests.history import model as history_model
from tests.proofs import mutant

Fault = mutant.Fault
PRIMARY = mutant.PRIMARY

FAILOVER = "knapweedtally.core.failover.rules."
ROUTING = "knapweedtally.core.routing.rules."
WRITES = "knapweedtally.core.writes.rules."
ATTEMPTS = "knapweedtally.core.admission.attempts."

REPLICAS_BEHIND = (Fault(1.0, "replicas behind", "", 9.0),)
PRIMARY_CUT_OFF = (Fault(2.0, "cut target", PRIMARY, 5.0),)
PRIMARY_NOT_ANSWERING = (
    Fault(2.0, "mute target", PRIMARY, 4.0),
    Fault(7.0, "mute target", PRIMARY, 4.0),
)
# No new primary is promoted before the deadlines of the requests that the old
# primary ran.
PRIMARY_KILLED_WITHOUT_PLATFORM = (
    Fault(2.0, "platform down", "", 8.5),
    Fault(2.5, "mute target", PRIMARY, 1.4),
    Fault(3.5, "kill target", PRIMARY, 9.0),
)
REPLICA_BEHIND_AND_PRIMARY_KILLED = (
    Fault(1.0, "far behind", "records-south", 10.0),
    Fault(3.0, "kill target", PRIMARY, 5.0),
)
ALL_TARGETS_FROZEN = (
    Fault(2.0, "freeze target", "records-south", 3.2),
    Fault(2.0, "freeze target", "records-archive", 6.0),
    Fault(2.0, "freeze target", "records-north", 6.0),
)
TARGETS_FROZEN_IN_SEQUENCE = (
    Fault(2.0, "freeze target", PRIMARY, 1.8),
    Fault(5.0, "freeze target", PRIMARY, 1.8),
    Fault(6.0, "freeze target", "records-south", 3.0),
)

TARGET_LEAVES = (Fault(3.0, "bundles race", "records-south", 0.1),)
# A late answer of the platform contains a bundle that is no longer in force.
BUNDLES_WITH_SLOW_PLATFORM = (
    Fault(1.5, "platform slow", "", 9.0),
    *(
        Fault(2.0 + 0.4 * number, "bundles race", "records-south", 0.1)
        for number in range(20)
    ),
)
STOP_WITH_REQUESTS_IN_FLIGHT = (
    Fault(3.0, "planned stop", "proxy-south", 3.0),
    Fault(3.8, "freeze target", PRIMARY, 1.5),
)

_release_lease = attempts.release_lease
_keep_or_release_lease = attempts.keep_or_release_lease


def release_as_reusable(
    state: state_module.ProxyState, lease_id: int, is_reusable: bool
) -> attempts.Effects:
    """Return every connection to the pool, even without a complete answer."""
    return _release_lease(state, lease_id, True)


def release_open_transaction(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    is_open: bool,
) -> attempts.Effects:
    """Return a connection to the pool while its transaction is open."""
    return _release_lease(state, request.lease, True)


def return_false(*arguments: object) -> bool:
    """Replace a rule by one that always returns False."""
    return False


def keep_and_release_lease(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    is_open: bool,
) -> attempts.Effects:
    """Make the connection of an open transaction available to others."""
    result = _keep_or_release_lease(state, moment, request, is_open)
    return result or [effects.ReleaseLease(request.lease, True)]


def accept_any_different_bundle(
    candidate: model.Bundle, in_force: model.Bundle | None
) -> bundle_rules.BundleRelation:
    """Treat every bundle except the one in force as newer."""
    if in_force is None or candidate.digest != in_force.digest:
        return bundle_rules.BundleRelation.NEWER
    return bundle_rules.BundleRelation.SAME


def keep_error_kind(
    request: admission_state.Request, kind: errors.ErrorKind
) -> errors.ErrorKind:
    """Return the error kind unchanged, ignoring earlier attempts."""
    return kind


def accept_one_fenced_target(
    group: model.Group, fenced: Mapping[str, Any]
) -> bool:
    """Treat one fenced target as a majority."""
    return len(fenced) >= 1


def choose_least_advanced(
    group: model.Group,
    fenced: Mapping[str, model.Position],
    preferred: str,
    replaced: str,
) -> str:
    """Choose the target with the lowest position."""
    return min(fenced, key=lambda target: fenced[target])


def accept_one_observer(observers: object, failed: tuple[str, ...]) -> bool:
    """Treat the report of one observer as agreement."""
    return len(failed) >= 1


def stop_at_once(
    state: state_module.ProxyState, moment: model.Moment
) -> attempts.Effects:
    """Stop the process without waiting for requests in flight."""
    return [effects.StopProcess()]


class GuaranteeTest(mutant.MutantTest):
    def check(
        self,
        rule: str,
        replacement: Any,
        check: str,
        *faults: Fault,
        lifted_limit: str = "",
    ) -> None:
        self.check_mutant(
            mutant.Mutant(rule, replacement, check, faults, lifted_limit)
        )

    def test_replica_that_lacks_a_write_of_the_session(self) -> None:
        self.check(
            ROUTING + "reaches_position",
            mutant.return_true,
            "read_your_writes",
            *REPLICAS_BEHIND,
        )

    def test_data_older_than_stated(self) -> None:
        self.check(
            ROUTING + "is_within_max_age",
            mutant.return_true,
            "stated_age",
            *REPLICAS_BEHIND,
            lifted_limit="knapweedtally.core.routing.decisions.MAX_AGE_FRACTION",
        )

    def test_acknowledgement_without_majority(self) -> None:
        self.check(
            WRITES + "is_acknowledgeable",
            mutant.return_true,
            "no_lost_write",
            *PRIMARY_CUT_OFF,
        )

    def test_acknowledgement_by_replaced_primary(self) -> None:
        self.check(
            WRITES + "is_acknowledgeable",
            mutant.return_true,
            "no_replaced_primary",
            *PRIMARY_CUT_OFF,
        )

    def test_primary_without_fenced_majority(self) -> None:
        self.check(
            FAILOVER + "is_majority_fenced",
            accept_one_fenced_target,
            "no_lost_write",
            *REPLICA_BEHIND_AND_PRIMARY_KILLED,
        )

    def test_primary_that_lacks_acknowledged_writes(self) -> None:
        self.check(
            FAILOVER + "choose_primary",
            choose_least_advanced,
            "no_lost_write",
            *REPLICA_BEHIND_AND_PRIMARY_KILLED,
        )

    def test_transactions_on_one_connection(self) -> None:
        self.check(
            ATTEMPTS + "keep_or_release_lease",
            release_open_transaction,
            "no_lost_write",
        )

    def test_statements_of_others_in_a_transaction(self) -> None:
        self.check(
            ATTEMPTS + "keep_or_release_lease",
            keep_and_release_lease,
            "no_mixed_transactions",
        )

    def test_connection_reused_before_its_answer(self) -> None:
        self.check(
            ATTEMPTS + "release_lease",
            release_as_reusable,
            "own_answer",
            *TARGETS_FROZEN_IN_SEQUENCE,
        )

    def test_late_answer_to_an_earlier_attempt(self) -> None:
        self.check(
            WRITES + "is_current_attempt",
            mutant.return_true,
            "own_answer",
            *ALL_TARGETS_FROZEN,
        )

    def test_write_sent_again(self) -> None:
        self.check(
            WRITES + "may_run_again",
            mutant.return_true,
            "at_most_once",
            *PRIMARY_NOT_ANSWERING,
        )

    def test_refusal_without_proof(self) -> None:
        self.check(WRITES + "proves_not_run", mutant.return_true, "not_run")

    def test_refusal_of_a_write_that_may_have_run(self) -> None:
        self.check(
            ATTEMPTS + "resolve_error_kind",
            keep_error_kind,
            "not_run",
            *PRIMARY_KILLED_WITHOUT_PLATFORM,
        )

    def test_new_work_on_a_leaving_target(self) -> None:
        self.check(
            "knapweedtally.core.draining.rules.is_leaving",
            return_false,
            "leaving",
            *TARGET_LEAVES,
        )

    def test_bundle_that_reverts(self) -> None:
        self.check(
            "knapweedtally.core.bundles.rules.compare_bundles",
            accept_any_different_bundle,
            "bundle",
            *BUNDLES_WITH_SLOW_PLATFORM,
        )

    def test_planned_stop_with_requests_in_flight(self) -> None:
        closing = draining_state.Phase.CLOSING
        self.check(
            "knapweedtally.core.draining.decisions._TICK_HANDLERS",
            {**draining._TICK_HANDLERS, closing: stop_at_once},
            "planned_stop",
            *STOP_WITH_REQUESTS_IN_FLIGHT,
        )


class FalsePromotionTest(mutant.MutantTest):
    def test_one_observer_cut_off(self) -> None:
        faults = (Fault(2.0, "cut link", "proxy-south,records-north", 5.0),)
        for result in run.run_seeds(range(4), faults):
            self.assertEqual([], list_terms(result), f"seed {result.seed}")
        rule = FAILOVER + "is_failure_agreed"
        with mutant.mock.patch(rule, accept_one_observer):
            results = run.run_seeds(range(4), faults)
        self.assertTrue(any(list_terms(result) for result in results))


def list_terms(result: run.Result) -> list[history_model.TermOpened]:
    return [
        event
        for event in result.history.events
        if isinstance(event, history_model.TermOpened)
    ]
