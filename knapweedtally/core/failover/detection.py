"""Probe the targets that this host observes and publish verdicts on them."""

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import state as failover_state

Effects = list[effects.Effect]

REFUSED = "refused"
TIMED_OUT = "timed out"
UNCONFIRMED = "unconfirmed"
NOT_OPEN = "not open"


def is_current_primary(
    state: state_module.ProxyState, group: str, target: str
) -> bool:
    """Return whether a target is the primary that the newest record names."""
    record = state.directory.records.get(group)
    return bool(
        record and record.phase is model.Phase.OPEN and record.primary == target
    )


def is_unreachable(
    state: state_module.ProxyState, moment: model.Moment, target: str
) -> bool:
    """Return whether a target is unreachable from this host's data centre.

    A host that doesn't observe the target relies on fresh verdicts of observers
    in its own data centre: what observers elsewhere can reach says little about
    what this host can reach.
    """
    failover = state.failover
    watch = failover.watches.get(target)
    if watch is not None:
        return watch.reason in (REFUSED, TIMED_OUT)
    centres = failover.assignment.hosts
    return any(
        observation.reason in (REFUSED, TIMED_OUT)
        and centres.get(observer) == state.identity.data_centre
        and moment.at - observation.seen_at <= limits.OBSERVATION_FRESH_S
        for observer, observation in failover.observations.get(
            target, {}
        ).items()
    )


