"""Failure detection of hosts.

A peer that is silent on its link is probed indirectly through other hosts. If
the probes fail, the peer is suspected, and if it doesn't refute the suspicion
in time, it is declared dead. No decision about data depends on this.
"""

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import gossip
from knapweedtally.core.membership import hosts
from knapweedtally.core.membership import links
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import overlay
from knapweedtally.core.membership import registers
from knapweedtally.core.membership import state as membership_state

HEARTBEAT_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 1.5
PROBE_TIMEOUT_S = 1.0

# Number of hosts that are asked to probe a silent host.
INDIRECT_PROBE_COUNT = 2

# How long a silent host is not probed again after an answered probe or a
# suspicion.
SILENCE_GRACE_S = 2.0

SUSPICION_TIMEOUT_S = 4.0
DEAD_RETENTION_S = 600.0

# A gap between ticks of at least this length means that this process was
# paused.
PAUSE_THRESHOLD_S = 1.0

Effects = list[effects.Effect]
Status = membership_state.Status


def reset_timers_after_pause(
    state: state_module.ProxyState, moment: model.Moment
) -> None:
    """Restart the failure detection timers if this process was paused.

    Messages that peers sent during the pause may still be unread, so their
    silence during the pause is no evidence of a failure.
    """
    membership = state.membership
    if moment.at - membership.schedule.ticked_at < PAUSE_THRESHOLD_S:
        return
    for link in membership.links.values():
        link.heard_at = moment.at
        link.probes_requested_at = None
    for name in membership.suspected:
        membership.suspected[name] = moment.at


def record_contact(
    state: state_module.ProxyState, moment: model.Moment, host: str
) -> Effects:
    """Record that a host is alive and answer pending probe requests for it."""
    link = state.membership.links.get(host)
    if link is not None:
        link.heard_at = moment.at
        link.probes_requested_at = None
    requesters = state.membership.probe_requests.pop(host, {})
    return [
        effects.SendToPeer(requester, messages.ProbeAnswer(host))
        for requester in requesters
    ]


def send_heartbeat(
    moment: model.Moment, link: membership_state.Link
) -> Effects:
    """Send a heartbeat over an open link that has been idle."""
    if not link.is_open or moment.at - link.sent_at < HEARTBEAT_INTERVAL_S:
        return []
    link.sent_at = moment.at
    return [effects.SendToPeer(link.host, messages.Heartbeat())]


def check_silence(
    state: state_module.ProxyState,
    moment: model.Moment,
    link: membership_state.Link,
) -> Effects:
    """Request indirect probes of a silent host; suspect it if they fail."""
    host = state.membership.hosts.get(link.host)
    if host is None or host.status in (Status.DEAD, Status.SUSPECT):
        return []
    if not is_silent(moment, link) or moment.at < link.silence_grace_until:
        return []
    if link.probes_requested_at is None:
        link.probes_requested_at = moment.at
        return _request_indirect_probes(state, moment, link)
    if moment.at - link.probes_requested_at < PROBE_TIMEOUT_S:
        return []
    link.probes_requested_at = None
    link.silence_grace_until = moment.at + SILENCE_GRACE_S
    return _publish_status(
        state, moment, host, Status.SUSPECT, hosts.SUSPECT_COUNT_OFFSET
    )


def is_silent(moment: model.Moment, link: membership_state.Link) -> bool:
    """Return whether no direct message arrived within the timeout."""
    return moment.at - max(link.heard_at, link.since) >= SILENCE_TIMEOUT_S


def is_isolated(state: state_module.ProxyState, moment: model.Moment) -> bool:
    """Return whether every link is closed or silent."""
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
    """Record a probe request, answered at the next contact with the target.

    If this host has an open link to the target, the target's next heartbeat
    answers the request. Otherwise this host tries to open a link.
    """
    membership = state.membership
    target = message.target
    if target == state.identity.host:
        return [effects.SendToPeer(source, messages.ProbeAnswer(target))]
    membership.probe_requests.setdefault(target, {})[source] = moment.at
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
    """Extend the grace time of a silent host that another host reached."""
    link = state.membership.links.get(message.target)
    if link is not None:
        link.probes_requested_at = None
        link.silence_grace_until = moment.at + SILENCE_GRACE_S
    return []


def expire_hosts(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Declare hosts dead after the suspicion timeout and remove old ones.

    A dead host is removed after ``DEAD_RETENTION_S``.
    """
    membership = state.membership
    result: Effects = []
    for name, since in list(membership.suspected.items()):
        if moment.at - since >= SUSPICION_TIMEOUT_S:
            host = membership.hosts[name]
            result.extend(
                _publish_status(
                    state, moment, host, Status.DEAD, hosts.DEAD_COUNT_OFFSET
                )
            )
    for name, since in list(membership.dead.items()):
        if moment.at - since >= DEAD_RETENTION_S:
            hosts.forget_host(state, name)
            registers.remove_register(membership.store, "host", name)
    return result


def expire_probe_requests(
    state: state_module.ProxyState, moment: model.Moment
) -> None:
    """Drop probe requests that were not answered within the timeout."""
    probe_requests = state.membership.probe_requests
    for target, requesters in list(probe_requests.items()):
        for requester, since in list(requesters.items()):
            if moment.at - since >= PROBE_TIMEOUT_S:
                del requesters[requester]
        if not requesters:
            del probe_requests[target]


def _request_indirect_probes(
    state: state_module.ProxyState,
    moment: model.Moment,
    link: membership_state.Link,
) -> Effects:
    candidates = [
        other.host
        for other in links.list_open_links(state)
        if other.host != link.host and not is_silent(moment, other)
    ]
    # The random draw changes which hosts are chosen for each probe.
    purpose = f"probe {link.host} {moment.random_value}"
    request = messages.ProbeRequest(link.host)
    return [
        effects.SendToPeer(helper, request)
        for helper in overlay.pick_helpers(
            purpose, candidates, INDIRECT_PROBE_COUNT
        )
    ]


def _publish_status(
    state: state_module.ProxyState,
    moment: model.Moment,
    host: membership_state.Host,
    status: Status,
    count_offset: int,
) -> Effects:
    """Publish another host's new status and log it."""
    changed = host._replace(
        status=status,
        status_count=hosts.get_peer_status_count(
            host.status_count, count_offset
        ),
    )
    register = hosts.build_register(changed)
    log = effects.WriteLog(
        "membership",
        "info",
        f"host is {status.value}",
        {"host": host.name, "incarnation": host.incarnation},
    )
    return [log, *gossip.publish_register(state, moment, register)]
