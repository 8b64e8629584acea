"""Event handlers of the membership part."""

from collections.abc import Callable
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import events as membership_events
from knapweedtally.core.membership import gossip
from knapweedtally.core.membership import links
from knapweedtally.core.membership import liveness
from knapweedtally.core.membership import messages

# Mean time between two comparisons of all registers with a random peer.
ANTI_ENTROPY_INTERVAL_S = 10.0

# How long a host with seed peers waits for them after its start before it may
# watch the platform. Otherwise, many hosts that restart at the same time would
# all open a watch.
JOIN_DELAY_S = 1.0

Effects = list[effects.Effect]


def is_watcher(state: state_module.ProxyState) -> bool:
    """Return whether this host watches the platform."""
    return state.membership.is_watching


def handle_tick(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.Ticked,
) -> Effects:
    """Run the periodic membership work of one control interval."""
    membership = state.membership
    result = _ensure_started(state, moment)
    liveness.reset_timers_after_pause(state, moment)
    membership.schedule.ticked_at = moment.at
    result.extend(_publish_bundle_change(state, moment))
    result.extend(liveness.expire_hosts(state, moment))
    liveness.expire_probe_requests(state, moment)
    links.choose_overlay(state, moment)
    for link in list(membership.links.values()):
        result.extend(links.maintain_link(state, moment, link))
        result.extend(liveness.check_silence(state, moment, link))
        result.extend(gossip.flush_link(state, moment, link))
        result.extend(liveness.send_heartbeat(moment, link))
    result.extend(_start_anti_entropy(state, moment))
    result.extend(links.dial_candidates(state, moment))
    result.extend(_update_watching(state, moment))
    return result


def handle_register_published(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.RegisterPublished,
) -> Effects:
    """Store a register of another part and send it to peers."""
    return gossip.publish_register(state, moment, event.register)


def handle_link_opened(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.LinkOpened,
) -> Effects:
    """Record a new link and a contact with its peer."""
    result = _ensure_started(state, moment)
    result.extend(
        links.record_open_link(state, moment, event.host, event.is_outgoing)
    )
    result.extend(liveness.record_contact(state, moment, event.host))
    return result


def handle_link_closed(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.LinkClosed,
) -> Effects:
    """Record that a link was closed; a wanted link is retried later."""
    links.record_closed_link(state, moment, event.host)
    return []


def handle_link_failed(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.LinkFailed,
) -> Effects:
    """Schedule a retry for a link that could not be opened."""
    link = state.membership.links.get(event.host)
    if link is not None and not link.is_open:
        links.schedule_retry(moment, link)
    return []


def handle_message(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.PeerMessageReceived,
) -> Effects:
    """Dispatch a peer's message, which also shows that the peer is alive."""
    result = liveness.record_contact(state, moment, event.host)
    handler = MESSAGE_HANDLERS.get(type(event.message))
    if handler is not None:
        result.extend(handler(state, moment, event.host, event.message))
    return result


def handle_host_list(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.HostListSeen,
) -> Effects:
    """Store the platform's host list as a source of peer addresses."""
    state.membership.listed = {host.name: host for host in event.hosts}
    return []


def handle_status_changed(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.LeavingChanged,
) -> Effects:
    """Publish that this host starts or stops leaving."""
    if state.membership.is_leaving == event.is_leaving:
        return []
    state.membership.is_leaving = event.is_leaving
    return [
        *_ensure_started(state, moment),
        *gossip.publish_own_host(state, moment),
    ]


def _ensure_started(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Initialise the schedule and publish this host's register once."""
    membership = state.membership
    if membership.schedule.started_at is not None:
        return []
    membership.schedule.started_at = moment.at
    membership.schedule.ticked_at = moment.at
    membership.schedule.anti_entropy_at = moment.at + ANTI_ENTROPY_INTERVAL_S
    membership.incarnation = state.identity.incarnation
    return gossip.publish_own_host(state, moment)


def _publish_bundle_change(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Publish this host's register if the bundle in force has changed."""
    bundle = state.directory.bundle
    version = bundle.version if bundle else 0
    if version == state.membership.published_bundle:
        return []
    return gossip.publish_own_host(state, moment)


def _start_anti_entropy(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Send a summary of all registers to a random peer when it is due."""
    schedule = state.membership.schedule
    if moment.at < schedule.anti_entropy_at:
        return []
    schedule.anti_entropy_at = moment.at + ANTI_ENTROPY_INTERVAL_S * (
        0.5 + moment.random_value
    )
    choices = links.list_open_links(state)
    if not choices:
        return []
    link = choices[int(moment.random_value * len(choices))]
    return [effects.SendToPeer(link.host, gossip.build_summary(state))]


def _update_watching(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    membership = state.membership
    is_due = _should_watch(state, moment)
    if is_due == membership.is_watching:
        return []
    membership.is_watching = is_due
    return [effects.SetWatching(is_due)]


def _should_watch(state: state_module.ProxyState, moment: model.Moment) -> bool:
    membership = state.membership
    started_at = membership.schedule.started_at or moment.at
    if membership.settings.seeds and moment.at - started_at < JOIN_DELAY_S:
        return False
    return membership.is_chosen_watcher or liveness.is_isolated(state, moment)


MESSAGE_HANDLERS: dict[
    type,
    Callable[[state_module.ProxyState, model.Moment, str, Any], Effects],
] = {
    messages.Deltas: gossip.receive_deltas,
    messages.Digest: gossip.receive_digest,
    messages.ProbeAnswer: liveness.receive_probe_answer,
    messages.ProbeRequest: liveness.receive_probe_request,
    messages.Summary: gossip.receive_summary,
}

HANDLERS: dict[type, Callable[..., Effects]] = {
    events.HostListSeen: handle_host_list,
    events.Ticked: handle_tick,
    membership_events.LinkClosed: handle_link_closed,
    membership_events.LinkFailed: handle_link_failed,
    membership_events.LinkOpened: handle_link_opened,
    membership_events.PeerMessageReceived: handle_message,
    membership_events.RegisterPublished: handle_register_published,
    membership_events.LeavingChanged: handle_status_changed,
}
