"""SIGTERM of an entry host whose sessions send one request after another."""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import kit  # noqa: E402

from standins.line_platform import targets  # noqa: E402

# Work around the mean of ``panel-history``, and the slots of an instance, on
# salinas-niebla.
WORK_S = (0.01, 0.034)
SLOTS = 2

SESSIONS = 16
WARM_UP_S = 3.0
GRACE_S = kit.BOUNDS["graceS"]


class Connection(targets.Connection):
    """A connection of an instance that runs SLOTS statements at once.

    Attributes:
        passed_on: ids of the statements that instances have received.
    """

    passed_on = set()
    slots = {}

    async def _serve_statement(self, id_, text):
        self.passed_on.add(id_)
        slots = self.slots.setdefault(self._target.id, asyncio.Semaphore(SLOTS))
        async with slots:
            await asyncio.sleep(random.uniform(*WORK_S))
            return await super()._serve_statement(id_, text)


async def work(client, port, record, log, stop):
    """Send single statements, each once the last one is answered."""
    await client.connect(port, "g-primary")
    number = 0
    while not stop.is_set():
        number += 1
        text = f"READ {client.name}"
        if number % 3 == 0:
            text = f"WRITE {client.name} v{number}"
        sent_s = time.monotonic()
        lines = await client.run(text)
        ended_s = time.monotonic()
        log.append((client.last_id, text, sent_s, ended_s, lines))
        if lines is None:
            return
        if number > 1 and client.state != "I":
            return


async def scenario(platform, folder, record, entries):
    """Run the case and return what broke the rule."""
    for number, zone in enumerate(("dc", "dc-2")):
        entry = kit.Entry(platform, f"front-{number}", zone, folder)
        entries.append(entry)
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    log, stop = [], asyncio.Event()
    stopped = entries[0]
    tasks = [
        asyncio.create_task(
            work(kit.Client(f"c{n}"), stopped.port, record, log, stop)
        )
        for n in range(SESSIONS)
    ]
    await asyncio.sleep(WARM_UP_S)
    term_s = time.monotonic()
    if kit.HAS_TROUBLE:
        record.write("SIGTERM to", stopped.name)
        stopped.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(stopped.process.wait(), GRACE_S)
            record.write(
                f"it exited {time.monotonic() - term_s:.2f} s after it"
            )
        except TimeoutError:
            stopped.signal(signal.SIGKILL)
            record.write("SIGKILL")
    else:
        await asyncio.sleep(GRACE_S)
    stop.set()
    await asyncio.wait_for(asyncio.gather(*tasks, return_exceptions=True), 10)
    passed_on = Connection.passed_on
    broken = []
    for id_, text, sent_s, ended_s, lines in log:
        at_s = sent_s - term_s
        outcome = "NO ANSWER" if lines is None else " / ".join(lines)
        if at_s > 2 or lines is None:
            where = "passed on" if id_ in passed_on else "not passed on"
            record.write(
                f"{id_} {text!r} sent {at_s:+.3f} s after SIGTERM, ended after"
                f" {ended_s - sent_s:.3f} s: {outcome}; {where} to an instance"
            )
        if lines is not None:
            continue
        # Sent later than 3 s after SIGTERM: being at work in the last sixth
        # of graceS excuses only what was sent before.
        is_planned = at_s <= GRACE_S + 1
        is_excused = at_s <= 3.0 and ended_s - term_s >= GRACE_S * 5 / 6
        if id_ in passed_on and is_planned and not is_excused:
            broken.append(
                f"{id_} {text!r}, sent {at_s:.3f} s after SIGTERM, was passed "
                "on to an instance and its connection ended without an answer"
            )
    record.write(f"{len(log)} requests, {sum(x[4] is None for x in log)} lost")
    return broken


targets.Connection = Connection
kit.run_case(FOLDER, scenario)
