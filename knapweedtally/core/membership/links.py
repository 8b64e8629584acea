"""Hold the links that the overlay wants, and reach for hosts outside it."""

from collections.abc import Iterator

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import hosts
from knapweedtally.core.membership import overlay
from knapweedtally.core.membership import spread
from knapweedtally.core.membership import state as membership_state
from knapweedtally.utils import hashes

# The overlay is chosen anew at most this often, in seconds.
OVERLAY_INTERVAL_S = 0.5

# An attempt without an answer counts as failed after this time.
ATTEMPT_TIMEOUT_S = 10.0
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

# An open link that this host doesn't want is closed after this time.
UNWANTED_LINK_S = 10.0

# A silent link is closed after this time; it may be half open.
SILENT_LINK_S = 5.0

# How often a host reaches for a known address outside the overlay: when it
# has open links, and when it has none.
DIAL_INTERVAL_S = 5.0
LONELY_DIAL_INTERVAL_S = 0.5

# Addresses that a host without an open link reaches for at once.
LONELY_DIALS = 3

Effects = list[effects.Effect]


def get_link(
    state: state_module.ProxyState, moment: model.Moment, host: str
) -> membership_state.Link:
    """Return the record of a link, made if there was none."""
    links = state.membership.links
    if host not in links:
        links[host] = membership_state.Link(host, since=moment.at)
    return links[host]


def list_open_links(
    state: state_module.ProxyState,
) -> list[membership_state.Link]:
    """Return the links over which messages can be sent."""
    return [link for link in state.membership.links.values() if link.is_open]


def choose_overlay(
    state: state_module.ProxyState, moment: model.Moment
) -> None:
    """Mark the wanted links anew if the hosts have changed."""
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
    wanted = set(overlay.list_wanted(own, data_centre, live, suspects))
    for host in sorted(wanted):
        get_link(state, moment, host)
    for link in list(membership.links.values()):
        link.is_wanted = link.host in wanted
        if not link.is_wanted and not link.is_open:
            del membership.links[link.host]


def hold_link(
    state: state_module.ProxyState,
    moment: model.Moment,
    link: membership_state.Link,
) -> Effects:
    """Open a wanted link that is due, or close one of no use."""
    if link.is_open:
        return _close_if_useless(moment, link)
    host = state.membership.hosts.get(link.host)
    if not link.is_wanted or host is None or moment.at < link.attempt_at:
        return []
    link.attempt_at = moment.at + ATTEMPT_TIMEOUT_S
    return [effects.OpenLink(host.name, host.address, host.peer_port)]


def delay_attempt(moment: model.Moment, link: membership_state.Link) -> None:
    """Put off the next attempt after a failed one, randomised and bounded."""
    delay = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**link.attempts)
    # One draw serves all links of a step; the hash sets them apart.
    draw = (moment.draw + hashes.hash_to_unit(link.host)) % 1.0
    link.attempts += 1
    link.attempt_at = moment.at + delay * (0.5 + draw)


def open_link(
    state: state_module.ProxyState,
    moment: model.Moment,
    host: str,
    is_outgoing: bool,
) -> Effects:
    """Take note of a new link and start the exchange of what differs."""
    link = get_link(state, moment, host)
    link.is_open = True
    link.is_outgoing = is_outgoing
    link.since = moment.at
    link.heard_at = moment.at
    link.sent_at = moment.at
    link.attempts = 0
    link.attempt_at = moment.at + FIRST_BACKOFF_S
    link.asked_at = None
    link.pending.clear()
    link.urgent.clear()
    if host < state.identity.host:
        return []
    return [effects.SendToPeer(host, spread.build_summary(state))]


def close_link(
    state: state_module.ProxyState, moment: model.Moment, host: str
) -> None:
    """Take note of a closed link."""
    link = state.membership.links.get(host)
    if link is None:
        return
    link.is_open = False
    link.pending.clear()
    link.urgent.clear()
    delay_attempt(moment, link)
    if not link.is_wanted:
        del state.membership.links[host]


def dial_outside(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Reach for known addresses at which no live host is known.

    This is how a host finds the first peers, and how the sides of a healed
    partition, which took each other for dead, find together again.
    """
    schedule = state.membership.schedule
    if moment.at < schedule.dial_at:
        return []
    is_lonely = not list_open_links(state)
    interval = LONELY_DIAL_INTERVAL_S if is_lonely else DIAL_INTERVAL_S
    schedule.dial_at = moment.at + interval * (0.5 + moment.draw)
    choices = sorted(set(_list_outside(state)))
    if not choices:
        return []
    start = int(moment.draw * len(choices))
    dialled = [*choices[start:], *choices[:start]]
    count = LONELY_DIALS if is_lonely else 1
    return [
        effects.OpenLink("", choice.address, choice.port)
        for choice in dialled[:count]
    ]


def _close_if_useless(
    moment: model.Moment, link: membership_state.Link
) -> Effects:
    if moment.at - max(link.heard_at, link.since) >= SILENT_LINK_S:
        link.since = moment.at
        return [effects.CloseLink(link.host, "peer is silent")]
    if link.is_wanted or not link.is_outgoing:
        return []
    if moment.at - link.since < UNWANTED_LINK_S:
        return []
    # Asked again only after the same time, should the close get lost.
    link.since = moment.at
    return [effects.CloseLink(link.host, "link is not needed any more")]


def _list_outside(
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
