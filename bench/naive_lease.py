"""Lease on the platform by which naive proxies agree on the primary."""

import json
import time
from typing import Any

import anyio

from bench import naive_pool
from knapweedtally.core import exceptions
from knapweedtally.core import model
from knapweedtally.store import client as platform_client
from knapweedtally.targets import wire

OBJECT_KIND = "naive"
CHECK_INTERVAL_S = 1.0
LEASE_DURATION_S = 3.0
PROBE_TIMEOUT_S = 1.0
PROMOTION_FAILURE_THRESHOLD = 3
OPERATION = "naive"


class Lease:
    """Lease object of one group, read every second.

    The host that holds the lease probes the primary and promotes another target
    when probes fail.

    Attributes:
        targets: targets of the group, by id.
        primary: id of the primary that the lease object names.
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
        """Return whether the last check is recent enough to accept a write."""
        return time.monotonic() - self._checked_at < LEASE_DURATION_S

    async def serve(self) -> None:
        """Check the lease at regular intervals until cancelled."""
        while True:
            try:
                await self._check_lease()
            except platform_client.PlatformError:
                pass
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _check_lease(self) -> None:
        started_at = time.monotonic()
        lease_object = await self._platform.get_object(OBJECT_KIND, self._group)
        value: Any = lease_object.value
        if value:
            self.primary, self._term = value["primary"], value["term"]
        is_expired = not value or time.time() > value["until"]
        if is_expired or value["holder"] == self._host:
            await self._probe_primary()
            value = {
                "holder": self._host,
                "until": time.time() + LEASE_DURATION_S,
                "primary": self.primary,
                "term": self._term,
            }
            await self._platform.update_object(
                OBJECT_KIND, self._group, lease_object.version, value
            )
        self._checked_at = started_at

    async def _probe_primary(self) -> None:
        if await self._run_control_command(self.primary, "SELECT kt_status()"):
            self._failures = 0
            return
        self._failures += 1
        if self._failures >= PROMOTION_FAILURE_THRESHOLD:
            await self._promote()

    async def _promote(self) -> None:
        """Promote the responding target with the most recent log entry."""
        term = self._term + 1
        install = f"SELECT kt_install_term({term}, '{OPERATION}')"
        answers = {}
        for target in self.targets:
            answer = await self._run_control_command(target, install)
            if answer and answer["is_accepted"]:
                answers[target] = (answer["last_term"], answer["received"])
        if not answers:
            return
        candidate = max(answers, key=lambda target: answers[target])
        await self._run_control_command(
            candidate, f"SELECT kt_promote({term}, '{OPERATION}')"
        )
        new_primary = self.targets[candidate]
        follow = (
            f"SELECT kt_follow({term}, '{candidate}',"
            f" '{new_primary.host}', {new_primary.port})"
        )
        for target in answers:
            if target != candidate:
                await self._run_control_command(target, follow)
        self.primary, self._term = candidate, term
        self._failures = 0

    async def _run_control_command(
        self, target: str, statement: str
    ) -> dict[str, Any] | None:
        """Run a control command on a target.

        Returns:
            The answer, or None if the command failed or timed out.
        """
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                connection = await self._pool.acquire_connection(target)
                try:
                    (section,) = await connection.exchange(
                        wire.encode_query(statement), 1
                    )
                finally:
                    self._pool.release_connection(connection)
        except (TimeoutError, exceptions.AttemptLostError):
            return None
        if section.sqlstate:
            return None
        value: dict[str, Any] = json.loads(wire.read_rows(section)[0][0] or "")
        return value
