"""The table of known hosts, built from registers of kind ``host``.

The version of a host's register is (incarnation, count). A register that the
host publishes itself has a count that is a multiple of ``COUNT_STEP``. Other
hosts publish a suspicion of the host at the next count and its death at the
one after that. So a version always has the same value, whichever host
publishes it, and the host refutes a suspicion with the next multiple.
"""

from collections.abc import Callable

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import state as membership_state

COUNT_STEP = 4
SUSPECT_COUNT_OFFSET = 1
DEAD_COUNT_OFFSET = 2

Status = membership_state.Status
_TEXT_FIELDS = ("address", "data_centre", "status")
_NUMBER_FIELDS = ("peer_port", "admin_port", "bundle_version")


def get_next_own_count(count: int) -> int:
    """Return the next count at which a host publishes its own register."""
    return (count // COUNT_STEP + 1) * COUNT_STEP


def get_peer_status_count(count: int, count_offset: int) -> int:
    """Return the count at which other hosts publish a host's failure.

    Args:
        count: count of the host's current register.
        count_offset: ``SUSPECT_COUNT_OFFSET`` or ``DEAD_COUNT_OFFSET``.
    """
    return count - count % COUNT_STEP + count_offset


def build_own_host(state: state_module.ProxyState) -> membership_state.Host:
    """Return the description of this host for its next register."""
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
    """Return the register that describes a host."""
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
    """Return the host that a register describes, or None if malformed."""
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
    """Update the table of hosts from a host's newest register."""
    membership = state.membership
    known = membership.hosts.get(host.name)
    membership.hosts[host.name] = host
    if membership.suspected.pop(host.name, None) is not None:
        membership.is_overlay_stale = True
    membership.dead.pop(host.name, None)
    _APPLIERS[host.status](membership, moment, host, known)
    if known is None or _get_location(known) != _get_location(host):
        membership.is_overlay_stale = True


def forget_host(state: state_module.ProxyState, name: str) -> None:
    """Remove a dead host from the table of hosts; its register stays."""
    membership = state.membership
    membership.hosts.pop(name, None)
    membership.suspected.pop(name, None)
    membership.dead.pop(name, None)
    _remove_live_host(membership, name)


def get_live_hosts(state: state_module.ProxyState) -> dict[str, str]:
    """Return the data centre of each host that counts as live, by name.

    A suspected host counts as live until it is declared dead; a leaving host
    doesn't count as live. The dictionary belongs to the state, so callers must
    not modify it.
    """
    return state.membership.live


def is_alive(state: state_module.ProxyState, name: str) -> bool:
    """Return whether a host is known and not dead."""
    host = state.membership.hosts.get(name)
    return host is not None and host.status is not Status.DEAD


def _get_location(host: membership_state.Host) -> tuple[str, int, str]:
    return host.address, host.peer_port, host.data_centre


def _add_live_host(
    membership: membership_state.MembershipState,
    host: membership_state.Host,
) -> None:
    if membership.live.get(host.name) != host.data_centre:
        membership.live[host.name] = host.data_centre
        membership.is_overlay_stale = True


def _remove_live_host(
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
    _add_live_host(membership, host)


def _apply_leaving(
    membership: membership_state.MembershipState,
    moment: model.Moment,
    host: membership_state.Host,
    known: membership_state.Host | None,
) -> None:
    _remove_live_host(membership, host.name)


def _apply_suspect(
    membership: membership_state.MembershipState,
    moment: model.Moment,
    host: membership_state.Host,
    known: membership_state.Host | None,
) -> None:
    membership.suspected[host.name] = moment.at
    membership.is_overlay_stale = True
    if known is None:
        _add_live_host(membership, host)


def _apply_dead(
    membership: membership_state.MembershipState,
    moment: model.Moment,
    host: membership_state.Host,
    known: membership_state.Host | None,
) -> None:
    membership.dead[host.name] = moment.at
    _remove_live_host(membership, host.name)


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
