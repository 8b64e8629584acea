"""Find out which hosts are alive.

A silent link leads to indirect probes, these to suspicion, and suspicion that
its host doesn't refute to death. None of it decides about data.
"""

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import hosts
from knapweedtally.core.membership import links
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import overlay
from knapweedtally.core.membership import registers
from knapweedtally.core.membership import spread
from knapweedtally.core.membership import state as membership_state

HEARTBEAT_S = 0.5
SILENCE_S = 1.5
PROBE_TIMEOUT_S = 1.0

# Hosts asked to probe a silent one.
HELPERS = 2

# How long the word of others stands for a host that is silent here.
VOUCHED_S = 2.0

SUSPICION_S = 4.0
FORGET_S = 600.0

# A longer gap between ticks means that this host itself was paused.
PAUSE_S = 1.0

Effects = list[effects.Effect]
Status = membership_state.Status


def excuse_own_pause(
    state: state_module.ProxyState, moment: model.Moment
) -> None:
    """Start all waits anew if this host itself was paused.

    What others sent meanwhile may still be unread, so their silence during
    the pause says nothing about them.
    """
    membership = state.membership
    if moment.at - membership.schedule.ticked_at < PAUSE_S:
        return
    for link in membership.links.values():
        link.heard_at = moment.at
        link.asked_at = None
    for name in membership.suspected:
        membership.suspected[name] = moment.at


def hear_from(
    state: state_module.ProxyState, moment: model.Moment, host: str
) -> Effects:
    """Take note of a sign of life and answer those who asked for one."""
    link = state.membership.links.get(host)
    if link is not None:
        link.heard_at = moment.at
        link.asked_at = None
    askers = state.membership.inquiries.pop(host, {})
    return [
        effects.SendToPeer(asker, messages.ProbeAnswer(host))
        for asker in askers
    ]


def send_heartbeat(
    moment: model.Moment, link: membership_state.Link
) -> Effects:
    """Send a heartbeat over an open link that carried nothing for a while."""
    if not link.is_open or moment.at - link.sent_at < HEARTBEAT_S:
        return []
    link.sent_at = moment.at
    return [effects.SendToPeer(link.host, messages.Heartbeat())]


def check_silence(
    state: state_module.ProxyState,
    moment: model.Moment,
    link: membership_state.Link,
) -> Effects:
    """Have a silent host probed by others, and suspect it if they fail."""
    host = state.membership.hosts.get(link.host)
    if host is None or host.status in (Status.DEAD, Status.SUSPECT):
        return []
    if not is_silent(moment, link) or moment.at < link.vouched_until:
        return []
    if link.asked_at is None:
        link.asked_at = moment.at
        return _ask_helpers(state, moment, link)
    if moment.at - link.asked_at < PROBE_TIMEOUT_S:
        return []
    link.asked_at = None
    link.vouched_until = moment.at + VOUCHED_S
    return _announce(state, moment, host, Status.SUSPECT, hosts.SUSPECT_RANK)


def is_silent(moment: model.Moment, link: membership_state.Link) -> bool:
    """Return whether a host was not heard from directly for too long."""
    return moment.at - max(link.heard_at, link.since) >= SILENCE_S


def is_cut_off(state: state_module.ProxyState, moment: model.Moment) -> bool:
    """Return whether no peer was heard from directly of late."""
    return not any(
        link.is_open and not is_silent(moment, link)
        for link in state.membership.links.values()
    )


def receive_probe_request(
    state: state_module.ProxyState,
    moment: model.Moment,
    source: str,
    message: messages.ProbeRequest,
) -> Effects:
    """Wait for a sign of life from the target on behalf of the asker.

    A host with an open link hears the target's next heartbeat; without one,
    it tries to open a link.
    """
    membership = state.membership
    target = message.target
    if target == state.identity.host:
        return [effects.SendToPeer(source, messages.ProbeAnswer(target))]
    membership.inquiries.setdefault(target, {})[source] = moment.at
    link = membership.links.get(target)
    host = membership.hosts.get(target)
    if host is None or (link is not None and link.is_open):
        return []
    return [effects.OpenLink(target, host.address, host.peer_port)]


def receive_probe_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    source: str,
    message: messages.ProbeAnswer,
) -> Effects:
    """Let another host's word stand for a host that is silent here."""
    link = state.membership.links.get(message.target)
    if link is not None:
        link.asked_at = None
        link.vouched_until = moment.at + VOUCHED_S
    return []


def expire_hosts(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Declare long suspected hosts dead and forget long dead ones."""
    membership = state.membership
    result: Effects = []
    for name, since in list(membership.suspected.items()):
        if moment.at - since >= SUSPICION_S:
            host = membership.hosts[name]
            result.extend(
                _announce(state, moment, host, Status.DEAD, hosts.DEAD_RANK)
            )
    for name, since in list(membership.dead.items()):
        if moment.at - since >= FORGET_S:
            hosts.forget_host(state, name)
            registers.remove_register(membership.store, "host", name)
    return result


def expire_inquiries(
    state: state_module.ProxyState, moment: model.Moment
) -> None:
    """Drop inquiries that went without a sign of life."""
    inquiries = state.membership.inquiries
    for target, askers in list(inquiries.items()):
        for asker, since in list(askers.items()):
            if moment.at - since >= PROBE_TIMEOUT_S:
                del askers[asker]
        if not askers:
            del inquiries[target]


def _ask_helpers(
    state: state_module.ProxyState,
    moment: model.Moment,
    link: membership_state.Link,
) -> Effects:
    able = [
        other.host
        for other in links.list_open_links(state)
        if other.host != link.host and not is_silent(moment, other)
    ]
    # The draw changes the choice from one probe to the next.
    purpose = f"probe {link.host} {moment.draw}"
    request = messages.ProbeRequest(link.host)
    return [
        effects.SendToPeer(helper, request)
        for helper in overlay.pick_helpers(purpose, able, HELPERS)
    ]


def _announce(
    state: state_module.ProxyState,
    moment: model.Moment,
    host: membership_state.Host,
    status: Status,
    rank: int,
) -> Effects:
    """Publish this host's word on another one."""
    changed = host._replace(
        status=status,
        status_count=hosts.get_rank_count(host.status_count, rank),
    )
    register = hosts.build_register(changed)
    log = effects.WriteLog(
        "membership",
        "info",
        f"host is {status.value}",
        {"host": host.name, "incarnation": host.incarnation},
    )
    return [log, *spread.publish_register(state, moment, register)]
