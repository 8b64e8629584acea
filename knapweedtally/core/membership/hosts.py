"""What is known of each host, kept as registers of kind ``host``.

A host's version is (incarnation, count). A host's own word takes counts that
are multiples of ``COUNT_STEP``; the suspicion and the death that others
announce take the next two counts above it. So each version has one value,
whoever publishes it, and the host refutes with the next multiple.
"""

from collections.abc import Callable

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import state as membership_state

COUNT_STEP = 4
SUSPECT_RANK = 1
DEAD_RANK = 2

Status = membership_state.Status
_TEXT_FIELDS = ("address", "data_centre", "status")
_NUMBER_FIELDS = ("peer_port", "admin_port", "bundle_version")


def get_next_own_count(count: int) -> int:
    """Return the lowest count of a host's own word above a count."""
    return (count // COUNT_STEP + 1) * COUNT_STEP


def get_rank_count(count: int, rank: int) -> int:
    """Return the count of others' word on the host's word at a count."""
    return count - count % COUNT_STEP + rank


def build_own_host(state: state_module.ProxyState) -> membership_state.Host:
    """Return this host as its next register states it."""
    membership = state.membership
    settings = membership.settings
    bundle = state.directory.bundle
    return membership_state.Host(
        state.identity.host,
        settings.address,
        settings.peer_port,
        settings.admin_port,
        state.identity.data_centre,
        Status.LEAVING if membership.is_leaving else Status.LIVE,
        bundle.version if bundle else 0,
        membership.incarnation,
        get_next_own_count(membership.count),
    )


def build_register(host: membership_state.Host) -> model.Register:
    """Return the register that states a host."""
    value: dict[str, object] = {
        "address": host.address,
        "peer_port": host.peer_port,
        "admin_port": host.admin_port,
        "data_centre": host.data_centre,
        "status": host.status.value,
        "bundle_version": host.bundle_version,
    }
    return model.Register(
        "host", host.name, (host.incarnation, host.status_count), value
    )


def read_host(register: model.Register) -> membership_state.Host | None:
    """Return the host that a register states, or None if it is malformed."""
    value = register.value
    if not all(isinstance(value.get(name), str) for name in _TEXT_FIELDS):
        return None
    if not all(isinstance(value.get(name), int) for name in _NUMBER_FIELDS):
        return None
    try:
        status = Status(value["status"])
        incarnation, count = register.version
    except ValueError:
        return None
    return membership_state.Host(
        register.name,
        str(value["address"]),
        int(str(value["peer_port"])),
        int(str(value["admin_port"])),
        str(value["data_centre"]),
        status,
        int(str(value["bundle_version"])),
        incarnation,
        count,
    )


def apply_host(
    state: state_module.ProxyState,
    moment: model.Moment,
    host: membership_state.Host,
) -> None:
    """Take a host's newest register into the table of hosts."""
    membership = state.membership
    known = membership.hosts.get(host.name)
    membership.hosts[host.name] = host
    if membership.suspected.pop(host.name, None) is not None:
        membership.is_overlay_stale = True
    membership.dead.pop(host.name, None)
    _APPLIERS[host.status](membership, moment, host, known)
    if known is None or _get_place(known) != _get_place(host):
        membership.is_overlay_stale = True


def forget_host(state: state_module.ProxyState, name: str) -> None:
    """Drop everything known of a dead host but its register."""
    membership = state.membership
    membership.hosts.pop(name, None)
    membership.suspected.pop(name, None)
    membership.dead.pop(name, None)
    _remove_live(membership, name)


def live_hosts(state: state_module.ProxyState) -> dict[str, str]:
    """Return the data centre of each host that counts as live, by name.

    A suspect counts as live until it is dead; a leaving host doesn't count.
    The dictionary is the state's own: read it, don't change it.
    """
    return state.membership.live


def is_alive(state: state_module.ProxyState, name: str) -> bool:
    """Return whether a host is known and not dead."""
    host = state.membership.hosts.get(name)
    return host is not None and host.status is not Status.DEAD


def _get_place(host: membership_state.Host) -> tuple[str, int, str]:
    return host.address, host.peer_port, host.data_centre


def _add_live(
    membership: membership_state.MembershipState,
    host: membership_state.Host,
) -> None:
    if membership.live.get(host.name) != host.data_centre:
        membership.live[host.name] = host.data_centre
        membership.is_overlay_stale = True


def _remove_live(
    membership: membership_state.MembershipState, name: str
) -> None:
    if membership.live.pop(name, None) is not None:
        membership.is_overlay_stale = True


def _apply_live(
    membership: membership_state.MembershipState,
    moment: model.Moment,
    host: membership_state.Host,
    known: membership_state.Host | None,
) -> None:
    _add_live(membership, host)


def _apply_leaving(
    membership: membership_state.MembershipState,
    moment: model.Moment,
    host: membership_state.Host,
    known: membership_state.Host | None,
) -> None:
    _remove_live(membership, host.name)


def _apply_suspect(
    membership: membership_state.MembershipState,
    moment: model.Moment,
    host: membership_state.Host,
    known: membership_state.Host | None,
) -> None:
    membership.suspected[host.name] = moment.at
    membership.is_overlay_stale = True
    if known is None:
        _add_live(membership, host)


def _apply_dead(
    membership: membership_state.MembershipState,
    moment: model.Moment,
    host: membership_state.Host,
    known: membership_state.Host | None,
) -> None:
    membership.dead[host.name] = moment.at
    _remove_live(membership, host.name)


_APPLIERS: dict[
    Status,
    Callable[
        [
            membership_state.MembershipState,
            model.Moment,
            membership_state.Host,
            membership_state.Host | None,
        ],
        None,
    ],
] = {
    Status.LIVE: _apply_live,
    Status.LEAVING: _apply_leaving,
    Status.SUSPECT: _apply_suspect,
    Status.DEAD: _apply_dead,
}
