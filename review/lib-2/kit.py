"""Shared parts of the cases: stand-ins, entry processes, callers, record."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
os.chdir(ROOT)
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins import ports  # noqa: E402
from standins.line_platform import platform as platform_module  # noqa: E402

# Bounds of salinas-niebla.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "revertSlackMs": 250,
    "outerMs": 12000,
    "recoverS": 12,
    "enforceFencing": False,
    "thawMs": 300,
}
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder, "record.txt")
        self._path.write_text("")
        self.start_s = time.monotonic()

    def write(self, *words):
        """Write a line with the time since the start."""
        at_s = time.monotonic() - self.start_s
        with self._path.open("a") as file:
            print(f"{at_s:9.3f}", *words, file=file)


class Entry:
    """One process of the role ``entry`` of the deploy file."""

    def __init__(self, platform, name, zone, folder):
        self.platform = platform
        self.name = name
        self.zone = zone
        self.folder = pathlib.Path(folder)
        self.ports = [ports.find_free_port("127.0.0.1") for _ in range(4)]
        self.process = None
        self.max_fds = 4300

    @property
    def port(self):
        """Return the port for callers."""
        return self.ports[0]

    def make_settings(self):
        """Return the settings of the process."""
        settings = self.platform.make_settings(self.name, self.ports)
        settings["zone"] = self.zone
        settings["bounds"] = BOUNDS
        settings["limits"] = {
            "cpuShare": 0.537,
            "cores": 2,
            "ramMb": 300,
            "maxFds": self.max_fds,
            "linkMbps": 1000.0,
        }
        settings["platform"] |= {"historyS": 20, "writesPerS": 400}
        settings["contracts"] = ["base", "drain", "config", "sql", "platform"]
        return settings

    async def start(self):
        """Start the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.make_settings()))
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME")}
        env |= {
            "KNAPWEEDTALLY_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with open(self.folder / f"{self.name}.log", "ab") as log:
            # The command of the role in deploy/system.toml.
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "knapweedtally", "entry"),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def read_rss_mb(self):
        """Return the resident memory in MB, or None once it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1000
        except OSError:
            pass
        return None

    async def is_ready(self):
        """Return whether the host reports that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports[1]
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            return line.split(b" ")[1:2] == [b"200"]
        except (TimeoutError, OSError):
            return False
        finally:
            writer.transport.abort()

    async def wait_ready(self, timeout_s=25):
        """Wait until the host is ready."""
        end_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end_s or self.process.returncode is not None:
                raise CaseError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    async def end(self):
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Link:
    """A loopback link of one host to one server of the platform.

    While it is cut, bytes are held up. They arrive after the cut, unless their
    sender has reset the connection; new connections are held up too.

    Attributes:
        on_data: called with the bytes of the host before they are passed on.
    """

    def __init__(self, port):
        self._server_port = port
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._tasks = set()
        self._server = None
        self.on_data = lambda data: None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self):
        """Hold up all bytes from now on."""
        self._is_open.clear()

    def heal(self):
        """Deliver what was held up."""
        self._is_open.set()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._is_open.wait()
            server_reader, server_writer = await asyncio.open_connection(
                "127.0.0.1", self._server_port
            )
        except OSError:
            writer.transport.abort()
            return
        back = asyncio.create_task(self._pass_on(server_reader, writer))
        try:
            await self._pass_on(reader, server_writer, self.on_data)
            # The host has closed the connection; what it sent has arrived.
            await asyncio.wait([back], timeout=1)
        finally:
            back.cancel()
            server_writer.transport.abort()
            writer.transport.abort()
            self._tasks.discard(task)

    async def _pass_on(self, reader, writer, on_data=lambda data: None):
        """Pass bytes on until the end; a reset drops what is held up."""
        try:
            while data := await reader.read(2**16):
                on_data(data)
                await self._wait_open(reader)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    async def _wait_open(self, reader):
        while not self._is_open.is_set():
            if reader.exception() is not None:
                raise reader.exception()
            await asyncio.sleep(0.01)

    def close(self):
        """Close the link."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()


class LinkedEntry(Entry):
    """An entry host with links of its own to the store and the cloud API.

    Attributes:
        links: the links by their name in the settings.
    """

    async def start_links(self):
        """Open the links."""
        settings = super().make_settings()
        self.links = {}
        for name in ("platform", "cloudApi"):
            port = int(settings[name]["addr"].rpartition(":")[2])
            self.links[name] = Link(port)
            await self.links[name].start()

    def make_settings(self):
        """Return the settings, with the links as addresses."""
        settings = super().make_settings()
        for name, link in self.links.items():
            settings[name]["addr"] = f"127.0.0.1:{link.port}"
        return settings

    def cut(self):
        """Cut the host off from the platform."""
        for link in self.links.values():
            link.cut()

    def heal(self):
        """End the cut."""
        for link in self.links.values():
            link.heal()


async def start_linked_entries(platform, folder, entries, on_promotion):
    """Start three hosts, and call back with a host and what it sends.

    Args:
        platform: the platform.
        folder: where settings and logs go.
        entries: gets the hosts.
        on_promotion: called before a promotion call is passed on.
    """
    for number in range(3):
        entry = LinkedEntry(platform, f"front-{number}", f"dc-{number}", folder)
        entries.append(entry)
        await entry.start_links()
        await entry.start()

        def watch(data, entry=entry):
            if b"POST /promote" in data:
                on_promotion(entry, data)

        entry.links["cloudApi"].on_data = watch
    for entry in entries:
        await entry.wait_ready()


async def follow_promotions(platform, record, for_s):
    """Record the promotions that the platform gets, and their effects."""
    group = platform.groups["g"]
    calls = effects = 0
    end_s = time.monotonic() + for_s
    while time.monotonic() < end_s:
        await asyncio.sleep(0.02)
        for token, holder, target in platform.promotions[calls:]:
            record.write(
                f"the platform gets a promotion of {target} from {holder} "
                f"with fence {token}"
            )
        calls = len(platform.promotions)
        for _, term, target in group.promotion_history[effects:]:
            record.write(f"{target} leads term {term}")
        effects = len(group.promotion_history)
    if not platform.promotions:
        raise CaseError("nothing was promoted")


class Client:
    """A session of the wire protocol that has one request at a time."""

    def __init__(self, name):
        self.name = name
        self.count = 0
        self.reader = self.writer = None
        self.state = "I"
        self.last_id = ""

    async def connect(self, port, database):
        """Open a session of a database."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=2**22
        )
        self.writer.write(f"START {database} client\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 5)
        if not line.startswith(b"READY I"):
            raise ConnectionError(f"refused: {line!r}")

    def make_id(self):
        """Return a new id."""
        self.count += 1
        self.last_id = f"{self.name}x{self.count}"
        return self.last_id

    async def read_answer(self):
        """Return the lines of an answer, or None if the connection ended."""
        lines = []
        while True:
            line = await self.reader.readline()
            if not line.endswith(b"\r\n"):
                return None
            words = line[:-2].decode().split(" ")
            if words[0] == "READY":
                self.state = words[1]
                return lines
            lines.append(line[:-2].decode())

    async def run(self, text):
        """Send a request with a new id and return its answer's lines."""
        self.writer.write(f"QUERY {self.make_id()} {text}\r\n".encode())
        try:
            return await self.read_answer()
        except OSError:
            return None

    def close(self):
        """Close the link."""
        if self.writer is not None:
            self.writer.transport.abort()


def run_case(folder, scenario, limit_s=110):
    """Run ``scenario(platform, entries' folder, record)`` and exit.

    It returns a list of what broke the rule.
    """

    async def run():
        record = Record(folder)
        entries = []
        platform = platform_module.Platform()
        with tempfile.TemporaryDirectory() as temporary:
            try:
                await platform.start()
                async with asyncio.timeout(limit_s):
                    return record, await scenario(
                        platform, temporary, record, entries
                    )
            finally:
                for entry in entries:
                    await entry.end()
                await platform.stop()

    try:
        record, broken = asyncio.run(run())
    except Exception as error:  # noqa: BLE001 - any failure is "could not run"
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    for line in broken[:20]:
        print("BROKEN", line)
        record.write("BROKEN", line)
    verdict = f"{len(broken)} breaks of the rule"
    record.write(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
