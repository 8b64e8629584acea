"""Gossip of registers: deltas of changes, and anti-entropy by digests."""

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import hosts
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import registers
from knapweedtally.core.membership import state as membership_state

# Limits of one message of deltas.
MAX_DELTAS_PER_MESSAGE = 100
MAX_DELTA_MESSAGE_BYTES = 65_536

# A failover waits for registers of these kinds, so they are sent without
# waiting for the next tick, up to a number of messages per link and tick.
URGENT_KINDS = frozenset({"group", "observation"})
MAX_URGENT_SENDS = 5

# Kinds whose owning part validates a received register and publishes it again
# if it is valid. A forged register of a high version that was stored without
# validation would block valid ones.
VALIDATED_KINDS = frozenset({"bundle"})

Effects = list[effects.Effect]


def publish_register(
    state: state_module.ProxyState,
    moment: model.Moment,
    register: model.Register,
) -> Effects:
    """Store a register and queue it for every open link."""
    size = registers.estimate_size(register)
    if size > registers.MAX_REGISTER_BYTES:
        return [_build_size_warning(register, size)]
    if not _store_register(state, moment, register):
        return []
    return _queue_register(state, moment, register, source="")


def publish_own_host(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Publish this host's own register with its next count."""
    host = hosts.build_own_host(state)
    state.membership.count = host.status_count
    state.membership.published_bundle = host.bundle_version
    return publish_register(state, moment, hosts.build_register(host))


def receive_deltas(
    state: state_module.ProxyState,
    moment: model.Moment,
    source: str,
    message: messages.Deltas,
) -> Effects:
    """Store newer registers, notify the other parts and forward them."""
    result: Effects = []
    for register in message.registers:
        result.extend(_receive_register(state, moment, source, register))
    return result


def receive_summary(
    state: state_module.ProxyState,
    moment: model.Moment,
    source: str,
    message: messages.Summary,
) -> Effects:
    """Answer with digests of each kind whose hash differs.

    If the peer has no register of a kind, queue all of them instead.
    """
    store = state.membership.store
    result: Effects = []
    for kind in registers.KINDS:
        own_hash = store.hashes.get(kind, 0)
        peer_hash = message.hashes.get(kind, 0)
        if own_hash == peer_hash:
            continue
        if not peer_hash:
            _queue_kind(state, source, kind)
            continue
        result.extend(
            effects.SendToPeer(source, digest)
            for digest in registers.build_digests(store, kind)
        )
    return result


def receive_digest(
    state: state_module.ProxyState,
    moment: model.Moment,
    source: str,
    message: messages.Digest,
) -> Effects:
    """Queue registers that the sender lacks and request newer ones."""
    store = state.membership.store
    link = state.membership.links.get(source)
    if link is None:
        return []
    for key in registers.list_missing_keys(store, message):
        link.pending[key] = None
    if message.is_reply:
        return []
    if not registers.has_newer_entry(store, message.kind, message.entries):
        return []
    digests = registers.build_digests(
        store, message.kind, message.first, message.last, is_reply=True
    )
    return [effects.SendToPeer(source, digest) for digest in digests]


def build_summary(state: state_module.ProxyState) -> messages.Summary:
    """Return the hash of this host's registers of each kind."""
    return messages.Summary(dict(state.membership.store.hashes))


def flush_link(
    state: state_module.ProxyState,
    moment: model.Moment,
    link: membership_state.Link,
) -> Effects:
    """Send one message of the registers that are queued for a link."""
    link.urgent_sends = 0
    if not link.urgent and not link.pending:
        return []
    for key in link.urgent:
        link.pending.pop(key, None)
    link.pending = {**link.urgent, **link.pending}
    link.urgent = {}
    return _send_batch(state, moment, link, link.pending)


def _send_batch(
    state: state_module.ProxyState,
    moment: model.Moment,
    link: membership_state.Link,
    queue: dict[membership_state.Key, None],
) -> Effects:
    batch = _dequeue_batch(state.membership.store, queue)
    if not batch:
        return []
    link.sent_at = moment.at
    return [effects.SendToPeer(link.host, messages.Deltas(tuple(batch)))]


def _dequeue_batch(
    store: membership_state.RegisterStore,
    queue: dict[membership_state.Key, None],
) -> list[model.Register]:
    """Remove registers from a queue in order, up to the message limits.

    A message has at least one register, whatever its size.
    """
    batch: list[model.Register] = []
    size = 0
    while queue and len(batch) < MAX_DELTAS_PER_MESSAGE:
        key = next(iter(queue))
        entry = store.entries.get(key)
        if entry is not None:
            size += entry.size
            if batch and size > MAX_DELTA_MESSAGE_BYTES:
                break
            batch.append(entry.register)
        del queue[key]
    return batch


def _receive_register(
    state: state_module.ProxyState,
    moment: model.Moment,
    source: str,
    register: model.Register,
) -> Effects:
    if not registers.is_newer(state.membership.store, register):
        return []
    if register.kind == "host" and register.name == state.identity.host:
        return refute_register(state, moment, register)
    if register.kind in VALIDATED_KINDS:
        return [effects.RaiseEvent(events.RegisterSeen(register))]
    if not _store_register(state, moment, register):
        return []
    return [
        effects.RaiseEvent(events.RegisterSeen(register)),
        *_queue_register(state, moment, register, source),
    ]


def refute_register(
    state: state_module.ProxyState,
    moment: model.Moment,
    register: model.Register,
) -> Effects:
    """Publish this host's register above a version that others published."""
    membership = state.membership
    result: Effects = []
    incarnation, *counts = register.version
    if incarnation > membership.incarnation:
        result.append(_build_incarnation_warning(state, incarnation))
        membership.incarnation = incarnation + 1
        membership.count = 0
    elif counts:
        membership.count = max(membership.count, counts[0])
    return result + publish_own_host(state, moment)


def _store_register(
    state: state_module.ProxyState,
    moment: model.Moment,
    register: model.Register,
) -> bool:
    """Store a register if it is newer.

    A malformed host register and a tombstone of an unknown host are not stored.

    Returns:
        Whether the register was stored.
    """
    store = state.membership.store
    if register.kind != "host":
        return registers.put_register(store, register)
    host = hosts.read_host(register)
    if host is None:
        return False
    is_known = host.name in state.membership.hosts
    # Otherwise hosts would keep sending each other tombstones that were
    # already removed.
    if not is_known and registers.is_tombstone(register):
        return False
    if not registers.put_register(store, register):
        return False
    hosts.apply_host(state, moment, host)
    return True


def _queue_register(
    state: state_module.ProxyState,
    moment: model.Moment,
    register: model.Register,
    source: str,
) -> Effects:
    """Queue a register for every open link except its source's."""
    key = (register.kind, register.name)
    is_urgent = register.kind in URGENT_KINDS
    result: Effects = []
    for link in state.membership.links.values():
        if not link.is_open or link.host == source:
            continue
        if not is_urgent:
            link.pending[key] = None
            continue
        link.urgent[key] = None
        if link.urgent_sends < MAX_URGENT_SENDS:
            link.urgent_sends += 1
            result.extend(_send_batch(state, moment, link, link.urgent))
    return result


def _queue_kind(state: state_module.ProxyState, host: str, kind: str) -> None:
    link = state.membership.links.get(host)
    if link is None:
        return
    for key, entry in state.membership.store.entries.items():
        if key[0] == kind and not registers.is_tombstone(entry.register):
            link.pending[key] = None


def _build_size_warning(
    register: model.Register, size: int
) -> effects.WriteLog:
    return effects.WriteLog(
        "membership",
        "warning",
        "register exceeds the size limit and is not published; make it smaller",
        {
            "kind": register.kind,
            "name": register.name,
            "bytes": size,
            "limit_bytes": registers.MAX_REGISTER_BYTES,
        },
    )


def _build_incarnation_warning(
    state: state_module.ProxyState, incarnation: int
) -> effects.WriteLog:
    return effects.WriteLog(
        "membership",
        "warning",
        "peers hold a higher incarnation of this host; if another process "
        "uses the same host name, give each process its own name",
        {"host": state.identity.host, "incarnation": incarnation},
    )