def probe_due_targets(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Probe each observed target whose interval has passed."""
    result: Effects = []
    for target, watch in state.failover.watches.items():
        interval = limits.REPLICA_PROBE_INTERVAL_S
        if is_current_primary(state, watch.group, target):
            interval = limits.PRIMARY_PROBE_INTERVAL_S
        # A probe is sent with the tick that is nearest to its due time.
        if moment.at >= watch.sent_at + interval - limits.TICK_S / 2:
            result += send_probe(state, moment, target)
    return result


def send_probe(
    state: state_module.ProxyState, moment: model.Moment, target: str
) -> Effects:
    """Probe a target unless a probe is already in flight."""
    if moment.at < state.failover.probes_in_flight.get(target, moment.at):
        return []
    return send_fresh_probe(state, moment, target)


def send_fresh_probe(
    state: state_module.ProxyState, moment: model.Moment, target: str
) -> Effects:
    """Probe a target even if an earlier probe is still in flight."""
    failover = state.failover
    lost_at = moment.at + limits.PROBE_TIMEOUT_S + limits.PROBE_LOSS_MARGIN_S
    failover.probes_in_flight[target] = lost_at
    if target in failover.watches:
        failover.watches[target].sent_at = moment.at
    return [effects.ProbeTarget(target, limits.PROBE_TIMEOUT_S)]


def probe_after_connection_loss(
    state: state_module.ProxyState, moment: model.Moment, target: str
) -> Effects:
    """Probe an observed target at once after a connection to it was lost."""
    if target not in state.failover.watches:
        return []
    return send_probe(state, moment, target)


def record_probe_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeAnswered,
) -> Effects:
    """Record a target's status and publish the verdict if it changed."""
    report = event.report
    state.failover.probes_in_flight.pop(report.target, None)
    store_report(state, moment, report)
    watch = state.failover.watches.get(report.target)
    if watch is None:
        return []
    watch.failures = watch.refusals = 0
    if report.is_primary:
        watch.opened_term = max(watch.opened_term, report.term)
    reason = find_failure_reason(state, moment, watch, report)
    return update_verdict(state, moment, report.target, watch, reason)


def store_report(
    state: state_module.ProxyState,
    moment: model.Moment,
    report: model.TargetReport,
) -> None:
    """Store a report unless one of a later term is already known."""
    known = state.directory.reports.get(report.target)
    if known is None or report.term >= known[0].term:
        state.directory.reports[report.target] = (report, moment.at)


def find_failure_reason(
    state: state_module.ProxyState,
    moment: model.Moment,
    watch: failover_state.Watch,
    report: model.TargetReport,
) -> str:
    """Return why an answering target counts as failed, or an empty string."""
    record = state.directory.records.get(watch.group)
    if record is None or report.term > record.term:
        return ""
    if not is_current_primary(state, watch.group, report.target):
        return ""
    if report.is_primary and report.term == record.term:
        is_late = report.age_ms > limits.MAX_CONFIRMATION_AGE_MS
        return UNCONFIRMED if is_late else ""
    learned_at = state.failover.learned_at.get(watch.group, moment.at)
    if moment.at - learned_at > limits.NOT_OPEN_LIMIT_S:
        return NOT_OPEN
    return ""


def record_probe_failure(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeFailed,
) -> Effects:
    """Count a failed probe.

    The target is probed again at once until ``CONSECUTIVE_FAILURES`` probes
    have failed; then it counts as failed.
    """
    target = event.target
    state.failover.probes_in_flight.pop(target, None)
    watch = state.failover.watches.get(target)
    if watch is None:
        return []
    watch.failures += 1
    watch.refusals = watch.refusals + 1 if event.is_refused else 0
    if watch.failures < limits.CONSECUTIVE_FAILURES:
        return send_probe(state, moment, target)
    is_refused = watch.refusals >= limits.CONSECUTIVE_FAILURES
    reason = REFUSED if is_refused else TIMED_OUT
    return update_verdict(state, moment, target, watch, reason)


def update_verdict(
    state: state_module.ProxyState,
    moment: model.Moment,
    target: str,
    watch: failover_state.Watch,
    reason: str,
) -> Effects:
    """Store a verdict and publish it when it changes.

    A verdict that the target failed is published again at an interval while
    it lasts.
    """
    is_change = reason != watch.reason
    is_repeat = bool(reason) and (
        moment.at - watch.published_at >= limits.OBSERVATION_REPEAT_S
    )
    watch.reason = reason
    if not is_change and not is_repeat:
        return []
    if is_change:
        record_verdict(state, moment, target, watch)
    watch.published_at = moment.at
    record = state.directory.records.get(watch.group)
    term = record.term if record else 0
    observation = failover_state.Observation(
        reason, term, watch.opened_term, moment.at
    )
    identity = state.identity
    store_observation(state, target, identity.host, observation)
    state.failover.published += 1
    register = model.Register(
        "observation",
        f"{target}@{identity.host}",
        (identity.incarnation, state.failover.published),
        {
            "reason": reason,
            "term": term,
            "opened_term": watch.opened_term,
        },
    )
    return [effects.PublishRegister(register)]


def record_verdict(
    state: state_module.ProxyState,
    moment: model.Moment,
    target: str,
    watch: failover_state.Watch,
) -> None:
    """Add a decision record for a changed verdict on a target."""
    choice, reason = "count as healthy", "it answers probes normally"
    if watch.reason:
        choice, reason = (
            "count as failed",
            f"result of its probes: {watch.reason}",
        )
    explanations.record_decision(
        state,
        moment,
        "failover",
        target,
        choice,
        reason,
        failures=watch.failures,
        opened_term=watch.opened_term,
    )


def store_observation(
    state: state_module.ProxyState,
    target: str,
    observer: str,
    observation: failover_state.Observation,
) -> None:
    """Store the newest verdict of one observer on one target."""
    by_observer = state.failover.observations.setdefault(target, {})
    by_observer[observer] = observation


def record_observation(
    state: state_module.ProxyState,
    moment: model.Moment,
    register: model.Register,
) -> str:
    """Record another observer's verdict and return the target's id.

    Returns:
        The id of the target, or an empty string for a malformed register
        or one of this host.
    """
    target, _, observer = register.name.rpartition("@")
    reason = register.value.get("reason")
    term = register.value.get("term")
    opened_term = register.value.get("opened_term")
    if not (target and isinstance(reason, str)):
        return ""
    if observer == state.identity.host:
        # Ignore verdicts that an earlier incarnation of this host published.
        return ""
    if not (isinstance(term, int) and isinstance(opened_term, int)):
        return ""
    observation = failover_state.Observation(
        reason, term, opened_term, moment.at
    )
    store_observation(state, target, observer, observation)
    return target
