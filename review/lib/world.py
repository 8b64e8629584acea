"""Stand-ins of the platform, the instances and the clients, on loopback.

Everything here behaves like a sound store, instance, operator or client of the
users' pages; a script brings its disruption about by the methods that say so.
The entry hosts are the project's own processes.
"""

import asyncio
import copy
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]

HEARTBEAT_S = 1.2
PROMOTE_S = 1.0
DRAIN_S = 7.0
GRACE_S = 6
REPLICATION_S = 0.002
APPLY_S = 0.02
WORK_S = 0.005

# Longest text that is recorded, in characters.
MAX_RECORDED = 300

ZONES = ("zone-a", "zone-b", "zone-c")

_START_S = time.monotonic()


def now_s() -> float:
    """Return the seconds since the start of the script."""
    return time.monotonic() - _START_S


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")

    def write(self, who: str, text: str) -> None:
        """Write one line."""
        if len(text) > MAX_RECORDED:
            text = f"{text[:MAX_RECORDED]}... ({len(text)} characters)"
        self._file.write(f"{now_s():9.3f} {who}: {text}\n")

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.write("script", text)
        print(f"{now_s():9.3f} {text}", flush=True)

    def close(self) -> None:
        """Close it at once."""
        self._file.close()


class HttpServer:
    """A small HTTP/1.1 server with keep-alive."""

    def __init__(self, handler: Callable[..., Any], ip: str, port: int) -> None:
        self.handler = handler
        self.ip, self.port = ip, port
        self.is_away = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start it."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=8 * 1024 * 1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def go_away(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().split()
                headers = {}
                while True:
                    header = (await reader.readuntil(b"\r\n")).decode().strip()
                    if not header:
                        break
                    name, _, value = header.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                status, answer, more = await self.handler(
                    line[0], line[1], headers, body
                )
                data = b"" if answer is None else json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
                head += "Content-Type: application/json\r\n"
                head += "".join(f"{k}: {v}\r\n" for k, v in more.items())
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store: objects, watches and one revision."""

    def __init__(self, record: Record) -> None:
        self.era = 1
        self.revision = 100
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.copies: list[tuple[float, int, Any, Any]] = []
        self.on_return: list[Callable[[], None]] = []
        self._record = record
        self._changed = asyncio.Event()
        self.server = HttpServer(self._answer, "127.0.0.1", 0)

    @property
    def is_away(self) -> bool:
        """Return whether the store is away."""
        return self.server.is_away

    # For the operator and the instances, whose calls are not modelled.

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, or None."""
        return self.objects.get(kind, {}).get(name)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object; an equal one is left as it is."""
        known = self.get(kind, name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["createdRev"] if known else self.revision
        stored = {
            "meta": {
                "name": name,
                "rev": self.revision,
                "createdRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._add_event(kind, stored, False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._add_event(kind, stored, True)

    def _add_event(
        self, kind: str, stored: dict[str, Any], is_deleted: bool
    ) -> None:
        # An event shows the object as it was then.
        self.events.append(
            (self.revision, kind, copy.deepcopy(stored), is_deleted)
        )
        spec = "removed" if is_deleted else json.dumps(stored["spec"])
        self._record.write(
            "store",
            f"revision {self.revision} {kind}/{stored['meta']['name']} {spec}",
        )
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # The drill.

    def take_copy(self) -> None:
        """Keep a copy of the present state."""
        self.copies.append(
            (
                now_s(),
                self.revision,
                copy.deepcopy(self.objects),
                list(self.events),
            )
        )

    async def run_copies(self) -> None:
        """Keep a copy of each half second."""
        while True:
            if not self.is_away:
                self.take_copy()
                del self.copies[:-120]
            await asyncio.sleep(0.5)

    async def drill(self, copy_time_s: float, away_s: float) -> float:
        """Go away for a moment and come back from an earlier copy.

        Returns:
            The age of the copy when the store went away, in seconds.
        """
        taken_s, revision, objects, events = max(
            (c for c in self.copies if c[0] <= copy_time_s), key=lambda c: c[0]
        )
        age_s = now_s() - taken_s
        self._record.write(
            "store", f"away at revision {self.revision}; copy {age_s:.1f} s old"
        )
        self.server.is_away = True
        self.server.go_away()
        self._notify()
        await asyncio.sleep(away_s)
        self.era += 1
        self.revision = revision
        self.objects = copy.deepcopy(objects)
        self.events = list(events)
        self.copies.clear()
        self.server.is_away = False
        await self.server.start()
        self._record.write(
            "store", f"back at revision {revision}, era {self.era}"
        )
        for callback in self.on_return:
            callback()
        return age_s

    # The calls of the system.

    async def _answer(
        self, method: str, target: str, headers: Any, body: bytes
    ) -> tuple[int, Any, dict[str, str]]:
        await asyncio.sleep(0.004)
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        names = [urllib.parse.unquote(p) for p in parts.path.split("/")[2:]]
        kind, name = [*names, "", ""][:2]
        if method == "GET":
            status, answer = await self._read(kind, name, query)
        else:
            status, answer = self._write(method, kind, name, query, body)
            said = json.dumps(answer.get("meta") if answer else None)
            self._record.write(
                "store",
                f"{method} {target} {body.decode()[:400]} -> {status} {said}",
            )
        return status, answer, {"Store-Era": str(self.era)}

    async def _read(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        if "watch" in query:
            return await self._watch(kind, query)
        objects = self.objects.get(kind, {})
        if name:
            return (200, objects[name]) if name in objects else (404, None)
        keys = sorted(k for k in objects if k > query.get("after", ""))
        return 200, {
            "items": [objects[k] for k in keys[:500]],
            "more": len(keys) > 500,
            "asOf": self.revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        end_s = now_s() + min(30.0, int(query.get("waitMs", "0")) / 1000)
        while True:
            if since > self.revision:
                return 410, None
            found = [
                {"object": stored, "deleted": is_deleted}
                for revision, event_kind, stored, is_deleted in self.events
                if event_kind == kind and revision > since
            ]
            left_s = end_s - now_s()
            if found or left_s <= 0:
                return 200, {"events": found, "asOf": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _write(
        self,
        method: str,
        kind: str,
        name: str,
        query: dict[str, str],
        body: bytes,
    ) -> tuple[int, Any]:
        sent = json.loads(body) if body else {}
        meta = sent.get("meta") or {}
        name = name or str(meta.get("name"))
        known = self.get(kind, name)
        if method == "POST":
            if known is not None:
                return 409, known
            return 201, self.put(kind, name, sent.get("spec"))
        if known is None:
            return 404, None
        revision = meta.get("rev", query.get("rev"))
        if revision is not None and int(revision) != known["meta"]["rev"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        return 200, self.put(kind, name, sent.get("spec"))


class Duties:
    """The platform's API for duties, which does not check the fence.

    Attributes:
        calls: time, holder, fencing token, service and instance of each call.
    """

    def __init__(self, world: "World") -> None:
        self.calls: list[tuple[float, str, int, str, str]] = []
        self._world = world
        self.server = HttpServer(self._answer, "127.0.0.1", 0)

    async def _answer(
        self, method: str, target: str, headers: Any, body: bytes
    ) -> tuple[int, Any, dict[str, str]]:
        sent = json.loads(body)
        holder = headers["x-duty-holder"]
        token = int(headers["x-fence-token"])
        self.calls.append((now_s(), holder, token, sent["backend"], sent["id"]))
        service = self._world.services[sent["backend"]]
        instance = service.instances.get(sent["id"])
        status = 200 if instance is not None and instance.is_running else 409
        self._world.record.write(
            "platform",
            f"POST /promote of {sent['id']} by {holder} with fencing token"
            f" {token} -> {status}",
        )
        if status == 200:
            asyncio.get_running_loop().call_later(
                PROMOTE_S, service.promote, sent["id"]
            )
        return status, {}, {}


class Service:
    """One service: a primary and its replicas."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.term = 1
        self.instances: dict[str, Instance] = {}

    async def add(
        self, zone: str, port: int = 0, log: list[Any] | None = None
    ) -> "Instance":
        """Start a new instance, a replica unless it is the first."""
        id_ = f"i-{random.getrandbits(40):010x}"
        instance = Instance(self, id_, zone, port)
        instance.is_primary = not self.instances
        instance.log = list(log or ())
        instance.applied = len(instance.log)
        instance.term = self.term
        self.instances[id_] = instance
        await instance.start()
        return instance

    def find_primary(self) -> "Instance | None":
        """Return the primary of the newest term, or None."""
        return next(
            (
                i
                for i in self.instances.values()
                if i.is_primary and i.is_running and i.term == self.term
            ),
            None,
        )

    def promote(self, id_: str) -> None:
        """Let an instance lead the next term with what it had received."""
        instance = self.instances.get(id_)
        if instance is None or not instance.is_running or instance.is_primary:
            return
        self.term += 1
        instance.term = self.term
        instance.is_primary = True
        instance.applied = len(instance.log)
        instance.paused_for = 0
        self.world.record.write(
            id_, f"leads term {self.term} at {instance.get_position()}"
        )
        instance.write_entry()
        for other in self.instances.values():
            if other is not instance and other.is_running:
                asyncio.get_running_loop().call_later(
                    0.2, other.follow, instance
                )


