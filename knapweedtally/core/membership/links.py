"""Maintain the overlay's links and dial addresses of unknown hosts."""

from collections.abc import Iterator

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import gossip
from knapweedtally.core.membership import hosts
from knapweedtally.core.membership import overlay
from knapweedtally.core.membership import state as membership_state
from knapweedtally.utils import hashes

# Minimum time between two computations of the overlay.
OVERLAY_INTERVAL_S = 0.5

# An attempt to open a link that stays unanswered this long has failed.
ATTEMPT_TIMEOUT_S = 10.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

# This host closes an outgoing link after this time if the overlay doesn't
# contain it.
UNWANTED_LINK_TIMEOUT_S = 10.0

# A link without incoming messages is closed after this time, because the
# connection may be half open.
SILENT_LINK_TIMEOUT_S = 5.0

# Mean time between two rounds of dialling candidate addresses: when this host
# has open links, and when it has none.
DIAL_INTERVAL_S = 5.0
UNLINKED_DIAL_INTERVAL_S = 0.5

# Addresses that a host without open links dials in one round.
MAX_UNLINKED_DIALS = 3

Effects = list[effects.Effect]


def get_link(
    state: state_module.ProxyState, moment: model.Moment, host: str
) -> membership_state.Link:
    """Return the link to a host; create it if it doesn't exist."""
    links = state.membership.links
    if host not in links:
        links[host] = membership_state.Link(host, since=moment.at)
    return links[host]


def list_open_links(
    state: state_module.ProxyState,
) -> list[membership_state.Link]:
    """Return the open links."""
    return [link for link in state.membership.links.values() if link.is_open]


def choose_overlay(
    state: state_module.ProxyState, moment: model.Moment
) -> None:
    """Recompute the wanted links and the watcher role if hosts changed."""
    membership = state.membership
    schedule = membership.schedule
    if not membership.is_overlay_stale or moment.at < schedule.overlay_at:
        return
    schedule.overlay_at = moment.at + OVERLAY_INTERVAL_S
    membership.is_overlay_stale = False
    identity = state.identity
    live = membership.live
    own, data_centre = identity.host, identity.data_centre
    membership.is_chosen_watcher = overlay.is_chosen_watcher(
        own, data_centre, live
    )
    suspects = [
        membership.hosts[name].data_centre for name in membership.suspected
    ]
    wanted = set(overlay.list_wanted_peers(own, data_centre, live, suspects))
    for host in sorted(wanted):
        get_link(state, moment, host)
    for link in list(membership.links.values()):
        link.is_wanted = link.host in wanted
        if not link.is_wanted and not link.is_open:
            del membership.links[link.host]


def maintain_link(
    state: state_module.ProxyState,
    moment: model.Moment,
    link: membership_state.Link,
) -> Effects:
    """Open a wanted link that is due, or close one that is not needed."""
    if link.is_open:
        return _close_unneeded_link(moment, link)
    host = state.membership.hosts.get(link.host)
    if not link.is_wanted or host is None or moment.at < link.attempt_at:
        return []
    link.attempt_at = moment.at + ATTEMPT_TIMEOUT_S
    return [effects.OpenLink(host.name, host.address, host.peer_port)]


def schedule_retry(moment: model.Moment, link: membership_state.Link) -> None:
    """Schedule the next attempt with bounded, jittered backoff."""
    delay = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**link.attempts)
    # All links of a step share one random draw; the hash of the host name
    # gives each link a different delay.
    draw = (moment.random_value + hashes.hash_to_unit_interval(link.host)) % 1.0
    link.attempts += 1
    link.attempt_at = moment.at + delay * (0.5 + draw)


def record_open_link(
    state: state_module.ProxyState,
    moment: model.Moment,
    host: str,
    is_outgoing: bool,
) -> Effects:
    """Record an open link and send a summary to start anti-entropy.

    Only the host of the lower name sends it, so that one side starts.
    """
    link = get_link(state, moment, host)
    link.is_open = True
    link.is_outgoing = is_outgoing
    link.since = moment.at
    link.heard_at = moment.at
    link.sent_at = moment.at
    link.attempts = 0
    link.attempt_at = moment.at + INITIAL_BACKOFF_S
    link.probes_requested_at = None
    link.pending.clear()
    link.urgent.clear()
    if host < state.identity.host:
        return []
    return [effects.SendToPeer(host, gossip.build_summary(state))]


def record_closed_link(
    state: state_module.ProxyState, moment: model.Moment, host: str
) -> None:
    """Record that a link was closed and schedule a retry if it is wanted."""
    link = state.membership.links.get(host)
    if link is None:
        return
    link.is_open = False
    link.pending.clear()
    link.urgent.clear()
    schedule_retry(moment, link)
    if not link.is_wanted:
        del state.membership.links[host]


def dial_candidates(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Dial known addresses at which no live host is known.

    A host finds its first peers this way. It also reconnects the sides of a
    healed partition, which have declared each other's hosts dead.
    """
    schedule = state.membership.schedule
    if moment.at < schedule.dial_at:
        return []
    is_unlinked = not list_open_links(state)
    interval = UNLINKED_DIAL_INTERVAL_S if is_unlinked else DIAL_INTERVAL_S
    schedule.dial_at = moment.at + interval * (0.5 + moment.random_value)
    choices = sorted(set(_list_candidates(state)))
    if not choices:
        return []
    start = int(moment.random_value * len(choices))
    ordered = [*choices[start:], *choices[:start]]
    count = MAX_UNLINKED_DIALS if is_unlinked else 1
    return [
        effects.OpenLink("", choice.address, choice.port)
        for choice in ordered[:count]
    ]


def _close_unneeded_link(
    moment: model.Moment, link: membership_state.Link
) -> Effects:
    if moment.at - max(link.heard_at, link.since) >= SILENT_LINK_TIMEOUT_S:
        link.since = moment.at
        return [effects.CloseLink(link.host, "peer is silent")]
    if link.is_wanted or not link.is_outgoing:
        return []
    if moment.at - link.since < UNWANTED_LINK_TIMEOUT_S:
        return []
    # If the request to close gets lost, it is repeated after the same time.
    link.since = moment.at
    return [effects.CloseLink(link.host, "link is not needed any more")]


def _list_candidates(
    state: state_module.ProxyState,
) -> Iterator[membership_state.Seed]:
    """Yield the known addresses at which no live host is known."""
    membership = state.membership
    settings = membership.settings
    known = {(settings.address, settings.peer_port)}
    for host in membership.hosts.values():
        if host.status is not membership_state.Status.DEAD:
            known.add((host.address, host.peer_port))
    for seed in settings.seeds:
        if (seed.address, seed.port) not in known:
            yield seed
    for name, listed in membership.listed.items():
        is_known = (listed.address, listed.port) in known
        if not is_known and not hosts.is_alive(state, name):
            yield membership_state.Seed(listed.address, listed.port)
    for name in membership.dead:
        host = membership.hosts[name]
        if (host.address, host.peer_port) not in known:
            yield membership_state.Seed(host.address, host.peer_port)
