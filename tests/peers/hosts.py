"""Test hosts: several reducers in one process, linked over loopback sockets."""

import contextlib
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from knapweedtally.core import state as state_module
from knapweedtally.core.membership import state as membership_state
from knapweedtally.peers import adapter as adapter_module
from knapweedtally.peers import handshake
from knapweedtally.runtime import loop as loop_module

TOKEN = "token-of-all-hosts"
TIMEOUT_S = 60.0


class Host:
    """Host with a reducer, a loop and a peers adapter."""

    def __init__(
        self,
        name: str,
        address: str,
        port: int = 0,
        token: str = TOKEN,
        incarnation: int = 1,
    ) -> None:
        """Initialise the host; it does nothing before ``serve`` runs."""
        identity = state_module.Identity(
            name, f"dc{address.split('.')[2]}", incarnation
        )
        self.state = state_module.ProxyState(identity)
        self.loop = loop_module.Loop(self.state)
        settings = handshake.PeerSettings(address, port, token)
        self.adapter = adapter_module.PeersAdapter(
            self.loop.submit, self.state, settings
        )
        self.loop.add_adapter(self.adapter)
        self.scope = anyio.CancelScope()

    async def serve(
        self,
        seeds: tuple[membership_state.Seed, ...],
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until ``scope`` is cancelled; report started when listening."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.adapter.serve)
                address, port = self.adapter.address
                self.state.membership.settings = membership_state.Settings(
                    address, port, 0, seeds
                )
                await tasks.start(self.loop.serve)
                task_status.started()

    @property
    def seed(self) -> membership_state.Seed:
        """Return the address that this host listens on, as a seed."""
        return membership_state.Seed(*self.adapter.address)

    def list_peers(self) -> set[str]:
        """Return the names of the hosts with an open link."""
        return {
            link.host
            for link in self.state.membership.links.values()
            if link.is_open
        }


@contextlib.asynccontextmanager
async def run_hosts(
    *hosts: Host,
) -> AsyncIterator[anyio.abc.TaskGroup]:
    """Run hosts that use the first one as their seed; stop them at exit."""
    async with anyio.create_task_group() as tasks:
        await tasks.start(hosts[0].serve, ())
        for host in hosts[1:]:
            await tasks.start(host.serve, (hosts[0].seed,))
        yield tasks
        tasks.cancel_scope.cancel()


async def wait_until(is_met: Callable[[], Any]) -> None:
    """Wait for a condition; fail if it isn't met within ``TIMEOUT_S``."""
    with anyio.fail_after(TIMEOUT_S):
        while not is_met():
            await anyio.sleep(0.02)
