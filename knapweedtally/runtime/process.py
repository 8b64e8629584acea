"""Assemble a proxy from its settings and run it."""

import signal
import ssl
import time

import anyio
import anyio.abc
import structlog

from knapweedtally.admin import adapter as admin_adapter
from knapweedtally.admin import remote_decisions
from knapweedtally.admin import views
from knapweedtally.callers import adapter as callers_adapter
from knapweedtally.conf import settings as settings_module
from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import events as draining_events
from knapweedtally.core.draining import state as draining_state
from knapweedtally.core.membership import state as membership_state
from knapweedtally.core.sessions import token as token_module
from knapweedtally.metrics import proxy_metrics as proxy_metrics_module
from knapweedtally.peers import adapter as peers_adapter
from knapweedtally.peers import handshake
from knapweedtally.runtime import adapters
from knapweedtally.runtime import certificates as certificates_module
from knapweedtally.runtime import logs
from knapweedtally.runtime import loop as loop_module
from knapweedtally.store import adapter as platform_adapter
from knapweedtally.store import client as platform_client
from knapweedtally.targets import adapter as targets_adapter
from knapweedtally.utils import tls

_log = structlog.get_logger()
MILLISECONDS_PER_SECOND = 1000


class ProcessAdapter:
    """Handle signals and run the effects that concern the process itself.

    Attributes:
        effect_types: types of the effects that this adapter runs.
    """

    effect_types: tuple[type, ...] = (
        effects.SetWatching,
        effects.StopProcess,
    )

    def __init__(
        self,
        submit: adapters.Submit,
        platform: platform_adapter.PlatformAdapter,
        certificates: certificates_module.Certificates,
    ) -> None:
        self._submit = submit
        self._certificates = certificates
        self._platform = platform
        self._scope: anyio.CancelScope | None = None

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Start draining on the first SIGTERM or SIGINT, stop on the second.

        SIGHUP reloads the certificates.
        """
        stop_signal_count = 0
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            task_status.started()
            async for received_signal in signals:
                if received_signal is signal.SIGHUP:
                    self._certificates.reload()
                    continue
                stop_signal_count += 1
                if stop_signal_count > 1:
                    self._stop_process()
                reason = f"signal {received_signal.name}"
                self._submit(draining_events.DrainRequested(reason))

    def set_cancel_scope(self, scope: anyio.CancelScope) -> None:
        """Set the scope that is cancelled to stop the process."""
        self._scope = scope

    def run_effect(self, effect: effects.Effect) -> None:
        """Start running an effect without waiting for it."""
        if isinstance(effect, effects.SetWatching):
            self._platform.set_watching(effect.is_watching)
        else:
            self._stop_process()

    def _stop_process(self) -> None:
        _log.info("process: stopping")
        if self._scope is not None:
            self._scope.cancel()


class Proxy:
    """Loop and adapters of one proxy.

    Attributes:
        state: state of the proxy.
        loop: loop that processes events.
    """

    def __init__(self, settings: settings_module.Settings) -> None:
        self.state = make_state(settings)
        self.loop = loop_module.Loop(self.state)
        self._metrics = proxy_metrics_module.ProxyMetrics(self.state)
        submit = self.loop.submit
        source_host = settings.listen_address
        certificates = certificates_module.Certificates(settings)
        targets = targets_adapter.TargetsAdapter(
            submit, self.state, source_host
        )
        platform = platform_adapter.PlatformAdapter(
            submit,
            settings.platform_address,
            source_host,
            make_listed_host(settings),
            is_leaving=lambda: views.is_draining(self.state),
        )
        peers = peers_adapter.PeersAdapter(
            submit, self.state, make_peer_settings(settings, certificates)
        )
        self._process = ProcessAdapter(submit, platform, certificates)
        self._adapters: tuple[adapters.Adapter, ...] = (
            self._process,
            targets,
            platform,
            peers,
            callers_adapter.CallersAdapter(
                submit,
                self.state,
                targets,
                (settings.listen_address, settings.listen_port),
                make_signing_keys(settings),
                self._metrics.requests,
                get_ssl_context(certificates.callers),
            ),
            admin_adapter.AdminAdapter(
                submit,
                self.state,
                (settings.admin_address, settings.admin_port),
                settings.admin_token.reveal(),
                platform_client.PlatformClient(
                    settings.platform_address, source_host
                ),
                remote_decisions.PeerDecisionFetcher(peers),
                self._metrics,
            ),
        )
        for adapter in self._adapters:
            self.loop.add_adapter(adapter)

    async def serve(self) -> None:
        """Run until draining has ended or a second stop signal is received."""
        async with anyio.create_task_group() as tasks:
            self._process.set_cancel_scope(tasks.cancel_scope)
            await tasks.start(self.loop.serve)
            await tasks.start(self._metrics.record_snapshots)
            for adapter in self._adapters:
                await tasks.start(adapter.serve)
            _log.info("process: serving", host=self.state.identity.host)


def make_state(
    settings: settings_module.Settings,
) -> state_module.ProxyState:
    """Return the initial state of a proxy."""
    identity = state_module.Identity(
        settings.host_name, settings.data_centre, make_incarnation()
    )
    state = state_module.ProxyState(identity)
    state.bundles.keys = settings.bundle_keys
    state.draining.settings = draining_state.Settings(
        timeout_s=settings.drain_timeout_s
    )
    state.membership.settings = membership_state.Settings(
        settings.peer_address,
        settings.peer_port,
        settings.admin_port,
        tuple(membership_state.Seed(*seed) for seed in settings.seed_peers),
    )
    return state


def make_incarnation() -> int:
    """Return a number that increases with each start of a host."""
    return int(time.time() * MILLISECONDS_PER_SECOND)


def make_listed_host(settings: settings_module.Settings) -> model.ListedHost:
    """Return this host's entry in the platform's list of hosts."""
    return model.ListedHost(
        settings.host_name,
        settings.peer_address,
        settings.peer_port,
        settings.data_centre,
        is_leaving=False,
    )


def make_peer_settings(
    settings: settings_module.Settings,
    certificates: certificates_module.Certificates,
) -> handshake.PeerSettings:
    """Return the settings of the peers adapter."""
    return handshake.PeerSettings(
        settings.peer_address,
        settings.peer_port,
        settings.peer_token.reveal(),
        get_ssl_context(certificates.peer_server),
        get_ssl_context(certificates.peer_client),
    )


def get_ssl_context(
    reloadable: tls.ReloadableContext | None,
) -> ssl.SSLContext | None:
    """Return the SSL context, or None without TLS."""
    return reloadable.context if reloadable else None


def make_signing_keys(
    settings: settings_module.Settings,
) -> tuple[token_module.SigningKey, ...]:
    """Return the keys of session tokens; the first one signs new tokens."""
    return tuple(
        token_module.SigningKey(key.id, key.key)
        for key in settings.token_keys.reveal()
    )


def run_proxy(settings: settings_module.Settings) -> None:
    """Configure logging and run a proxy until it stops."""
    logs.configure_logs(settings.log_level, settings.log_format)
    proxy = Proxy(settings)
    anyio.run(proxy.serve, backend_options={"use_uvloop": True})
