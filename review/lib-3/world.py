"""Stand-ins of the platform, the instances and the clients, for review scripts.

Everything runs in one event loop on loopback addresses. The entry hosts are the
project's own program, started with the command of the deploy file as separate
processes, which the script ends by the ids that starting them gave.
"""

import asyncio
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2


def free_port():
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._path.write_text("")
        self._started = time.monotonic()

    def __call__(self, *words):
        """Write a line."""
        text = " ".join(str(word) for word in words)
        with self._path.open("a") as file:
            file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")


# HTTP.


async def serve_http(handler):
    """Serve HTTP/1.1 on a free port; the handler gets method, target, body."""

    async def serve(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0") or 0)
                body = await reader.readexactly(length) if length else b""
                answer = await handler(method, target, headers, body)
                if answer is None:  # never answered on this connection
                    await asyncio.sleep(3600)
                status, extra, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                out = [f"HTTP/1.1 {status} S", f"Content-Length: {len(data)}"]
                out.append("Content-Type: application/json")
                out += [f"{n}: {v}" for n, v in extra.items()]
                writer.write("\r\n".join(out).encode() + b"\r\n\r\n" + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 22)
    return server, server.sockets[0].getsockname()[1]


# The platform's store.


class Store:
    """The objects of the store, with one revision counter and a history."""

    def __init__(self, record):
        self.record = record
        self.era = 1
        self.revision = 10
        self.objects = {}
        self.events = []
        self.oldest = 0
        self.is_down = False
        self.is_silent = False
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self):
        """Listen on a free port."""
        self.server, self.port = await serve_http(self.handle)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, status=None):
        """Write an object and return it."""
        old = self.objects.setdefault(kind, {}).get(name)
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        made = {
            "meta": {
                "name": name,
                "rev": self.revision,
                "createdRev": old["meta"]["createdRev"]
                if old
                else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects[kind][name] = made
        self.events.append((self.revision, kind, made, False))
        self._notify()
        return made

    def remove(self, kind, name):
        """Remove an object."""
        old = self.objects.get(kind, {}).pop(name, None)
        if old is not None:
            self.revision += 1
            self.events.append((self.revision, kind, old, True))
            self._notify()

    async def handle(self, method, target, headers, body):
        """Answer one call."""
        if self.is_silent:
            return None
        answer = await self._handle(method, target, body)
        if answer is None or self.is_silent:
            return None
        return answer[0], {"Store-Era": self.era}, answer[1]

    async def _handle(self, method, target, body):
        if self.is_down:
            return 503, None
        await asyncio.sleep(0.004)
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        words = [urllib.parse.unquote(w) for w in parts.path.split("/") if w]
        kind = words[1]
        name = words[2] if len(words) > 2 else ""
        kept = self.objects.get(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name:
            return (200, kept[name]) if name in kept else (404, None)
        if method == "GET":
            after = query.get("after", "")
            items = [kept[k] for k in sorted(kept) if k > after]
            return 200, {
                "items": items[:500],
                "more": len(items) > 500,
                "asOf": self.revision,
            }
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        sent = json.loads(body)
        name = name or sent["meta"]["name"]
        old = kept.get(name)
        if method == "POST" and old is not None:
            return 409, old
        if method == "PUT" and old is None:
            return 404, None
        rev = sent["meta"].get("rev")
        if old is not None and rev is not None and rev != old["meta"]["rev"]:
            return 409, old
        return 200, self.put(kind, name, sent["spec"])

    async def _watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + min(30.0, int(query.get("waitMs", 0)) / 1000)
        while True:
            if since < self.oldest or since > self.revision:
                return 410, None
            events = [
                {"object": made, "deleted": gone}
                for rev, k, made, gone in self.events
                if k == kind and rev > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
            if self.is_down:
                return 503, None


# Instances.


class Entry:
    """One commit in a log."""

    def __init__(self, term, number, id_, writes):
        self.term, self.number, self.id, self.writes = term, number, id_, writes


class Instance:
    """One instance: its log, its role, and its server."""

    def __init__(self, world, service, number):
        self.world = world
        self.service = service
        self.id = "i-" + secrets.token_hex(4)
        self.number = number
        self.port = free_port()
        self.is_primary = False
        self.term = 1
        self.log = []
        self.paused = 0
        self.is_deaf = False  # receives nothing
        self.is_up = False
        self.reaches_store = True
        self.born = 0
        self.seq = 0
        self.state = "ready"
        self.executed = []
        self.connections = set()
        self.listed_s = 0.0
        self._server = None

    @property
    def name(self):
        """Return the name in the record."""
        return f"{self.service}/{self.number}"

    async def start(self, keeps_log=True):
        """Start; without its log it holds and knows nothing of before."""
        if not keeps_log:
            self.log, self.term, self.is_primary = [], 0, False
        if self.term < self.world.terms[self.service]:
            self.is_primary = False
        self.paused, self.seq = 0, 0
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 22
        )
        self.is_up = True
        self.write_entry()
        self.follow()

    def stop(self):
        """Crash."""
        self.is_up = False
        self._server.close()
        for writer in tuple(self.connections):
            writer.transport.abort()

    def follow(self):
        """Take over the log of the primary that this replica reaches."""
        primary = self.world.primary_of(self.service)
        if primary is None or primary is self or self.is_deaf or self.paused:
            return
        if self.is_primary and self.term >= primary.term:
            return
        self.is_primary = False
        self.term = primary.term
        self.log = list(primary.log)

    def write_entry(self):
        """Write the entry in the store, as far as it is reached."""
        if not self.is_up or not self.reaches_store or self.world.store.is_down:
            return
        self.seq += 1
        self.listed_s = time.monotonic()
        self.world.store.put(
            "servers",
            self.id,
            {
                "backend": self.service,
                "addr": f"127.0.0.1:{self.port}",
                "zone": "zone-a",
                "version": "v1",
                "slots": 3,
                "state": self.state,
                "coldLeftMs": 0,
                "seq": self.seq,
                "born": self.born,
                "dbRole": "primary" if self.is_primary else "replica",
            },
        )

    def position(self):
        """Return the end of the log as text."""
        return f"{self.term}.{len(self.log)}"

    def status(self):
        """Return the answer to STATUS."""
        role = "primary" if self.is_primary else "replica"
        return (
            f"ROW {role} {self.term} {self.position()} {self.paused} 0 1 "
            f"{len(self.connections)}\r\nDONE -\r\n"
        )

    def pause(self, term):
        """Stop receiving until a resume, a promotion or a restart."""
        if not self.is_primary and int(term) > self.term:
            self.paused = int(term)

    def resume(self, _):
        """Receive again."""
        self.paused = 0
        self.follow()

    def step_down(self, term):
        """Become a replica, as a primary of a lower term."""
        if self.is_primary and self.term < int(term):
            self.is_primary = False
            self.write_entry()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        connection = Connection(self, reader, writer)
        try:
            await connection.run()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    def receive(self, entry):
        """Receive a commit of the primary; return whether it was received."""
        if not self.is_up or self.is_deaf or self.paused or self.is_primary:
            return False
        primary = self.world.primary_of(self.service)
        if primary is None or entry.term < self.term:
            return False
        self.log = primary.log[: entry.number]
        self.term = entry.term
        return True

    async def commit(self, id_, writes):
        """Commit at the primary; acknowledged once one replica has it."""
        entry = Entry(self.term, len(self.log) + 1, id_, writes)
        self.log.append(entry)
        while True:
            await asyncio.sleep(0.002)
            if not self.is_up or not self.is_primary or self.term != entry.term:
                raise OSError("no longer the primary")
            others = [
                o for o in self.world.instances[self.service] if o is not self
            ]
            received = [o.receive(entry) for o in others]
            if any(received):
                return entry


class Connection:
    """The instance's side of one connection."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.state = "I"
        self.is_read_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}

    async def line(self):
        """Return the next message."""
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def run(self):
        """Serve until the connection ends."""
        instance = self.instance
        start = (await self.line()).split(" ")
        if start[1] != instance.service or start[3:4] not in (
            [],
            [instance.id],
        ):
            self.writer.write(b"ERROR WRONGNODE id\r\n")
            await self.writer.drain()
            return
        if len(instance.connections) > 46:
            self.writer.write(b"ERROR MAXCONN full\r\n")
            await self.writer.drain()
            return
        self.answer("")
        while True:
            line = await self.line()
            if line.startswith("BYE"):
                return
            _, id_, text = line.split(" ", 2)
            await asyncio.sleep(0.001)
            self.answer(await self.serve(id_, text))

    def answer(self, text):
        """Send an answer with its READY."""
        if not self.instance.is_up:
            raise OSError("down")
        end = f"READY {self.state} {self.instance.position()}\r\n"
        self.writer.write((text + end).encode())

    async def serve(self, id_, text):
        """Run a statement and return its answer without the READY."""
        instance = self.instance
        if text.startswith("SINCE "):
            _, position, text = text.split(" ", 2)
            term, number = map(int, position.split("."))
            if (instance.term, len(instance.log)) < (term, number):
                return "ERROR LAGGING log\r\n"
        word, _, rest = text.partition(" ")
        if id_ != "-":
            instance.executed.append((time.monotonic(), id_, text))
            instance.world.record(
                "run", instance.name, id_, text, "at", instance.position()
            )
        if word in _ORDERS:
            _ORDERS[word](instance, rest)
            return instance.status()
        if word in _SETUPS:
            _SETUPS[word](self, *rest.split(" ", 1))
            return self._done(id_)
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return f"ERROR NOSTMT {name}\r\n"
            word = self.prepared[name].split(" ")[0]
        if word not in _STATEMENTS:
            return "ERROR MALFORMED text\r\n"
        if self._has_lost_lead() and not (word == "COMMIT" and not self.writes):
            return self._refuse()
        return await _STATEMENTS[word](self, id_, rest)

    def _done(self, id_):
        return f"DONE {self.instance.id}.{id_}\r\n"

    def _has_lost_lead(self):
        is_plain = self.state == "T" and not self.is_read_only
        return is_plain and not self.instance.is_primary

    def _refuse(self):
        if self.state == "T":
            self.state = "E"
        return f"ERROR READONLY {self.instance.id}\r\n"

    def _reset(self, *_):
        self.values.clear()
        self.prepared.clear()

    def _roll_back(self, *_):
        self.state, self.writes = "I", []

    async def _begin(self, id_, rest):
        if rest != "READ" and not self.instance.is_primary:
            return self._refuse()
        self.state, self.is_read_only, self.writes = "T", rest == "READ", []
        return self._done(id_)

    async def _commit(self, id_, rest):
        self.state, writes, self.writes = "I", self.writes, []
        if writes:
            await self.instance.commit(id_, writes)
        return self._done(id_)

    async def _read(self, id_, rest):
        data = "-"
        for entry in self.instance.log:
            for item, value in entry.writes:
                data = value if item == rest else data
        return f"ROW {data}\r\n" + self._done(id_)

    async def _write(self, id_, rest):
        if not self.instance.is_primary:
            return self._refuse()
        item, _, data = rest.partition(" ")
        if self.state == "T":
            self.writes.append((item, data))
        else:
            await self.instance.commit(id_, [(item, data)])
        return self._done(id_)


_ORDERS = {
    "STATUS": lambda instance, term: None,
    "PAUSE": Instance.pause,
    "RESUME": Instance.resume,
    "STEPDOWN": Instance.step_down,
}
_SETUPS = {
    "SET": lambda c, name, value="": c.values.update({name: value}),
    "RESET": Connection._reset,
    "PREPARE": lambda c, name, text: c.prepared.update({name: text}),
    "CLOSE": lambda c, name: c.prepared.pop(name, None),
    "ROLLBACK": Connection._roll_back,
}
_STATEMENTS = {
    "BEGIN": Connection._begin,
    "COMMIT": Connection._commit,
    "READ": Connection._read,
    "WRITE": Connection._write,
}


# The whole deployment.


class World:
    """A small deployment: store, instances, promotion call, entry hosts."""

    def __init__(self, folder, services=("svc",), hosts=3, promote_s=0.3):
        self.record = Record(folder)
        self.folder = folder
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.services = services
        self.host_count = hosts
        self.promote_s = promote_s
        self.store = Store(self.record)
        self.terms = dict.fromkeys(services, 1)
        self.instances = {
            s: [Instance(self, s, n) for n in range(3)] for s in services
        }
        self.promotions = []
        self.calls = []
        self.hosts = []
        self.version = 3
        self.acked = []  # of callers: service, id, item, data
        self._tasks = []

    def primary_of(self, service):
        """Return the instance that leads the newest term and runs, or None."""
        for instance in self.instances[service]:
            if (
                instance.is_up
                and instance.is_primary
                and instance.term == self.terms[service]
            ):
                return instance
        return None

    def routes(self):
        """Return one route of each type for each service."""
        kinds = {"primary": 0, "bounded_stale": 1500, "read_your_writes": 2500}
        return [
            {
                "name": f"r-{s}-{k}",
                "host": f"{s}-{k}",
                "pathPrefix": "/",
                "type": k,
                "timeoutMs": 2000,
                "targetLatencyMs": 200,
                "priority": 1,
                "backend": s,
                "attempts": 2,
                "maxStalenessMs": m,
            }
            for s in self.services
            for k, m in kinds.items()
        ]

    def write_configuration(self):
        """Write the next version."""
        self.version += 4
        self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": self.routes(),
                "backends": [
                    {
                        "name": s,
                        "healthPath": "/healthz",
                        "maxConns": 46,
                        "proto": "h1",
                        "tls": False,
                        "syncReplicas": 1,
                    }
                    for s in self.services
                ],
                "limits": {"txIdleMs": 3000},
            },
        )

    async def start(self):
        """Start everything, and wait until the hosts are ready."""
        await self.store.start()
        self.cloud, self.cloud_port = await serve_http(self._promote)
        for service in self.services:
            self.instances[service][0].is_primary = True
            for instance in self.instances[service]:
                await instance.start()
        self.write_configuration()
        self._tasks.append(asyncio.create_task(self._beat()))
        for number in range(self.host_count):
            self.hosts.append(Host(self, number))
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.wait_ready()

    async def _beat(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for instance in sum(self.instances.values(), []):
                if instance.is_up and now - instance.listed_s > HEARTBEAT_S:
                    instance.write_entry()
                elif (
                    now - instance.listed_s > 3 * HEARTBEAT_S
                    and instance.id in self.store.objects.get("servers", {})
                ):
                    self.store.remove("servers", instance.id)

    async def _promote(self, method, target, headers, body):
        sent = json.loads(body)
        fence = int(headers["x-fence-token"])
        holder = headers["x-duty-holder"]
        self.calls.append(
            (time.monotonic(), sent["backend"], sent["id"], holder, fence)
        )
        self.record("promote", sent, holder, fence)
        found = [
            i for i in self.instances[sent["backend"]] if i.id == sent["id"]
        ]
        if not found or not found[0].is_up:
            return 409, {}, None
        asyncio.get_running_loop().call_later(
            self.promote_s, self._take_effect, found[0]
        )
        return 200, {}, {}

    def _take_effect(self, instance):
        service = instance.service
        if instance.is_primary and instance.term == self.terms[service]:
            return
        if not instance.is_up:
            return
        self.terms[service] += 1
        missing = [
            a
            for a in self.acked
            if a[0] == service and all(e.id != a[1] for e in instance.log)
        ]
        self.promotions.append((instance, list(instance.log), missing))
        instance.term, instance.is_primary = self.terms[service], True
        instance.paused, instance.is_deaf = 0, False
        self.record(
            "promoted",
            instance.name,
            "term",
            instance.term,
            "with",
            len(instance.log),
            "commits; acknowledged and missing:",
            [a[1] for a in missing],
        )
        instance.write_entry()
        for other in self.instances[service]:
            if other is not instance and other.is_up:
                other.paused = 0
                other.follow()
                other.write_entry()

    async def close(self):
        """End what was started."""
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            host.end()
        shutil.rmtree(self.temp, ignore_errors=True)


class Host:
    """One entry host, a process of its own."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"front-{number}"
        self.zone = "zone-a"
        self.front, self.ready, peers, last = (free_port() for _ in range(4))
        self.settings = {
            "node": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
            },
            "internalPorts": [peers, last],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {
                "cpuShare": 1.0,
                "cores": 1,
                "ramMb": 300,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sql",
                "platform",
            ],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
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
            },
            "platform": {
                "addr": f"127.0.0.1:{world.store.port}",
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            "cloudApi": {
                "addr": f"127.0.0.1:{world.cloud_port}",
                "ratePerS": 50.0,
                "duties": ["failover"],
                "dutyPerS": 50.0,
            },
        }
        self.process = None

    def start(self):
        """Start the process."""
        path = pathlib.Path(self.world.temp) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        path_of_log = pathlib.Path(self.world.temp) / f"{self.name}.log"
        with path_of_log.open("ab") as log:
            deps = ROOT / "target" / "deps"
            environment = {
                "PATH": os.environ.get("PATH", ""),
                "HOME": self.world.temp,
                "KNAPWEEDTALLY_SETTINGS": str(path),
                "PYTHONPATH": str(deps),
                "PYTHONDONTWRITEBYTECODE": "1",
            }
            self.process = subprocess.Popen(
                [sys.executable, "-m", "knapweedtally", "entry"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def log_text(self):
        """Return what the process has written."""
        path = pathlib.Path(self.world.temp) / f"{self.name}.log"
        return path.read_text(errors="replace")

    async def is_ready(self):
        """Return whether the readiness probe gets a 200."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready
            )
            writer.write(
                b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, limit_s=20.0):
        """Wait until the host is ready."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise NotRunError(f"{self.name} was not ready in time")

    def signal(self, number):
        """Send a signal unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kill the process, and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


class NotRunError(Exception):
    """The case couldn't run."""


# Clients.


class Client:
    """One session of a client."""

    def __init__(self, world, host, database):
        self.world, self.host, self.database = world, host, database
        self.reader = self.writer = None

    async def open(self):
        """Connect and return the answer to START."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.host.front, limit=1 << 22
        )
        self.writer.write(f"START {self.database} app\r\n".encode())
        return await asyncio.wait_for(self._line(), 3.0)

    async def _line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def ask(self, text, limit_s=5.0, id_=None):
        """Send a statement; return id, rows, and the end of the answer."""
        id_ = id_ or secrets.token_hex(8)
        self.world.record("sent", self.host.name, self.database, id_, text)
        rows, end = [], "lost"
        try:
            self.writer.write(f"QUERY {id_} {text}\r\n".encode())
            async with asyncio.timeout(limit_s):
                while True:
                    line = await self._line()
                    if line.startswith("ROW "):
                        rows.append(line[4:])
                    elif line.startswith("READY "):
                        break
                    else:
                        end = line
        except (OSError, asyncio.IncompleteReadError):
            end = end if end != "lost" else "lost: connection closed"
        except TimeoutError:
            end = "lost: no answer"
        self.world.record("answered", self.host.name, id_, end, rows)
        return id_, rows, end

    async def write(self, service, item, data, limit_s=5.0):
        """Write once, and note the acknowledgement."""
        id_, _, end = await self.ask(f"WRITE {item} {data}", limit_s)
        if end.startswith("DONE "):
            self.world.acked.append((service, id_, item, data))
            return True
        return False

    def close(self):
        """Close the connection at once."""
        if self.writer is not None:
            self.writer.transport.abort()


def main(play, folder, **options):
    """Play a case and exit: 0 the rule held, 1 it was broken, 2 not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder, **options)
        try:
            async with asyncio.timeout(110):
                await world.start()
                world.record("started; trouble:", has_trouble)
                broken = await play(world, has_trouble)
        except Exception as error:
            world.record("not run:", repr(error))
            print("not run:", repr(error))
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                for host in world.hosts:
                    print(f"== {host.name}\n{host.log_text()}")
            await world.close()
        world.record("the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
