"""The naive proxy's knowledge of the primary: a lease in the platform."""

import json
import time
from typing import Any

import anyio

from bench import naive_pool
from knapweedtally.core import exceptions
from knapweedtally.core import model
from knapweedtally.store import client as platform_client
from knapweedtally.targets import wire

KIND = "naive"
CHECK_INTERVAL_S = 1.0
LEASE_S = 3.0
PROBE_TIMEOUT_S = 1.0
FAILURES_BEFORE_PROMOTION = 3
OPERATION = "naive"


class Lease:
    """Check the group's object every second; its holder also promotes.

    Attributes:
        targets: targets of the group by id.
        primary: the primary that the object names.
    """

    def __init__(
        self,
        group: str,
        host: str,
        targets: dict[str, model.Target],
        platform: platform_client.PlatformClient,
        pool: naive_pool.Pool,
    ) -> None:
        self.targets = targets
        self.primary = next(iter(targets))
        self._group = group
        self._host = host
        self._platform = platform
        self._pool = pool
        self._term = 1
        self._checked_at = 0.0
        self._failures = 0

    def is_valid(self) -> bool:
        """Return whether the last check is recent enough for a write."""
        return time.monotonic() - self._checked_at < LEASE_S

    async def serve(self) -> None:
        """Check the lease until cancelled."""
        while True:
            try:
                await self._check()
            except platform_client.PlatformError:
                pass
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _check(self) -> None:
        began_at = time.monotonic()
        found = await self._platform.get_object(KIND, self._group)
        value: Any = found.value
        if value:
            self.primary, self._term = value["primary"], value["term"]
        is_expired = not value or time.time() > value["until"]
        if is_expired or value["holder"] == self._host:
            await self._probe_primary()
            value = {
                "holder": self._host,
                "until": time.time() + LEASE_S,
                "primary": self.primary,
                "term": self._term,
            }
            await self._platform.update_object(
                KIND, self._group, found.version, value
            )
        self._checked_at = began_at

    async def _probe_primary(self) -> None:
        if await self._ask(self.primary, "SELECT kt_status()"):
            self._failures = 0
            return
        self._failures += 1
        if self._failures >= FAILURES_BEFORE_PROMOTION:
            await self._promote()

    async def _promote(self) -> None:
        """Make the most advanced target that answers the primary."""
        term = self._term + 1
        install = f"SELECT kt_install_term({term}, '{OPERATION}')"
        answers = {}
        for target in self.targets:
            answer = await self._ask(target, install)
            if answer and answer["is_accepted"]:
                answers[target] = (answer["last_term"], answer["received"])
        if not answers:
            return
        chosen = max(answers, key=lambda target: answers[target])
        await self._ask(chosen, f"SELECT kt_promote({term}, '{OPERATION}')")
        place = self.targets[chosen]
        follow = (
            f"SELECT kt_follow({term}, '{chosen}',"
            f" '{place.host}', {place.port})"
        )
        for target in answers:
            if target != chosen:
                await self._ask(target, follow)
        self.primary, self._term = chosen, term
        self._failures = 0

    async def _ask(self, target: str, statement: str) -> dict[str, Any] | None:
        """Return the answer of a control command, or None if there is none."""
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                connection = await self._pool.take(target)
                try:
                    (section,) = await connection.exchange(
                        wire.encode_query(statement), 1
                    )
                finally:
                    self._pool.give_back(connection)
        except (TimeoutError, exceptions.AttemptLostError):
            return None
        if section.sqlstate:
            return None
        value: dict[str, Any] = json.loads(wire.read_rows(section)[0][0] or "")
        return value
