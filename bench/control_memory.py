"""Measure the memory of one host's control state."""

import gc
import tracemalloc
from typing import Any

from bench import control_model
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core import state as state_module
from knapweedtally.core.bundles import signatures
from knapweedtally.core.membership import events as membership_events
from knapweedtally.core.membership import hosts
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import state as membership_state
from knapweedtally.peers import codec

PEER = "dc1-peer"
DATA_CENTRES = 11


def measure_state(host_count: int, group_count: int) -> int:
    """Return the size in bytes of the state of a host that knows a fleet.

    Registers are decoded from encoded messages, as received from a peer, so
    that the state shares no objects with the sender.

    Args:
        host_count: hosts in the fleet.
        group_count: groups in the bundle, each with a record.
    """
    encoded_messages = [
        codec.encode_message(messages.Deltas((item,)))
        for item in build_registers(host_count, group_count)
    ]
    _make_state(build_registers(2, 2))
    gc.collect()
    tracemalloc.start()
    state = _make_state(())
    for encoded_message in encoded_messages:
        _receive_message(state, codec.decode_message(encoded_message))
    del encoded_message
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes


def make_fleet_state(
    host_count: int, group_count: int
) -> state_module.ProxyState:
    """Return the state of a host that knows a fleet."""
    return _make_state(build_registers(host_count, group_count))


def build_registers(
    host_count: int, group_count: int, version: int = 1
) -> tuple[model.Register, ...]:
    """Return the registers of a fleet: hosts, a bundle and group records.

    Args:
        host_count: number of hosts.
        group_count: number of groups.
        version: version of the bundle in force; a later version gives newer
            registers.
    """
    host_registers = [
        hosts.build_register(
            membership_state.Host(
                f"dc{number % DATA_CENTRES + 1}-h{number}",
                f"127.0.{number % DATA_CENTRES + 1}.{number % 250 + 1}",
                7100,
                7200,
                f"dc{number % DATA_CENTRES + 1}",
                membership_state.Status.LIVE,
                version,
                1_700_000_000_000 + number,
                4 * version,
            )
        )
        for number in range(host_count)
    ]
    value = control_model.build_bundle(version, group_count, DATA_CENTRES)
    bundle = model.Register("bundle", "current", (version,), value)
    groups = [
        control_model.build_group_register(f"g{number}", 1)
        for number in range(group_count)
    ]
    return (*host_registers, bundle, *groups)


def _make_state(
    registers: tuple[model.Register, ...],
) -> state_module.ProxyState:
    state = state_module.ProxyState(state_module.Identity("dc1-own", "dc1", 1))
    key = signatures.derive_public_key(control_model.PRIVATE_KEY)
    state.bundles.keys = {control_model.SIGNER: key}
    _submit_event(state, membership_events.LinkOpened(PEER, True))
    _receive_message(state, messages.Deltas(registers))
    return state


def _receive_message(state: state_module.ProxyState, message: Any) -> None:
    _submit_event(state, membership_events.PeerMessageReceived(PEER, message))


def _submit_event(state: state_module.ProxyState, event: Any) -> None:
    reducer.decide(state, model.Moment(1.0, 0.5), event)