class Instance:
    """One instance of a service."""

    def __init__(
        self, service: Service, id_: str, zone: str, port: int
    ) -> None:
        self.service = service
        self.id = id_
        self.zone = zone
        self.port = port
        self.is_primary = False
        self.is_running = False
        self.is_draining = False
        self.term = 1
        self.paused_for = 0
        self.log: list[tuple[int, list[tuple[str, str]]]] = []
        self.applied = 0
        self.born_ms = round(time.time() * 1000)
        self.seq = 0
        self.busy = 0
        self.connections: set[InstanceConnection] = set()
        self.slots = asyncio.Semaphore(2)
        # Share of its requests that it refuses as BUSY, without running them.
        self.refused_share = 0.0
        # Id, text, session values, and the shape of a prepared statement, of
        # each statement of a client that reached it.
        self.sessions: list[tuple[str, str, dict[str, str], str]] = []
        # Time, id, text and whether it is a single or first statement.
        self.runs: list[tuple[float, str, str, bool]] = []
        self.drain_acknowledged_s: float | None = None
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start it."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2 * 1024 * 1024
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_running = True
        self._task = asyncio.create_task(self._run_heartbeats())

    def end(self) -> None:
        """End the process: its connections break, and it reports nothing."""
        if not self.is_running:
            return
        self.is_running = False
        self.service.world.record.write(self.id, "ends")
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = InstanceConnection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            connection.abort()

    async def _run_heartbeats(self) -> None:
        while self.is_running:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    def make_entry(self) -> dict[str, Any]:
        """Return the instance's entry."""
        return {
            "backend": self.service.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": "draining" if self.is_draining else "ready",
            "coldLeftMs": 0,
            "dbRole": "primary" if self.is_primary else "replica",
            "seq": self.seq,
            "born": self.born_ms,
        }

    def write_entry(self) -> bool:
        """Write the instance's entry, which changes if more than seq does."""
        store = self.service.world.store
        if not self.is_running or store.is_away:
            return False
        self.seq += 1
        entry = self.make_entry()
        known = store.get("servers", self.id)
        if known is not None and {**known["spec"], "seq": 0} == {
            **entry,
            "seq": 0,
        }:
            known["spec"]["seq"] = self.seq
        else:
            store.put("servers", self.id, entry)
        return True

    async def drain(self, extra_s: float) -> None:
        """Report draining, serve for the drain time and longer, and end.

        Its log goes to a new instance at its address.
        """
        self.is_draining = True
        while not self.write_entry():
            await asyncio.sleep(0.1)
        self.drain_acknowledged_s = now_s()
        self.service.world.record.write(
            self.id, "reported draining; the store acknowledged it"
        )
        await asyncio.sleep(DRAIN_S + extra_s)
        log = self.log
        self.end()
        self.service.world.store.remove("servers", self.id)
        del self.service.instances[self.id]
        self.service.world.gone.append(self)
        await asyncio.sleep(0.3)
        await self.service.add(self.zone, self.port, log)

    # The log.

    def get_position(self) -> str:
        """Return the position of the end of the log."""
        return f"{self.log[-1][0] if self.log else 1}.{len(self.log)}"

    def has_position(self, text: str) -> bool:
        """Return whether reads show a position."""
        term, number = map(int, text.split("."))
        last = self.log[self.applied - 1][0] if self.applied else 1
        count = len(self.log) if self.is_primary else self.applied
        return count >= number and (last >= term or self.term >= term)

    def follow(self, primary: "Instance") -> None:
        """Follow the primary of a later term."""
        if not self.is_running or not primary.is_running:
            return
        if self.term >= primary.term:
            return
        was_primary = self.is_primary
        self.is_primary = False
        self.term = primary.term
        self.paused_for = 0
        self.log = list(primary.log)
        self.applied = len(self.log)
        self.service.world.record.write(
            self.id, f"follows {primary.id} in term {self.term}"
        )
        if was_primary:
            self.write_entry()

    def receive(self, primary: "Instance") -> bool:
        """Receive the primary's log; return whether it did."""
        if not self.is_running or self.is_primary or self.paused_for:
            return False
        if self.term > primary.term:
            return False
        self.term = primary.term
        self.log = list(primary.log)
        asyncio.get_running_loop().call_later(
            APPLY_S, self._apply, len(self.log)
        )
        return True

    def _apply(self, count: int) -> None:
        self.applied = max(self.applied, min(count, len(self.log)))

    def read(self, item: str) -> str:
        """Return an item's newest visible value."""
        count = len(self.log) if self.is_primary else self.applied
        for _, writes in reversed(self.log[:count]):
            for name, data in reversed(writes):
                if name == item:
                    return data
        return "-"

    async def commit(self, writes: list[tuple[str, str]]) -> None:
        """Commit; acknowledged once a replica has received it.

        Raises:
            ConnectionAbortedError: the instance ended or was replaced.
        """
        self.log.append((self.term, writes))
        term = self.term
        while True:
            await asyncio.sleep(REPLICATION_S)
            if not self.is_running or not self.is_primary or self.term != term:
                raise ConnectionAbortedError
            received = [
                other.receive(self)
                for other in self.service.instances.values()
                if other is not self
            ]
            if any(received):
                return


