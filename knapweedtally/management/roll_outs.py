"""Roll out a bundle by one conditional update of ``bundle/current``.

The platform's value is the bundle's plain form with one more key,
``operations``: the last accepted operations with their version and digest.
An operator whose answer was lost reads back whether its operation stands
there, even when another operator's roll-out came after it.
"""

import enum
import random
from typing import Any
from typing import NamedTuple

import anyio

from knapweedtally.core.bundles import codec
from knapweedtally.store import client as platform_client
from knapweedtally.utils import backoff

KIND = "bundle"
NAME = "current"
HISTORY_SIZE = 16
FIRST_DELAY_S = 0.1
MAX_DELAY_S = 2.0


class Outcome(enum.Enum):
    """Tell what became of a roll-out."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


class Result(NamedTuple):
    """Carry the outcome of a roll-out.

    Attributes:
        outcome: what became of it.
        version: version that the platform holds, as far as known.
        signer: who signed that version.
        operation: id of the operation, to ask again.
        message: one sentence for the operator.
    """

    outcome: Outcome
    version: int
    signer: str
    operation: str
    message: str


class RollOut:
    """Run one roll-out until its outcome is known or the time is over."""

    def __init__(
        self,
        client: platform_client.PlatformClient,
        bundle: dict[str, Any],
        operation: str,
        rng: random.Random,
        *,
        is_repeat: bool = False,
    ) -> None:
        """Prepare a roll-out.

        Args:
            client: client of the platform.
            bundle: signed plain form that passed all checks.
            operation: id; the same one may be used to ask again.
            rng: source of randomness for delays.
            is_repeat: whether an earlier run may have sent this operation.
        """
        self._client = client
        self._bundle = codec.pick_bundle_keys(bundle)
        self._operation = operation
        self._delays = backoff.Backoff(FIRST_DELAY_S, MAX_DELAY_S, rng)
        # Whether an update may have taken effect without an answer.
        self._may_have_run = is_repeat

    async def run(self, timeout_s: float) -> Result:
        """Return the outcome; calls without an answer are read back."""
        with anyio.move_on_after(timeout_s):
            while True:
                try:
                    return await self._attempt()
                except platform_client.RefusedError as error:
                    return self._make_result(Outcome.REFUSED, {}, str(error))
                except platform_client.PlatformError as error:
                    delay_s = self._delays.next_delay_s()
                    await anyio.sleep(max(delay_s, error.retry_after_s))
        return self._give_up()

    async def _attempt(self) -> Result:
        current = await self._client.get_object(KIND, NAME)
        result = self._judge(current)
        if result:
            return result
        value = {**self._bundle, "operations": self._extend_history(current)}
        update = await self._update(current.version, value)
        if update.is_winner:
            return self._accept()
        # The object was read just before, so another update came between.
        return self._judge(update.current) or self._refuse(update.current)

    async def _update(
        self, expected_version: int, value: dict[str, object]
    ) -> platform_client.UpdateResult:
        might_have_run = self._may_have_run
        # Set before the call, which may also end by the end of the time.
        self._may_have_run = True
        try:
            return await self._client.update_object(
                KIND, NAME, expected_version, value
            )
        except (
            platform_client.UnavailableError,
            platform_client.RefusedError,
        ):
            self._may_have_run = might_have_run
            raise

    def _judge(self, current: platform_client.PlatformObject) -> Result | None:
        """Return the outcome that the object shows, or None to update it."""
        operations = _get_operations(current)
        if self._operation in operations:
            return self._judge_own(operations[self._operation])
        since = _get_version(current) - self._bundle["version"]
        if self._may_have_run and since >= HISTORY_SIZE:
            return self._make_result(
                Outcome.UNKNOWN,
                current.value,
                f"{since} versions came after this one, and the platform "
                f"keeps the last {HISTORY_SIZE} operations",
            )
        expected = _get_version(current) + 1
        is_next = self._bundle["version"] == expected
        if current.version == 0 or is_next:
            return None
        return self._refuse(current)

    def _judge_own(self, accepted: dict[str, Any]) -> Result:
        is_same = accepted.get("digest") == codec.compute_digest(self._bundle)
        if is_same:
            return self._accept()
        return self._make_result(
            Outcome.REFUSED,
            {},
            f"operation {self._operation} rolled out another bundle; "
            "use another operation id",
        )

    def _refuse(self, current: platform_client.PlatformObject) -> Result:
        version = _get_version(current)
        signer = current.value.get("signer", "")
        return self._make_result(
            Outcome.REFUSED,
            current.value,
            f"version {version}, signed by {signer}, holds; this bundle has "
            f"version {self._bundle['version']}: look at 'bundle diff', "
            f"then sign it again as version {version + 1}",
        )

    def _accept(self) -> Result:
        return self._make_result(
            Outcome.ACCEPTED,
            self._bundle,
            f"version {self._bundle['version']} was accepted",
        )

    def _give_up(self) -> Result:
        if not self._may_have_run:
            return self._make_result(
                Outcome.NOT_SENT,
                {},
                "the platform gave no answer; nothing was changed",
            )
        return self._make_result(
            Outcome.UNKNOWN,
            {},
            "the answer was lost; run the command again with "
            f"--operation {self._operation} to learn the outcome",
        )

    def _make_result(
        self, outcome: Outcome, holding: dict[str, Any], message: str
    ) -> Result:
        return Result(
            outcome,
            int(holding.get("version", 0)),
            str(holding.get("signer", "")),
            self._operation,
            message,
        )

    def _extend_history(
        self, current: platform_client.PlatformObject
    ) -> dict[str, Any]:
        operations = list(_get_operations(current).items())
        entry = {
            "version": self._bundle["version"],
            "digest": codec.compute_digest(self._bundle),
        }
        operations.append((self._operation, entry))
        return dict(operations[-HISTORY_SIZE:])


def _get_operations(current: platform_client.PlatformObject) -> dict[str, Any]:
    operations = current.value.get("operations", {})
    return operations if isinstance(operations, dict) else {}


def _get_version(current: platform_client.PlatformObject) -> int:
    version = current.value.get("version", 0)
    return version if isinstance(version, int) else 0
