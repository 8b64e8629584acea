"""Put one proxy together and run it."""

import signal
import time

import anyio
import anyio.abc
import structlog

from knapweedtally.callers import edge as callers_edge
from knapweedtally.conf import settings as settings_module
from knapweedtally.core import state as state_module
from knapweedtally.core.sessions import token as token_module
from knapweedtally.platform import edge as platform_edge
from knapweedtally.runtime import loop as loop_module
from knapweedtally.targets import edge as targets_edge

_log = structlog.get_logger()
MILLISECONDS = 1000


class Proxy:
    """Hold the loop and the edges of one proxy."""

    def __init__(self, settings: settings_module.Settings) -> None:
        identity = state_module.Identity(
            settings.host_name, settings.data_centre, make_incarnation()
        )
        self.state = state_module.ProxyState(identity)
        self.state.bundles.keys = settings.bundle_keys
        self.loop = loop_module.Loop(self.state)
        submit = self.loop.submit
        source_host = settings.listen_address
        self.targets = targets_edge.TargetsEdge(submit, self.state, source_host)
        self.callers = callers_edge.CallersEdge(
            submit,
            self.state,
            self.targets,
            (settings.listen_address, settings.listen_port),
            make_signing_keys(settings),
        )
        self.platform = platform_edge.PlatformEdge(
            submit, settings.platform_address, source_host
        )
        for edge in (self.targets, self.callers, self.platform):
            self.loop.add_edge(edge)

    async def serve(self) -> None:
        """Run until a signal or cancellation."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals, tasks.cancel_scope)
            await tasks.start(self.targets.serve)
            await tasks.start(self.platform.serve)
            await tasks.start(self.loop.serve)
            await tasks.start(self.callers.serve)
            _log.info("proxy: serving", host=self.state.identity.host)

    async def _watch_signals(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for number in signals:
                _log.info("proxy: stopping", signal=number.name)
                scope.cancel()


def make_incarnation() -> int:
    """Return a number that grows with each start of a host."""
    return int(time.time() * MILLISECONDS)


def make_signing_keys(
    settings: settings_module.Settings,
) -> tuple[token_module.SigningKey, ...]:
    """Return the keys of session tokens; the first one signs."""
    return tuple(
        token_module.SigningKey(key.id, key.key)
        for key in settings.token_keys.reveal()
    )


def run_proxy(settings: settings_module.Settings) -> None:
    """Run a proxy until it is told to stop."""
    proxy = Proxy(settings)
    anyio.run(proxy.serve, backend_options={"use_uvloop": True})