class InstanceConnection:
    """One connection to an instance."""

    def __init__(
        self,
        instance: Instance,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._instance = instance
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._is_read_only = False
        self._is_first = False
        self._writes: list[tuple[str, str]] = []
        self._prepared: dict[str, str] = {}
        self._values: dict[str, str] = {}

    def abort(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    async def _read_line(self) -> str:
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin1")

    async def run(self) -> None:
        """Serve the connection."""
        instance = self._instance
        start = (await self._read_line()).split(" ")
        expected = start[3] if len(start) > 3 else instance.id
        if start[1] != instance.service.name or expected != instance.id:
            self._writer.write(b"ERROR WRONGNODE -\r\n")
            await self._writer.drain()
            return
        if len(instance.connections) > 16:
            self._writer.write(b"ERROR MAXCONN -\r\n")
            await self._writer.drain()
            return
        await asyncio.sleep(0.012)
        self._send("READY I " + instance.get_position())
        while True:
            line = await self._read_line()
            if line == "BYE":
                return
            _, id_, text = line.split(" ", 2)
            instance.busy += 1
            try:
                answer = await self._answer(id_, text)
            finally:
                instance.busy -= 1
            if not instance.is_running:
                return
            self._send(
                f"{answer}\r\nREADY {self._state} {instance.get_position()}"
            )

    def _send(self, text: str) -> None:
        self._writer.write(text.encode("latin1") + b"\r\n")

    async def _answer(self, id_: str, text: str) -> str:
        instance = self._instance
        since = ""
        statement = text
        if text.startswith("SINCE "):
            _, since, statement = text.split(" ", 2)
        verb, _, rest = statement.partition(" ")
        if random.random() < instance.refused_share:
            instance.service.world.record.write(
                instance.id, f"refuses {id_} {text} as BUSY, without a run"
            )
            return "ERROR BUSY -"
        if id_ == "-" and verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._control(verb, rest)
        if verb in ("SET", "RESET", "PREPARE", "CLOSE"):
            return self._answer_locally(verb, rest)
        if verb == "ROLLBACK":
            self._state, self._writes = "I", []
            return "DONE -"
        if self._state == "E" and verb != "COMMIT":
            return "ERROR MALFORMED the transaction failed"
        if since and not instance.has_position(since):
            return "ERROR LAGGING -"
        return await self._answer_client(id_, text, verb, rest)

    async def _answer_client(
        self, id_: str, text: str, verb: str, rest: str
    ) -> str:
        """Answer a statement of a client that may run now."""
        instance = self._instance
        shape = ""
        if verb == "EXEC":
            name, _, rest = rest.partition(" ")
            shape = self._prepared.get(name, "unknown")
        instance.sessions.append((id_, text, dict(self._values), shape))
        if shape == "unknown":
            instance.service.world.record.write(
                instance.id, f"gets {id_} {text}: no such name"
            )
            return "ERROR NOSTMT -"
        verb = shape.partition(" ")[0] or verb
        is_first = self._state == "I" or self._is_first
        self._is_first = verb == "BEGIN"
        instance.runs.append((now_s(), id_, text, is_first))
        instance.service.world.record.write(
            instance.id,
            f"runs {id_} {text} (state {self._state}, values {self._values},"
            f" shape {shape!r})",
        )
        if verb == "BEGIN":
            if not rest and not instance.is_primary:
                return "ERROR READONLY " + instance.id
            self._state, self._writes = "T", []
            self._is_read_only = rest == "READ"
            return self._sign(id_)
        async with instance.slots:
            await asyncio.sleep(WORK_S)
            return await self._run(id_, verb, rest)

    async def _run(self, id_: str, verb: str, rest: str) -> str:
        instance = self._instance
        has_lost = (
            self._state == "T"
            and not self._is_read_only
            and not instance.is_primary
        )
        if verb == "COMMIT":
            state, self._state = self._state, "I"
            writes, self._writes = self._writes, []
            if state != "T":
                return "ERROR ABORTED -"
            if writes:
                if has_lost:
                    return "ERROR READONLY " + instance.id
                await instance.commit(writes)
            return self._sign(id_)
        if has_lost:
            self._state = "E"
            return "ERROR READONLY " + instance.id
        if verb == "READ":
            own = [d for n, d in self._writes if n == rest]
            row = own[-1] if own else instance.read(rest)
            return f"ROW {row}\r\n{self._sign(id_)}"
        item, _, data = rest.partition(" ")
        if not instance.is_primary or self._is_read_only:
            if self._state == "T":
                self._state = "E"
            return "ERROR READONLY " + instance.id
        if self._state == "T":
            self._writes.append((item, data))
        else:
            await instance.commit([(item, data)])
        return self._sign(id_)

    def _sign(self, id_: str) -> str:
        return f"DONE {self._instance.id}.{id_}"

    def _answer_locally(self, verb: str, rest: str) -> str:
        name, _, shape = rest.partition(" ")
        if verb == "SET":
            self._values[name] = shape
        elif verb == "PREPARE":
            self._prepared[name] = shape
        elif verb == "CLOSE":
            self._prepared.pop(name, None)
        elif verb == "RESET":
            self._prepared.clear()
            self._values.clear()
        return "DONE -"

    def _control(self, verb: str, rest: str) -> str:
        instance = self._instance
        can_pause = verb == "PAUSE" and not instance.is_primary
        if can_pause and int(rest) > instance.term:
            instance.paused_for = int(rest)
        elif verb == "RESUME":
            instance.paused_for = 0
        can_step_down = verb == "STEPDOWN" and instance.is_primary
        if can_step_down and instance.term < int(rest):
            instance.is_primary = False
            instance.applied = len(instance.log)
            instance.write_entry()
        if verb != "STATUS":
            instance.service.world.record.write(
                instance.id, f"order {verb} {rest}"
            )
        role = "primary" if instance.is_primary else "replica"
        return (
            f"ROW {role} {instance.term} {instance.get_position()}"
            f" {instance.paused_for} 0 {instance.busy}"
            f" {len(instance.connections)}\r\nDONE -"
        )


class EntryHost:
    """One entry host: the program of the deploy file as a process."""

    def __init__(self, world: "World", number: int) -> None:
        self.name = f"front-{ZONES[number % 3]}-{number // 3 + 1}"
        self.zone = ZONES[number % 3]
        self.ip = f"127.0.1.{number + 1}"
        self._world = world
        self._ports = find_ports(self.ip, 4)
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.ip, self._ports[0]

    def make_settings(self) -> dict[str, Any]:
        """Return the settings of a small deployment."""
        world = self._world
        return {
            "node": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region",
            "zones": {zone: "region" for zone in ZONES},
            "listen": {
                "front": f"{self.ip}:{self._ports[0]}",
                "ready": f"{self.ip}:{self._ports[1]}",
            },
            "internalPorts": self._ports[2:4],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "ramMb": 300,
                "maxFds": 4300,
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
                "graceS": GRACE_S,
                "lossSlackMs": 200,
                "configApplyMs": 3000,
                "revertSlackMs": 250,
                "outerMs": 12000,
                "recoverS": 12,
                "enforceFencing": False,
                "thawMs": 300,
            },
            "platform": {
                "addr": f"127.0.0.1:{world.store.server.port}",
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            "cloudApi": {
                "addr": f"127.0.0.1:{world.duties.server.port}",
                "ratePerS": 50.0,
                "duties": ["failover"],
                "dutyPerS": 50.0,
            },
        }

    async def start(self) -> None:
        """Start it."""
        path = self._world.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.make_settings()), encoding="utf-8")
        log = (self._world.folder / f"{self.name}.log").open("ab")
        kept = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in kept if k in os.environ}
        env["KNAPWEEDTALLY_SETTINGS"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "knapweedtally",
            "entry",
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()

    async def is_ready(self) -> bool:
        """Return whether the host reports that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self._ports[1]
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def list_lines(self, *events: str) -> list[dict[str, Any]]:
        """Return the log lines of some events."""
        path = self._world.folder / f"{self.name}.log"
        found = []
        for line in path.read_text(errors="replace").splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if isinstance(fields, dict) and fields.get("event") in events:
                found.append(fields)
        return found


class Client:
    """A client's session, which connects again after a close.

    Attributes:
        outcomes: time of sending, time of the answer, id, text and answer of
            each statement; the answer is empty if none came.
    """

    def __init__(
        self, world: "World", host: EntryHost, database: str, name: str
    ) -> None:
        self.outcomes: list[tuple[float, float, str, str, str]] = []
        self.host = host
        self._world = world
        world.clients.append(self)
        self._database = database
        self._name = name
        self._count = 0
        self._state = "I"
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> bool:
        """Connect and start a session; return whether that worked."""
        try:
            async with asyncio.timeout(2.0):
                self._reader, self._writer = await asyncio.open_connection(
                    *self.host.address
                )
                self._writer.write(
                    f"START {self._database} {self._name}\r\n".encode()
                )
                line = await self._reader.readuntil(b"\r\n")
                if line.startswith(b"READY"):
                    self._state = "I"
                    return True
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.close()
        return False

    def close(self) -> None:
        """Close it at once."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    @property
    def is_connected(self) -> bool:
        """Return whether the session is open."""
        return self._writer is not None

    @property
    def state(self) -> str:
        """Return the state in the last answer."""
        return self._state

    async def run(self, text: str, limit_s: float = 2.0) -> str:
        """Run one statement; return its answer, empty if none came."""
        self._count += 1
        id_ = f"{self._name}.{self._count}"
        sent_s = now_s()
        answer = ""
        self._world.record.write(self._name, f"sends {id_} {text}")
        try:
            assert self._reader is not None and self._writer is not None
            async with asyncio.timeout(limit_s):
                self._writer.write(f"QUERY {id_} {text}\r\n".encode())
                lines = []
                while not lines or not lines[-1].startswith("READY"):
                    line = await self._reader.readuntil(b"\r\n")
                    lines.append(line[:-2].decode())
                self._state = lines.pop().split(" ")[1]
                answer = " | ".join(lines)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        self._world.record.write(
            self._name, f"gets {id_} {answer or '(no answer)'}"
        )
        self.outcomes.append((sent_s, now_s(), id_, text, answer))
        return answer

    async def run_writes(self, pause_s: float) -> None:
        """Write a new value of one item, again and again."""
        number = 0
        while True:
            if not self.is_connected and not await self.connect():
                await asyncio.sleep(0.1)
                continue
            number += 1
            await self.run(f"WRITE {self._name} {number}")
            await asyncio.sleep(pause_s)

    async def run_reads(self, item: str, pause_s: float) -> None:
        """Read one item, again and again."""
        while True:
            if not self.is_connected and not await self.connect():
                await asyncio.sleep(0.1)
                continue
            await self.run(f"READ {item}")
            await asyncio.sleep(pause_s)


class World:
    """All stand-ins and entry hosts of one script."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.duties = Duties(self)
        self.services: dict[str, Service] = {}
        self.hosts: list[EntryHost] = []
        self.gone: list[Instance] = []
        self.clients: list[Client] = []
        self._version = 0
        self._configuration: dict[str, Any] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self, services: list[str], hosts: int) -> None:
        """Start the stand-ins and the hosts, and wait until they are ready.

        Raises:
            CannotRun: the hosts do not become ready.
        """
        await self.store.server.start()
        await self.duties.server.start()
        for name in services:
            self.services[name] = Service(self, name)
            for zone in ZONES:
                await self.services[name].add(zone)
        self.write_configuration()
        self.store.on_return.append(self._write_again)
        self.spawn(self.store.run_copies())
        self.hosts = [EntryHost(self, number) for number in range(hosts)]
        for host in self.hosts:
            await host.start()
        end_s = now_s() + 25.0
        for host in self.hosts:
            while not await host.is_ready():
                if now_s() > end_s:
                    raise CannotRun(f"{host.name} does not become ready")
                await asyncio.sleep(0.1)
        self.record.say(f"{hosts} entry hosts are ready")

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine until the end of the script."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

    def write_configuration(self, **limits: int) -> None:
        """Write the next version of the configuration, as the operator."""
        self._version += random.randint(1, 3)
        kinds = (
            ("primary", 0),
            ("bounded_stale", 1500),
            ("read_your_writes", 2500),
        )
        self._configuration = {
            "version": self._version,
            "routes": [
                {
                    "name": f"r-{name}-{kind}",
                    "host": f"{name}-{kind}",
                    "pathPrefix": "/",
                    "type": kind,
                    "timeoutMs": 800,
                    "targetLatencyMs": 200,
                    "priority": 1,
                    "backend": name,
                    "attempts": 2,
                    "maxStalenessMs": staleness_ms,
                }
                for name in self.services
                for kind, staleness_ms in kinds
            ],
            "backends": [
                {
                    "name": name,
                    "healthPath": "/healthz",
                    "maxConns": 16,
                    "syncReplicas": 1,
                }
                for name in self.services
            ],
            "limits": {"txIdleMs": 3000, **limits},
        }
        self.store.put("config", "main", self._configuration)
        self.record.write("operator", f"wrote version {self._version}")

    def _write_again(self) -> None:
        """Let the operator write again what the store has lost.

        The instances do so with their next heartbeat. An entry whose instance
        is gone is removed after three intervals of silence.
        """
        self.store.put("config", "main", self._configuration)
        known = {
            id_
            for service in self.services.values()
            for id_ in service.instances
        }
        for id_ in list(self.store.objects.get("servers", {})):
            if id_ not in known:
                asyncio.get_running_loop().call_later(
                    3 * HEARTBEAT_S, self.store.remove, "servers", id_
                )

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self.clients:
            client.close()
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGKILL)
            if host.process is not None:
                await host.process.wait()
        for service in self.services.values():
            for instance in tuple(service.instances.values()):
                instance.end()
        self.store.server.go_away()
        self.duties.server.go_away()
        # The connections' tasks see that they were closed.
        await asyncio.sleep(0.1)
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):  # noqa: N818 - named after the cause
    """The case could not run."""


def find_ports(ip: str, count: int) -> list[int]:
    """Return free ports of an address."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    found = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return found


def has_trouble() -> bool:
    """Return whether the script brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(scenario: Callable[[World], Any], folder: pathlib.Path) -> None:
    """Run a scenario and exit with 0, 1 or 2.

    Args:
        scenario: plays the case; returns the breaches of the rule.
        folder: folder of the case, which gets ``record.txt``.
    """

    async def play() -> int:
        record = Record(folder / "record.txt")
        world = World(record)
        task = asyncio.current_task()
        assert task is not None
        # Whoever stops the script stops its processes too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            async with asyncio.timeout(110.0):
                breaches = await scenario(world)
        except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
            record.say(f"could not run: {error!r}")
            return 2
        finally:
            await world.stop()
            record.say("all processes were ended")
        for breach in breaches:
            record.say(f"BROKEN {breach}")
        if not breaches:
            record.say("the rule held")
        record.close()
        return 1 if breaches else 0

    try:
        code = asyncio.run(play())
    except Exception as error:
        print(f"could not run: {error!r}", flush=True)
        code = 2
    sys.exit(code)
