"""Run an entry host: its listeners, its loops and its planned stop."""

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

# Fraction of the grace time for which a stopping host takes what arrives: the
# balancer finds out in two questions, a second apart.
ACCEPT_FRACTION = 0.4

# Fraction of the grace time after which transactions are ended.
TRANSACTION_FRACTION = 0.55

# Fraction of the grace time after which the process ends.
END_FRACTION = 0.85

# Interval of the checks during a planned stop, in seconds.
STOP_CHECK_S = 0.05

# Connections of callers that wait to be accepted.
BACKLOG = 512


class EntryProcess:
    """Run one entry host until it is told to stop."""

    def __init__(self, configured: settings.HostSettings) -> None:
        """Make the process without opening anything."""
        self._settings = configured
        self._log = logs.Log(configured.host)
        self._host = host_module.Host(configured, self._log)
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, then stop in order."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
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
        loops = [
            *(watcher.run() for watcher in self._host.make_watchers()),
            self._host.run_ticks(),
            self._serve_http(self._settings.readiness, self._answer_ready),
        ]
        if self._settings.metrics is not None:
            loops.append(
                self._serve_http(self._settings.metrics, self._answer_metrics)
            )
        finding = loop.create_task(self._host.peers.run())
        tasks = [loop.create_task(run) for run in loops]
        stop = loop.create_task(self._stop.wait())
        done, _ = await asyncio.wait(
            [*tasks, stop], return_when=asyncio.FIRST_COMPLETED
        )
        if stop not in done:
            for task in done:
                task.result()
            raise RuntimeError("a loop of the host ended")
        finding.cancel()
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

    async def _answer_ready(self, request: http.Request) -> http.Response:
        if request.path != READY_PATH:
            return http.Response(404)
        return http.Response(200 if self._host.is_ready() else 503)

    async def _answer_metrics(self, request: http.Request) -> http.Response:
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

    def _note_reload(self) -> None:
        """Read the settings again; addresses hold until the next start."""
        try:
            settings.load_settings()
        except settings.SettingsError as error:
            self._log.write("reload_failed", reason=str(error))
            return
        self._log.write("reloaded")

    async def _drain(self, server: asyncio.AbstractServer) -> None:
        """Send callers elsewhere and end in time."""
        host = self._host
        host.is_draining = True
        self._log.write("stopping", sessions=len(host.sessions))
        grace_s = self._settings.grace_s
        started_s = clock.get_time_s()
        is_accepting = True
        while host.sessions or host.relay_sessions or is_accepting:
            await asyncio.sleep(STOP_CHECK_S)
            now_s = clock.get_time_s()
            passed_s = now_s - started_s
            if passed_s > grace_s * END_FRACTION:
                break
            if is_accepting and passed_s > grace_s * ACCEPT_FRACTION:
                is_accepting = False
                server.close()
            for relay in tuple(host.relay_sessions):
                if relay.is_resting():
                    relay.close()
            if is_accepting:
                continue
            for session in tuple(host.sessions):
                if session.is_resting():
                    session.close()
                elif passed_s > grace_s * TRANSACTION_FRACTION:
                    session.stop_transaction("the host stops")


def main() -> None:
    """Run the process of an entry host."""
    # The start's objects live as long as the process: collecting them again
    # and again would cost processor time.
    gc.collect()
    gc.freeze()
    try:
        configured = settings.load_settings()
    except settings.SettingsError as error:
        sys.exit(f"knapweedtally: {error}")
    uvloop.run(EntryProcess(configured).run())
