"""PINNED: a refused SET or PREPARE doesn't stop the statement behind it."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import world as world_module  # noqa: E402

SERVICES = ["sa", "sb", "sc"]
CLIENTS_PER_HOST = 8
REFUSED_SHARE = 0.45
TROUBLE_S = 6.5


class Session(world_module.Client):
    """A client with a session value and a prepared statement of its own.

    Attributes:
        acknowledged: session values that were acknowledged, and since when.
        shape: shape of the prepared statement ``s1``, once acknowledged.
    """

    def __init__(
        self,
        world: world_module.World,
        host: world_module.EntryHost,
        database: str,
        name: str,
    ) -> None:
        super().__init__(world, host, database, name)
        self.name = name
        # By id of a statement: what was acknowledged when it was sent.
        self.expected: dict[str, tuple[dict[str, str], str]] = {}

    async def run_session(self) -> None:
        """Write with values and a prepared name, again and again."""
        number = 0
        while True:
            if not await self.connect():
                await asyncio.sleep(0.1)
                continue
            values = {}
            is_odd = int(self.name[-1]) % 2
            for name in ("caller", f"option{is_odd}"):
                answer = await self.run(f"SET {name} {self.name}")
                if answer.startswith("DONE"):
                    values[name] = self.name
            verb = "READ" if is_odd else "WRITE"
            shape = f"{verb} shape-of-{self.name}"
            if not (await self.run(f"PREPARE s1 {shape}")).startswith("DONE"):
                shape = ""
            while self.is_connected:
                number += 1
                text = f"WRITE {self.name} {number}"
                if number % 2:
                    text = f"EXEC s1 {self.name} {number}"
                id_ = f"{self._name}.{self._count + 1}"
                self.expected[id_] = (dict(values), shape)
                await self.run(text)
                await asyncio.sleep(0.1)


async def play(world: world_module.World) -> list[str]:
    """Let one of nine instances refuse a part of its requests for a while."""
    await world.start(SERVICES, 3)
    sessions = [
        Session(world, host, f"{SERVICES[0]}-primary", f"client{number}{index}")
        for number, host in enumerate(world.hosts)
        for index in range(CLIENTS_PER_HOST)
    ]
    for session in sessions:
        world.spawn(session.run_session())
    await asyncio.sleep(6.0)
    grey = world.services[SERVICES[0]].find_primary()
    assert grey is not None
    if world_module.has_trouble():
        world.record.say(
            f"{grey.id} refuses {REFUSED_SHARE:.0%} of its requests as BUSY"
        )
        grey.refused_share = REFUSED_SHARE
    await asyncio.sleep(TROUBLE_S)
    grey.refused_share = 0.0
    world.record.say("it serves as before")
    await asyncio.sleep(4.0)
    return judge(world, sessions)


def judge(world: world_module.World, sessions: list[Session]) -> list[str]:
    """Return the statements that ran under other values or shapes."""
    expected = {
        id_: known
        for session in sessions
        for id_, known in session.expected.items()
    }
    answers = {
        outcome[2]: outcome[4]
        for session in sessions
        for outcome in session.outcomes
    }
    found: dict[str, list[str]] = {
        "values": [],
        "unknown name": [],
        "shape": [],
    }
    total = 0
    for service in world.services.values():
        for instance in service.instances.values():
            for id_, text, values, shape in instance.sessions:
                if id_ not in expected:
                    continue
                total += 1
                known_values, known_shape = expected[id_]
                told = answers.get(id_) or "no answer"
                if values != known_values and shape != "unknown":
                    found["values"].append(
                        f"{id_} {text!r} ran with the session values {values};"
                        f" {known_values} were acknowledged to its client,"
                        f" which was told {told!r}"
                    )
                if shape == "unknown":
                    found["unknown name"].append(
                        f"{id_} {text!r} names a statement that the instance"
                        f" doesn't know; {known_shape!r} was acknowledged to"
                        f" its client, which was told {told!r}"
                    )
                elif shape and shape != known_shape:
                    found["shape"].append(
                        f"{id_} {text!r} ran as {shape!r}; {known_shape!r} was"
                        f" acknowledged to its client, which was told {told!r}"
                    )
    counts = {kind: len(lines) for kind, lines in found.items()}
    world.record.say(f"{total} statements reached instances; broken: {counts}")
    return [
        f"PINNED ({kind}): {line}"
        for kind, lines in found.items()
        for line in lines[:3]
    ]


if __name__ == "__main__":
    world_module.main(play, FOLDER)
