"""Target processes for tests, each on its own loopback address."""

import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import time
from typing import Any

import psycopg
import pygwire.messages

from standins import ports

ROOT = pathlib.Path(__file__).parents[2]
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
WAIT_TIMEOUT_S = 60.0
POLL_S = 0.02
CONTROL_APPLICATION = "knapweedtally-control"


class Group:
    """Processes of one group with the instances a, b and c.

    Attributes:
        addresses: host and port by instance.
        processes: process by instance.
    """

    def __init__(self, *arguments: str) -> None:
        """Start the processes; the first instance is the first primary."""
        self.addresses = {
            name: (host, ports.find_free_port(host))
            for name, host in _choose_host_addresses().items()
        }
        self.processes = {
            name: self._start_process(name, arguments)
            for name in self.addresses
        }
        for name in self.addresses:
            self._wait_until_listening(name)

    def stop(self) -> None:
        """Terminate the processes and wait for their exit."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def connect(self, name: str, **options: Any) -> psycopg.Connection[Any]:
        """Open a psycopg connection to an instance, from 127.0.0.1."""
        host, port = self.addresses[name]
        options = {"autocommit": True, "user": "test", **options}
        return psycopg.connect(host=host, port=port, dbname="group", **options)

    def open_socket(self, name: str, source: str) -> socket.socket:
        """Connect from a source address and send a startup message."""
        client = socket.create_connection(
            self.addresses[name], START_TIMEOUT_S, (source, 0)
        )
        message = pygwire.messages.StartupMessage(params={"user": "test"})
        client.sendall(message.to_wire())
        return client

    def run_control_command(self, name: str, command: str) -> dict[str, Any]:
        """Run a control command and return its answer."""
        with self.connect(
            name, application_name=CONTROL_APPLICATION
        ) as connection:
            row = connection.execute(f"SELECT {command}").fetchone()
        assert row is not None
        answer: dict[str, Any] = json.loads(row[0])
        return answer

    def set_faults(self, name: str, **settings: Any) -> None:
        """Set faults of an instance."""
        self.run_control_command(name, f"kt_fault('{json.dumps(settings)}')")

    def wait_for_status(self, name: str, **expected: Any) -> dict[str, Any]:
        """Wait until the status of an instance shows the given values."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            status = self.run_control_command(name, "kt_status()")
            if all(status[key] == expected[key] for key in expected):
                return status
            if time.monotonic() > deadline:
                raise TimeoutError(f"{expected} not reached: {status}")
            time.sleep(POLL_S)

    def _start_process(
        self, name: str, arguments: tuple[str, ...]
    ) -> subprocess.Popen[bytes]:
        host, port = self.addresses[name]
        peers = ",".join(
            f"{peer}={address[0]}:{address[1]}"
            for peer, address in self.addresses.items()
            if peer != name
        )
        command = [sys.executable, "-m", "standins.target"]
        command += ["--id", name, "--group", "group", "--primary", "a"]
        command += ["--host", host, "--port", str(port), "--peers", peers]
        return subprocess.Popen(
            [*command, *arguments], cwd=ROOT, stdout=subprocess.DEVNULL
        )

    def _wait_until_listening(self, name: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                socket.create_connection(self.addresses[name], 1).close()
                return
            time.sleep(POLL_S)
        self.stop()
        raise TimeoutError(f"instance {name} did not listen in time")


def _choose_host_addresses() -> dict[str, str]:
    """Return a host address by instance; concurrent test runs get others."""
    last = os.getpid() % 250 + 2
    return {
        name: f"127.0.{number}.{last}"
        for number, name in enumerate("abc", start=101)
    }
