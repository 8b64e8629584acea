"""Systems under load: the proxy, the naive proxy, and the bare target."""

import time
from typing import Any
from typing import NamedTuple

import psutil

from bench import client
from bench import cluster

KINDS = ("proxy", "naive", "direct")
PROXY = "proxy"
NAIVE = "naive"
DIRECT = "direct"


class Configuration(NamedTuple):
    """State which system runs and with what.

    Attributes:
        name: name in the results.
        kind: ``proxy``; ``naive`` for the naive proxy on the same hosts;
            ``direct`` for callers straight on the first primary.
        layout: processes and their options.
        entry_limit: number of entry hosts that callers use; 0 for all.
        log_directory: where the processes write their logs, or empty.
    """

    name: str
    kind: str = PROXY
    layout: cluster.Layout = cluster.Layout()
    entry_limit: int = 0
    log_directory: str = ""


class NaiveCluster(cluster.Cluster):
    """Run naive proxies where the proxies would run."""

    def get_last_port(self, member: cluster.Member) -> int:
        """Return the one port of a naive proxy."""
        return member.port

    def start_proxy(self, name: str) -> None:
        """Start a naive proxy."""
        member = self.proxies[name]
        targets = ",".join(
            f"{target_id}={target.host}:{target.port}"
            for target_id, target in self.targets.items()
        )
        limit = self.layout.target_options.get("connection-limit", 15)
        options = {
            "name": name,
            "listen": f"{member.host}:{member.port}",
            "platform": f"{cluster.PLATFORM_HOST}:{self.platform_port}",
            "targets": targets,
            "hosts": len(self.proxies),
            "connection-limit": limit,
        }
        self._spawn(name, "bench.naive_proxy", options)


class Usage(NamedTuple):
    """Count what a system has used and served so far.

    Attributes:
        proxy_s: processor time of all entry hosts, in seconds.
        target_s: processor time of all targets, in seconds.
        primary: eligible reads by primaries; replica: by replicas.
    """

    proxy_s: float
    target_s: float
    primary: int
    replica: int


class System:
    """Hold one running system.

    Attributes:
        configuration: what runs.
        cluster: its processes.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        make = cluster.Cluster
        if configuration.kind == NAIVE:
            make = NaiveCluster
        self.cluster = make(configuration.layout, configuration.log_directory)

    def list_entries(self) -> dict[str, list[client.Address]]:
        """Return where callers of each group connect."""
        if self.configuration.kind == DIRECT:
            return {
                group: [self._get_address(self.cluster.targets[ids[0]])]
                for group, ids in self.cluster.groups.items()
            }
        proxies = [
            self._get_address(member)
            for member in self.cluster.proxies.values()
        ]
        used = proxies[: self.configuration.entry_limit or None]
        return {group: used for group in self.cluster.groups}

    async def measure_usage(self) -> Usage:
        """Return the counts up to now; hosts that are gone count nothing."""
        primary = replica = 0
        if self.configuration.kind == PROXY:
            for name, member in self.cluster.proxies.items():
                if name not in self.cluster.processes:
                    continue
                counters = await self._fetch_counters(member)
                primary += counters.get("eligible reads by primary", 0)
                replica += counters.get("eligible reads by replica", 0)
        return Usage(
            self._sum_processor_time(self.cluster.proxies),
            self._sum_processor_time(self.cluster.targets),
            primary,
            replica,
        )

    async def _fetch_counters(self, member: cluster.Member) -> dict[str, int]:
        status = await cluster.fetch_json(self.cluster, member, "/v1/status")
        counters: dict[str, int] = status["counters"]
        return counters

    def _sum_processor_time(self, names: dict[str, Any]) -> float:
        total = 0.0
        for name in names:
            process = self.cluster.processes.get(name)
            if process is not None and process.poll() is None:
                times = psutil.Process(process.pid).cpu_times()
                total += times.user + times.system
        return total

    def _get_address(self, member: cluster.Member) -> client.Address:
        return client.Address(member.host, member.port)


def subtract_usage(later: Usage, earlier: Usage) -> Usage:
    """Return what was used between two measurements."""
    return Usage(
        later.proxy_s - earlier.proxy_s,
        later.target_s - earlier.target_s,
        later.primary - earlier.primary,
        later.replica - earlier.replica,
    )


def add_usage(first: Usage, second: Usage) -> Usage:
    """Return what was used in two times together."""
    return Usage(
        first.proxy_s + second.proxy_s,
        first.target_s + second.target_s,
        first.primary + second.primary,
        first.replica + second.replica,
    )


def describe_machine() -> dict[str, Any]:
    """Return what else the machine was doing, for the results."""
    return {
        "cores": psutil.cpu_count(),
        "load_average": [round(value, 2) for value in psutil.getloadavg()],
        "measured_at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }
