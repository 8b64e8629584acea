"""Handlers of the membership part."""

from collections.abc import Callable
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import events as membership_events
from knapweedtally.core.membership import links
from knapweedtally.core.membership import liveness
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import spread

# How often two peers compare all that they hold, in seconds.
DIGEST_INTERVAL_S = 10.0

# How long a host with seeds waits for its peers before it may watch the
# platform, so that a storm of restarts is not a storm of watches.
JOIN_S = 1.0

Effects = list[effects.Effect]


def is_watcher(state: state_module.ProxyState) -> bool:
    """Return whether this host watches the platform."""
    return state.membership.is_watching


def handle_tick(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.Ticked,
) -> Effects:
    """Do the recurring work of one control interval."""
    membership = state.membership
    result = _start(state, moment)
    liveness.excuse_own_pause(state, moment)
    membership.schedule.ticked_at = moment.at
    result.extend(_follow_bundle(state, moment))
    result.extend(liveness.expire_hosts(state, moment))
    liveness.expire_inquiries(state, moment)
    links.choose_overlay(state, moment)
    for link in list(membership.links.values()):
        result.extend(links.hold_link(state, moment, link))
        result.extend(liveness.check_silence(state, moment, link))
        result.extend(spread.flush_link(state, moment, link))
        result.extend(liveness.send_heartbeat(moment, link))
    result.extend(_compare_registers(state, moment))
    result.extend(links.dial_outside(state, moment))
    result.extend(_choose_watching(state, moment))
    return result


def handle_published(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.RegisterPublished,
) -> Effects:
    """Store and spread a register of another part."""
    return spread.publish_register(state, moment, event.register)


def handle_link_opened(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.LinkOpened,
) -> Effects:
    """Begin to use a new link."""
    result = _start(state, moment)
    result.extend(links.open_link(state, moment, event.host, event.is_outgoing))
    result.extend(liveness.hear_from(state, moment, event.host))
    return result


def handle_link_closed(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.LinkClosed,
) -> Effects:
    """Stop using a link; a wanted one is opened again."""
    links.close_link(state, moment, event.host)
    return []


def handle_link_failed(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.LinkFailed,
) -> Effects:
    """Put off the next attempt."""
    link = state.membership.links.get(event.host)
    if link is not None and not link.is_open:
        links.delay_attempt(moment, link)
    return []


def handle_message(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.PeerMessageReceived,
) -> Effects:
    """Handle a peer's message, which is a sign of life as well."""
    result = liveness.hear_from(state, moment, event.host)
    handler = MESSAGE_HANDLERS.get(type(event.message))
    if handler is not None:
        result.extend(handler(state, moment, event.host, event.message))
    return result


def handle_host_list(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.HostListSeen,
) -> Effects:
    """Keep the platform's list as addresses to try."""
    state.membership.listed = {host.name: host for host in event.hosts}
    return []


def handle_status(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: membership_events.StatusChanged,
) -> Effects:
    """Tell peers that this host begins or stops leaving."""
    if state.membership.is_leaving == event.is_leaving:
        return []
    state.membership.is_leaving = event.is_leaving
    return [
        *_start(state, moment),
        *spread.publish_own_host(state, moment),
    ]


def _start(state: state_module.ProxyState, moment: model.Moment) -> Effects:
    """Publish this host's register with the first event of the process."""
    membership = state.membership
    if membership.schedule.started_at is not None:
        return []
    membership.schedule.started_at = moment.at
    membership.schedule.ticked_at = moment.at
    membership.schedule.digest_at = moment.at + DIGEST_INTERVAL_S
    membership.incarnation = state.identity.incarnation
    return spread.publish_own_host(state, moment)


def _follow_bundle(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Publish this host's register when another bundle is in force."""
    bundle = state.directory.bundle
    version = bundle.version if bundle else 0
    if version == state.membership.published_bundle:
        return []
    return spread.publish_own_host(state, moment)


def _compare_registers(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Compare what this host holds with a random peer's registers."""
    schedule = state.membership.schedule
    if moment.at < schedule.digest_at:
        return []
    schedule.digest_at = moment.at + DIGEST_INTERVAL_S * (0.5 + moment.draw)
    choices = links.list_open_links(state)
    if not choices:
        return []
    link = choices[int(moment.draw * len(choices))]
    return [effects.SendToPeer(link.host, spread.build_summary(state))]


def _choose_watching(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    membership = state.membership
    is_due = _wants_watching(state, moment)
    if is_due == membership.is_watching:
        return []
    membership.is_watching = is_due
    return [effects.SetWatching(is_due)]


def _wants_watching(
    state: state_module.ProxyState, moment: model.Moment
) -> bool:
    membership = state.membership
    started_at = membership.schedule.started_at or moment.at
    if membership.settings.seeds and moment.at - started_at < JOIN_S:
        return False
    return membership.is_chosen_watcher or liveness.is_cut_off(state, moment)


MESSAGE_HANDLERS: dict[
    type,
    Callable[[state_module.ProxyState, model.Moment, str, Any], Effects],
] = {
    messages.Deltas: spread.receive_deltas,
    messages.Digest: spread.receive_digest,
    messages.ProbeAnswer: liveness.receive_probe_answer,
    messages.ProbeRequest: liveness.receive_probe_request,
    messages.Summary: spread.receive_summary,
}

HANDLERS: dict[type, Callable[..., Effects]] = {
    events.HostListSeen: handle_host_list,
    events.Ticked: handle_tick,
    membership_events.LinkClosed: handle_link_closed,
    membership_events.LinkFailed: handle_link_failed,
    membership_events.LinkOpened: handle_link_opened,
    membership_events.PeerMessageReceived: handle_message,
    membership_events.RegisterPublished: handle_published,
    membership_events.StatusChanged: handle_status,
}
