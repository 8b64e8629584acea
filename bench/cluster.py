"""Run a complete system as separate processes on loopback addresses.

Data centre number k has the addresses 127.0.k.x: proxies from .1, targets
from .11. Ports are free ones picked at random, so that parallel runs don't
conflict.
"""

import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
from typing import IO
from typing import Any
from typing import NamedTuple

import anyio

from knapweedtally.core.bundles import signatures
from knapweedtally.store import client as platform_client
from knapweedtally.utils import http
from knapweedtally.utils import http_client
from standins import ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_HOST = "127.0.0.1"
SIGNER = "demo"
STOP_TIMEOUT_S = 10.0
READY_TIMEOUT_S = 20.0
ADMIN_TIMEOUT_S = 5.0


class Layout(NamedTuple):
    """Processes of a system and their options.

    Attributes:
        data_centres: names of the data centres.
        groups: names of the groups; each has one target per data centre.
        hosts_per_centre: entry hosts in each data centre.
        group_options: values that the bundle has for every group.
        target_options: command-line options of every target stand-in.
        host_module: Python module that is run as an entry host.
        host_environment: additional environment variables of entry hosts.
    """

    data_centres: tuple[str, ...] = ("sala-norte", "sala-sur", "archivo")
    groups: tuple[str, ...] = ("fog-1", "fog-2")
    hosts_per_centre: int = 1
    group_options: dict[str, Any] = {}
    target_options: dict[str, Any] = {}
    host_module: str = "knapweedtally"
    host_environment: dict[str, str] = {}


class Member(NamedTuple):
    """Entry host or target of the system.

    Attributes:
        name: name of the host or id of the target.
        host: IP address.
        port: port for callers.
        data_centre: name of the data centre.
        admin_port: port of the administration API; 0 for targets.
        peer_port: port for other entry hosts; 0 for targets.
    """

    name: str
    host: str
    port: int
    data_centre: str
    admin_port: int = 0
    peer_port: int = 0


class Cluster:
    """Processes of one system; as a context manager, starts and stops them.

    Attributes:
        layout: layout of the system.
        proxies: entry hosts by name.
        targets: targets by id.
        groups: ids of the targets of each group, the initial primary first.
        processes: running processes by name.
        platform_port: port of the platform stand-in.
        admin_token: token of the administration API, and of the peers.
        token_keys: keys of session tokens, as in the environment variable.
        signing_key: private key that signs bundles.
    """

    def __init__(self, layout: Layout, log_directory: str = "") -> None:
        self.layout = layout
        self.proxies: dict[str, Member] = {}
        self.targets: dict[str, Member] = {}
        self.groups: dict[str, list[str]] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.platform_port = ports.find_free_port(PLATFORM_HOST)
        self.admin_token = secrets.token_hex(16)
        self.token_keys = "k1:" + secrets.token_hex(32)
        self.signing_key = secrets.token_bytes(32)
        self._logs: list[IO[bytes]] = []
        self._log_directory = log_directory
        self._assign_target_addresses()
        self._assign_proxy_addresses()

    def start(self) -> None:
        """Start all processes and wait until every proxy listens."""
        self.start_platform()
        for target_id in self.targets:
            self.start_target(target_id)
        for member in self.targets.values():
            wait_for_port(member.host, member.port)
        anyio.run(self.roll_out_bundle)
        for name in self.proxies:
            self.start_proxy(name)
        for member in self.proxies.values():
            wait_for_port(member.host, self.get_last_opened_port(member))

    def get_last_opened_port(self, member: Member) -> int:
        """Return the port on which an entry host starts to listen last."""
        return member.admin_port

    def start_platform(self) -> None:
        """Start the platform stand-in and wait for its port."""
        self._spawn(
            "platform",
            "standins.platform",
            {"host": PLATFORM_HOST, "port": self.platform_port},
        )
        wait_for_port(PLATFORM_HOST, self.platform_port)

    def start_target(self, target_id: str) -> None:
        """Start a target stand-in."""
        member = self.targets[target_id]
        group = target_id.rpartition("-")[0]
        ids = self.groups[group]
        peers = ",".join(
            f"{t}={self.targets[t].host}:{self.targets[t].port}"
            for t in ids
            if t != target_id
        )
        options = {
            "id": target_id,
            "group": group,
            "host": member.host,
            "port": member.port,
            "data-centre": member.data_centre,
            "peers": peers,
            "primary": ids[0],
            "term": 1,
            **self.layout.target_options,
        }
        self._spawn(target_id, "standins.target", options)

    def start_proxy(self, name: str) -> None:
        """Start an entry host."""
        member = self.proxies[name]
        seeds = ",".join(
            f"{p.host}:{p.peer_port}" for p in self.proxies.values()
        )
        public_key = signatures.derive_public_key(self.signing_key)
        options = {
            "host-name": name,
            "data-centre": member.data_centre,
            "listen-address": member.host,
            "listen-port": member.port,
            "peer-port": member.peer_port,
            "admin-port": member.admin_port,
            "platform-address": f"{PLATFORM_HOST}:{self.platform_port}",
            "bundle-keys": f"{SIGNER}:{public_key.hex()}",
            "seed-peers": seeds,
            "log-format": "text",
        }
        environment = {
            "KNAPWEEDTALLY_ADMIN_TOKEN": self.admin_token,
            "KNAPWEEDTALLY_TOKEN_KEYS": self.token_keys,
            "KNAPWEEDTALLY_PEER_TOKEN": self.admin_token,
            **self.layout.host_environment,
        }
        self._spawn(
            name, self.layout.host_module, options, ["proxy"], environment
        )

    def make_bundle(self, version: int = 1, **changes: Any) -> dict[str, Any]:
        """Return the signed bundle as plain data.

        Args:
            version: version of the bundle.
            **changes: values for every group; override ``group_options``.
        """
        groups = [
            {
                "name": name,
                "targets": [self._describe_target(t) for t in ids],
                **self.layout.group_options,
                **changes,
            }
            for name, ids in self.groups.items()
        ]
        value: dict[str, Any] = {
            "version": version,
            "signer": SIGNER,
            "groups": groups,
        }
        value["signature"] = signatures.sign_bundle(value, self.signing_key)
        return value

    async def roll_out_bundle(self, version: int = 1, **changes: Any) -> None:
        """Write the next version of the bundle to the platform.

        Args:
            version: version of the bundle; the platform has to hold the
                version before it.
            **changes: values for every group; override ``group_options``.

        Raises:
            RuntimeError: the platform holds another version.
        """
        client = platform_client.PlatformClient(
            (PLATFORM_HOST, self.platform_port), PLATFORM_HOST
        )
        result = await client.update_object(
            "bundle",
            "current",
            version - 1,
            self.make_bundle(version, **changes),
        )
        await client.close()
        if not result.is_applied:
            raise RuntimeError(
                f"bundle version {version} was not written: the platform does"
                " not hold the version before it"
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the processes."""
        self.processes[name].send_signal(number)

    def kill_process(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        process = self.processes.pop(name)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Terminate all running processes, and kill those that don't end."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()
        for log in self._logs:
            log.close()

    def __enter__(self) -> "Cluster":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def _assign_target_addresses(self) -> None:
        for number, group in enumerate(self.layout.groups):
            self.groups[group] = []
            for centre_number, data_centre in enumerate(
                self.layout.data_centres, 1
            ):
                host = f"127.0.{centre_number}.{11 + number}"
                target_id = f"{group}-{'abcdefghi'[centre_number - 1]}"
                self.targets[target_id] = Member(
                    target_id, host, ports.find_free_port(host), data_centre
                )
                self.groups[group].append(target_id)

    def _assign_proxy_addresses(self) -> None:
        for centre_number, data_centre in enumerate(
            self.layout.data_centres, 1
        ):
            for number in range(1, self.layout.hosts_per_centre + 1):
                host = f"127.0.{centre_number}.{number}"
                proxy_name = f"{data_centre}-{number}"
                self.proxies[proxy_name] = Member(
                    proxy_name,
                    host,
                    ports.find_free_port(host),
                    data_centre,
                    ports.find_free_port(host),
                    ports.find_free_port(host),
                )

    def _describe_target(self, target_id: str) -> dict[str, str]:
        member = self.targets[target_id]
        return {
            "id": target_id,
            "address": f"{member.host}:{member.port}",
            "data_centre": member.data_centre,
        }

    def _spawn(
        self,
        name: str,
        module: str,
        options: dict[str, Any],
        arguments: list[str] | None = None,
        environment: dict[str, str] | None = None,
    ) -> None:
        command = [sys.executable, "-m", module, *(arguments or [])]
        for option, value in options.items():
            command += [f"--{option}", str(value)]
        output: int | IO[bytes] = subprocess.DEVNULL
        if self._log_directory:
            path = pathlib.Path(self._log_directory, f"{name}.log")
            output = path.open("ab")
            self._logs.append(output)
        self.processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, **(environment or {})},
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )


def wait_for_port(host: str, port: int) -> None:
    """Wait until a process listens on a port.

    Raises:
        TimeoutError: no process listens on the port in time.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with socket.create_connection((host, port), timeout=1):
                return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"no process listens on {host}:{port}")


async def fetch_admin_json(
    system: Cluster, member: Member, path: str
) -> dict[str, Any]:
    """Fetch a JSON document from a host's administration API.

    Raises:
        RuntimeError: the status of the response isn't 200.
    """
    client = http_client.Client(member.host, member.admin_port)
    headers = {"authorization": f"Bearer {system.admin_token}"}
    request = http.Request("GET", path, headers, b"")
    try:
        response = await client.send(request, ADMIN_TIMEOUT_S)
    finally:
        await client.close()
    if response.status != 200:
        raise RuntimeError(
            f"GET {path}: expected status 200, received {response.status}"
        )
    value: dict[str, Any] = json.loads(response.body)
    return value
