"""Systems under load: the proxy, the naive proxy and bare targets."""

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
    """Kind of the system that runs, and its layout.

    Attributes:
        name: name in the results.
        kind: ``proxy``; ``naive`` for the naive proxy on the same hosts; or
            ``direct`` for callers that connect to the initial primary.
        layout: processes and their options.
        entry_host_limit: number of entry hosts that callers connect to, or 0
            for all.
        log_directory: directory of the processes' logs, or an empty string
            for no logs.
    """

    name: str
    kind: str = PROXY
    layout: cluster.Layout = cluster.Layout()
    entry_host_limit: int = 0
    log_directory: str = ""


class NaiveCluster(cluster.Cluster):
    """Cluster that runs naive proxies in place of the entry hosts."""

    def get_last_opened_port(self, member: cluster.Member) -> int:
        """Return the only port of a naive proxy."""
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
    """Processor time and eligible reads of a system since its start.

    Attributes:
        proxy_s: processor time of all entry hosts, in seconds.
        target_s: processor time of all targets, in seconds.
        primary_reads: eligible reads that primaries served.
        replica_reads: eligible reads that replicas served.
    """

    proxy_s: float
    target_s: float
    primary_reads: int
    replica_reads: int


class System:
    """System under load: its configuration and its processes.

    Attributes:
        configuration: kind and layout of the system.
        cluster: processes of the system.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        cluster_class = cluster.Cluster
        if configuration.kind == NAIVE:
            cluster_class = NaiveCluster
        self.cluster = cluster_class(
            configuration.layout, configuration.log_directory
        )

    def list_addresses(self) -> dict[str, list[client.Address]]:
        """Return the addresses that callers connect to, by group."""
        if self.configuration.kind == DIRECT:
            return {
                group: [self._get_address(self.cluster.targets[ids[0]])]
                for group, ids in self.cluster.groups.items()
            }
        proxies = [
            self._get_address(member)
            for member in self.cluster.proxies.values()
        ]
        entry_addresses = proxies[: self.configuration.entry_host_limit or None]
        return {group: entry_addresses for group in self.cluster.groups}

    async def read_usage(self) -> Usage:
        """Return the usage so far; processes that have ended are left out."""
        primary_reads = replica_reads = 0
        if self.configuration.kind == PROXY:
            for name, member in self.cluster.proxies.items():
                if name not in self.cluster.processes:
                    continue
                counters = await self._fetch_counters(member)
                primary_reads += counters.get("eligible reads by primary", 0)
                replica_reads += counters.get("eligible reads by replica", 0)
        return Usage(
            self._sum_processor_time(self.cluster.proxies),
            self._sum_processor_time(self.cluster.targets),
            primary_reads,
            replica_reads,
        )

    async def _fetch_counters(self, member: cluster.Member) -> dict[str, int]:
        status = await cluster.fetch_admin_json(
            self.cluster, member, "/v1/status"
        )
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
    """Return the usage between two readings."""
    return Usage(
        later.proxy_s - earlier.proxy_s,
        later.target_s - earlier.target_s,
        later.primary_reads - earlier.primary_reads,
        later.replica_reads - earlier.replica_reads,
    )


def add_usage(first: Usage, second: Usage) -> Usage:
    """Return the sum of two usages."""
    return Usage(
        first.proxy_s + second.proxy_s,
        first.target_s + second.target_s,
        first.primary_reads + second.primary_reads,
        first.replica_reads + second.replica_reads,
    )


def describe_machine() -> dict[str, Any]:
    """Return the cores and the load of the machine, for the results."""
    return {
        "cores": psutil.cpu_count(),
        "load_average": [round(value, 2) for value in psutil.getloadavg()],
        "measured_at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }
