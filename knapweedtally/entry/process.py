"""The process of an entry host: listeners, background tasks and shutdown."""

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable
from collections.abc import Callable

import uvloop

from knapweedtally.entry import graceful_stop
from knapweedtally.entry import host as host_module
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import extension_messages
from knapweedtally.entry.pools import relays
from knapweedtally.entry.statements import placement_reports
from knapweedtally.entry.statements import sessions
from knapweedtally.platform import settings
from knapweedtally.utils import http
from knapweedtally.utils import http_server

READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
EXPLAIN_PATH = "/explain"

# Connections that may wait to be accepted, on each listener.
BACKLOG = 512


CHECKS_TASK = "checks"


class BackgroundTaskEnded(Exception):  # noqa: N818 - named after the cause
    """The process shut down gracefully because a background task had ended."""


class EntryProcess:
    """Run one entry host until it receives SIGTERM or SIGINT."""

    def __init__(self, host_settings: settings.HostSettings) -> None:
        """Create the process without opening a socket."""
        self._settings = host_settings
        self._log = logs.Log(host_settings.host)
        self._host = host_module.Host(host_settings, self._log)
        self._stop_requested = asyncio.Event()
        self._checks_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        Raises:
            Exception: the process ended by itself; the cause is logged.
        """
        loop = asyncio.get_running_loop()
        supervision.install(loop, self._log, self._host.counters)
        try:
            await self._serve()
        except Exception as error:
            self._log_unasked_exit("start", error)
            raise
        finally:
            self._log.flush()

    async def _serve(self) -> None:
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
                    self._host.find_direct_pool,
                    self._host.relay_sessions,
                    self._host.configuration.exchange.get_source,
                    self._host.is_stopping,
                ),
                self._settings.peers.host,
                self._settings.peers.port,
                backlog=BACKLOG,
            )
        self._log.write(
            "started",
            data_centre=self._settings.data_centre,
            message_versions=extension_messages.READ_VERSIONS,
        )
        discovery_task = loop.create_task(self._host.peers.run())
        tasks = self._start_background_tasks()
        stop_task = loop.create_task(self._stop_requested.wait())
        done, _ = await asyncio.wait(
            [*tasks, stop_task], return_when=asyncio.FIRST_COMPLETED
        )
        error = None
        if stop_task not in done:
            error = self._find_cause(next(t for t in tasks if t.done()))
        discovery_task.cancel()
        await self._stop(server)
        self._log.write("stopped", left_sessions=len(self._host.sessions))
        if error is not None:
            raise BackgroundTaskEnded from error

    async def _stop(self, server: asyncio.AbstractServer) -> None:
        host = self._host
        self._log.write("stopping", sessions=len(host.sessions))
        grace_s = self._settings.grace_s
        stop = graceful_stop.GracefulStop(host, server, grace_s, self._log)
        await stop.run()

    def _start_background_tasks(self) -> list[asyncio.Task[None]]:
        """Start the tasks without which the process must not go on.

        They contain the errors of what they call. Without the watchers a host
        would serve by what it knew of a configuration and of targets that have
        changed since; without the checks no caller's limit would be kept; and
        without the readiness endpoint no caller should be sent here.
        """
        configuration_watcher, target_watcher = self._host.make_watchers()
        background_loops = {
            "configuration watcher": configuration_watcher.run(),
            "target watcher": target_watcher.run(),
            CHECKS_TASK: self._host.run_ticks(),
            "readiness server": self._serve_http(
                self._settings.readiness, self._handle_readiness
            ),
        }
        if self._settings.metrics is not None:
            background_loops["metrics server"] = self._serve_http(
                self._settings.metrics, self._handle_metrics
            )
        loop = asyncio.get_running_loop()
        return [
            loop.create_task(background_loop, name=name)
            for name, background_loop in background_loops.items()
        ]

    def _find_cause(self, task: asyncio.Task[None]) -> Exception:
        """Log and return why a background task ended.

        The checks go on, since they end what overruns its limits during the
        shutdown.
        """
        name = task.get_name()
        cause = None if task.cancelled() else task.exception()
        if not isinstance(cause, Exception):
            cause = RuntimeError(f"the task {name!r} ended unexpectedly")
        self._log_unasked_exit(name, cause)
        if name == CHECKS_TASK:
            self._checks_task = asyncio.get_running_loop().create_task(
                self._host.run_ticks()
            )
        return cause

    def _log_unasked_exit(self, task: str, error: Exception) -> None:
        """Log the cause of an exit once."""
        if isinstance(error, BackgroundTaskEnded):
            return
        self._log.write(
            "exit_not_requested",
            task=task,
            reason=repr(error),
            traceback=supervision.format_traceback(error),
        )

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
        try:
            return http.Response(200 if self._host.is_ready() else 503)
        except Exception as error:
            supervision.report("readiness", error)
            return http.Response(503)

    async def _handle_metrics(self, request: http.Request) -> http.Response:
        if request.path == EXPLAIN_PATH and request.method == "GET":
            return self._describe_placement(request)
        if request.path != METRICS_PATH:
            return http.Response(404)
        try:
            text = self._format_metrics()
        except Exception as error:
            supervision.report("metrics", error)
            return http.Response(500)
        return http.Response(200, text.encode(), {"content-type": "text/plain"})

    def _describe_placement(self, request: http.Request) -> http.Response:
        try:
            answer = placement_reports.describe(
                self._host, self._settings.data_centre, request.query
            )
        except placement_reports.InvalidQuery as error:
            return http.make_json_response(400, {"error": str(error)})
        except Exception as error:
            supervision.report("explain", error)
            return http.make_json_response(500, {"error": repr(error)})
        return http.make_json_response(200, answer)

    def _format_metrics(self) -> str:
        host = self._host
        gauges: dict[str, float] = {
            "sessions": len(host.sessions),
            "store_calls": host.store.call_count,
            "log_lines_left_out": self._log.dropped_lines,
        }
        for watcher in host.watchers:
            key = f'store_answer_age_seconds{{kind="{watcher.kind}"}}'
            gauges[key] = clock.get_time_s() - watcher.succeeded_s
        for router in host.routers.values():
            name = router.settings.name
            gauges[f'queue{{group="{name}"}}'] = router.queue_length
            for target, pool in router.pools.items():
                key = f'connections{{target="{target}"}}'
                gauges[key] = pool.size
                if host.retry_budget is not None:
                    key = f'holder_queue{{target="{target}"}}'
                    gauges[key] = pool.relay_request_count
                # At most one for each direct connection that is held.
                for team, count in pool.count_by_team().items():
                    label = f'target="{target}",team="{team}"'
                    gauges[f"team_connections{{{label}}}"] = count
                if pool.pacer is not None:
                    key = f'pace_limit{{target="{target}"}}'
                    gauges[key] = pool.pacer.limit
        return host.counters.format_text(gauges)

    def _handle_sighup(self) -> None:
        """Check the settings file on SIGHUP.

        The settings in use stay until the next start.
        """
        try:
            settings.load_settings()
        except settings.SettingsError as error:
            self._log.write("reload_failed", reason=str(error))
            return
        except Exception as error:
            supervision.report("reload", error)
            return
        self._log.write("reloaded")


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
