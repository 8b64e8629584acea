"""Store, targets and promotion API of the line platform on loopback."""

import asyncio
import json
from typing import Any

from knapweedtally.utils import http
from knapweedtally.utils import http_server
from standins.line_platform import store
from standins.line_platform import targets

# Duration of a promotion, in seconds.
PROMOTION_DURATION_S = 0.2

# Interval at which the targets' entries are written, in seconds.
HEARTBEAT_INTERVAL_S = 0.2


class Platform:
    """Stand-ins of the outside systems of one deployment.

    Attributes:
        store: the store.
        groups: groups by name.
        promotions: fencing token, lease holder and target of each promotion
            call.
        routes: routes of the current configuration.
        teams: teams of the current configuration; empty if callers aren't
            told apart.
        leaving: ids of the targets whose entries are marked as draining.
        unlisted: ids of the targets that don't reach the store.
        choose_promotion_delay_s: returns how long after its call a promotion
            takes effect.
    """

    def __init__(self, group_names: tuple[str, ...] = ("g",)) -> None:
        """Create a platform that isn't started."""
        self.store = store.Store()
        self.groups = {name: targets.Group(name, 3, 16) for name in group_names}
        self.promotions: list[tuple[int, str, str]] = []
        self.routes: list[dict[str, Any]] = []
        self.teams: list[dict[str, Any]] = []
        self.leaving: set[str] = set()
        self.unlisted: set[str] = set()
        self.choose_promotion_delay_s = lambda: PROMOTION_DURATION_S
        self._version = 0
        self._update_count = 0
        self._servers: list[http_server.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all servers and write the first configuration."""
        for group in self.groups.values():
            for target in group.targets.values():
                await target.start()
        for name in self.groups:
            self.routes += make_routes(name)
        self.write_configuration()
        self.write_target_entries()
        for handler in (self.store.answer, self._answer_promotion):
            self._servers.append(await self.serve(handler))
        self._tasks.append(asyncio.create_task(self._run_heartbeats()))

    async def serve(self, handler: http_server.Handler) -> http_server.Server:
        """Serve a handler on its own port until the platform stops."""
        server = http_server.Server(handler, "127.0.0.1", 0)
        started = asyncio.get_running_loop().create_future()
        self._tasks.append(asyncio.create_task(_serve(server, started)))
        await started
        return server

    @property
    def promotion_port(self) -> int:
        """Return the port of the promotion API."""
        return self._servers[1].port

    async def stop(self) -> None:
        """Stop all servers and targets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for group in self.groups.values():
            for target in group.targets.values():
                await target.stop()

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self._version += 3
        self.rewrite_configuration()

    def rewrite_configuration(self) -> None:
        """Write the version of the configuration that was written last."""
        groups = [
            {
                "name": name,
                "maxConns": group.max_connections,
                "syncReplicas": 1,
            }
            for name, group in self.groups.items()
        ]
        spec = {
            "version": self._version,
            "routes": self.routes,
            "backends": groups,
            "limits": {"txIdleMs": 3000},
        }
        if self.teams:
            spec["tenants"] = self.teams
        self.store.put("config", "main", spec)

    def write_target_entries(self) -> None:
        """Write the entries of the running, responsive and listed targets."""
        self._update_count += 1
        for group in self.groups.values():
            for target in group.targets.values():
                if (
                    target.is_running
                    and not target.is_unresponsive
                    and target.has_platform_entry
                    and target.id not in self.unlisted
                ):
                    spec = self._make_target_entry(group, target)
                    self.store.put("servers", target.id, spec)

    def make_settings(self, host: str, ports: list[int]) -> dict[str, Any]:
        """Return the settings of an entry host.

        Args:
            host: name of the entry host.
            ports: ports for callers, readiness, datagrams and metrics.
        """
        return {
            "node": host,
            "zone": "dc",
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{ports[0]}",
                "ready": f"127.0.0.1:{ports[1]}",
            },
            "internalPorts": ports[2:4],
            "platform": {"addr": f"127.0.0.1:{self._servers[0].port}"},
            "cloudApi": {"addr": f"127.0.0.1:{self._servers[1].port}"},
            "bounds": {
                "graceS": 10,
                "drainMs": 7000,
                "quotaWindowS": 5,
                "quotaExcess": 0.1,
                "quotaSlack": 20,
            },
            "contracts": self._list_contracts(),
        }

    def _list_contracts(self) -> list[str]:
        has_limits = any("ratePerS" in team for team in self.teams)
        return ["tenants"] * bool(self.teams) + ["quota"] * has_limits

    def _make_target_entry(
        self, group: targets.Group, target: targets.Target
    ) -> dict[str, Any]:
        return {
            "backend": group.name,
            "addr": f"127.0.0.1:{target.port}",
            "zone": "dc",
            "version": "v1",
            "slots": 2,
            "state": "draining" if target.id in self.leaving else "ready",
            "coldLeftMs": 0,
            "dbRole": "primary" if target.is_primary else "replica",
            "seq": self._update_count,
        }

    async def _run_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.write_target_entries()

    async def _answer_promotion(self, request: http.Request) -> http.Response:
        body = json.loads(request.body)
        fencing_token = int(request.headers["x-fence-token"])
        holder = request.headers["x-duty-holder"]
        self.promotions.append((fencing_token, holder, body["id"]))
        group = self.groups[body["backend"]]
        target = group.targets.get(body["id"])
        if target is None or not target.is_running:
            return http.Response(409)
        loop = asyncio.get_running_loop()
        delay_s = self.choose_promotion_delay_s()
        loop.call_later(delay_s, group.promote, body["id"])
        return http.Response(200)


def make_team(name: str, *keys: str) -> dict[str, Any]:
    """Return a team with keys."""
    return {"name": name, "apiKeys": list(keys)}


def make_routes(group: str) -> list[dict[str, Any]]:
    """Return one route to a group for each consistency level."""
    max_staleness_ms_by_type = {
        "primary": 0,
        "bounded_stale": 1500,
        "read_your_writes": 2500,
    }
    return [
        {
            "name": f"r-{group}-{route_type}",
            "host": f"{group}-{route_type}",
            "pathPrefix": "/",
            "type": route_type,
            "timeoutMs": 4000,
            "targetLatencyMs": 200,
            "priority": 1,
            "backend": group,
            "maxStalenessMs": max_staleness_ms,
        }
        for route_type, max_staleness_ms in max_staleness_ms_by_type.items()
    ]


async def _serve(
    server: http_server.Server, started: "asyncio.Future[None]"
) -> None:
    class Status:
        def started(self, value: None = None) -> None:
            started.set_result(None)

    await server.serve(task_status=Status())
