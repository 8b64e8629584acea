"""The process of an entry host: listeners, background tasks and shutdown."""

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable
from collections.abc import Callable

import uvloop

from knapweedtally.entry import clock
from knapweedtally.entry import host as host_module
from knapweedtally.entry import logs
from knapweedtally.entry import relays
from knapweedtally.entry import sessions
from knapweedtally.platform import settings
from knapweedtally.utils import http
from knapweedtally.utils import http_server

READY_PATH = "/readyz"
METRICS_PATH = "/metrics"

# Fraction of the grace time for which a stopping host accepts connections. The
# load balancer needs two readiness checks, one second apart, to notice it.
ACCEPT_FRACTION = 0.4

# Fraction of the grace time after which open transactions are aborted.
ABORT_FRACTION = 0.55

# Fraction of the grace time after which the process exits at the latest.
EXIT_FRACTION = 0.85

# Interval of the checks during a graceful shutdown, in seconds.
DRAIN_CHECK_INTERVAL_S = 0.05

# Connections that may wait to be accepted, on each listener.
BACKLOG = 512


class EntryProcess:
    """Run one entry host until it receives SIGTERM or SIGINT."""

    def __init__(self, host_settings: settings.HostSettings) -> None:
        """Create the process without opening a socket."""
        self._settings = host_settings
        self._log = logs.Log(host_settings.host)
        self._host = host_module.Host(host_settings, self._log)
        self._stop_requested = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._handle_sighup)
        address = self._settings.callers
        server = await loop.create_server(
            lambda: sessions.CallerSession(self._host),
            address.host,
            address.port,
            backlog=BACKLOG,
        )
        if self._settings.peers is not None:
            await loop.create_server(
                lambda: relays.RelaySession(
                    self._host.find_direct_pool, self._host.relay_sessions
                ),
                self._settings.peers.host,
                self._settings.peers.port,
                backlog=BACKLOG,
            )
        self._log.write("started", data_centre=self._settings.data_centre)
        background_loops = [
            *(watcher.run() for watcher in self._host.make_watchers()),
            self._host.run_ticks(),
            self._serve_http(self._settings.readiness, self._handle_readiness),
        ]
        if self._settings.metrics is not None:
            background_loops.append(
                self._serve_http(self._settings.metrics, self._handle_metrics)
            )
        discovery_task = loop.create_task(self._host.peers.run())
        tasks = [
            loop.create_task(background_loop)
            for background_loop in background_loops
        ]
        stop_task = loop.create_task(self._stop_requested.wait())
        done, _ = await asyncio.wait(
            [*tasks, stop_task], return_when=asyncio.FIRST_COMPLETED
        )
        if stop_task not in done:
            for task in done:
                task.result()
            raise RuntimeError(
                "a background task of the entry host ended unexpectedly"
            )
        discovery_task.cancel()
        await self._drain(server)
        self._log.write("stopped", left_sessions=len(self._host.sessions))
        self._log.flush()

    async def _serve_http(
        self,
        address: settings.Address,
        handler: Callable[[http.Request], Awaitable[http.Response]],
    ) -> None:
        server = http_server.Server(handler, address.host, address.port)
        await server.serve()

    async def _handle_readiness(self, request: http.Request) -> http.Response:
        if request.path != READY_PATH:
            return http.Response(404)
        return http.Response(200 if self._host.is_ready() else 503)

    async def _handle_metrics(self, request: http.Request) -> http.Response:
        if request.path != METRICS_PATH:
            return http.Response(404)
        host = self._host
        gauges: dict[str, float] = {
            "sessions": len(host.sessions),
            "store_calls": host.store.call_count,
            "log_lines_left_out": self._log.dropped_lines,
        }
        for router in host.routers.values():
            name = router.settings.name
            gauges[f'queue{{group="{name}"}}'] = router.queue_length
            for target, pool in router.pools.items():
                key = f'connections{{target="{target}"}}'
                gauges[key] = pool.size
        text = host.counters.format_text(gauges)
        return http.Response(200, text.encode(), {"content-type": "text/plain"})

    def _handle_sighup(self) -> None:
        """Check the settings file on SIGHUP.

        The settings in use stay until the next start.
        """
        try:
            settings.load_settings()
        except settings.SettingsError as error:
            self._log.write("reload_failed", reason=str(error))
            return
        self._log.write("reloaded")

    async def _drain(self, server: asyncio.AbstractServer) -> None:
        """Close the sessions within the grace time.

        Idle connections of other hosts are closed at once. Callers may still
        connect until ``ACCEPT_FRACTION`` of the grace time. After that idle
        sessions are closed, and after ``ABORT_FRACTION`` sessions with an
        open transaction too.
        """
        host = self._host
        host.is_draining = True
        self._log.write("stopping", sessions=len(host.sessions))
        grace_s = self._settings.grace_s
        started_s = clock.get_time_s()
        is_accepting = True
        while host.sessions or host.relay_sessions or is_accepting:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
            now_s = clock.get_time_s()
            elapsed_s = now_s - started_s
            if elapsed_s > grace_s * EXIT_FRACTION:
                break
            if is_accepting and elapsed_s > grace_s * ACCEPT_FRACTION:
                is_accepting = False
                server.close()
            for relay_session in tuple(host.relay_sessions):
                if relay_session.is_idle():
                    relay_session.close()
            if is_accepting:
                continue
            for session in tuple(host.sessions):
                if session.is_idle():
                    session.close()
                elif elapsed_s > grace_s * ABORT_FRACTION:
                    session.close_unless_busy("the entry host is shutting down")


def main() -> None:
    """Run the process of an entry host."""
    # The objects created at startup live as long as the process. Excluding
    # them from garbage collection saves processor time.
    gc.collect()
    gc.freeze()
    try:
        host_settings = settings.load_settings()
    except settings.SettingsError as error:
        sys.exit(f"knapweedtally: {error}")
    uvloop.run(EntryProcess(host_settings).run())
