"""Roll out a bundle by one conditional update of ``bundle/current``.

The object's value is the plain form of the bundle with one additional key,
``operations``, which lists the last accepted operations with their version and
digest. A client that lost the response to its update reads the object again
and looks for its operation there. This works even if another operator's
roll-out was accepted in the meantime.
"""

import enum
import random
from typing import Any
from typing import NamedTuple

import anyio

from knapweedtally.core.bundles import checks
from knapweedtally.core.bundles import codec
from knapweedtally.store import client as platform_client
from knapweedtally.utils import backoff

OBJECT_KIND = "bundle"
OBJECT_NAME = "current"
MAX_KEPT_OPERATIONS = 16
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0


class Outcome(enum.Enum):
    """Outcome of a roll-out."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


class Result(NamedTuple):
    """Result of a roll-out.

    Attributes:
        outcome: outcome of the roll-out.
        version: version that the platform holds; 0 if unknown.
        signer: signer of that version; empty if unknown.
        operation: id of the operation, with which the roll-out can be retried.
        message: explanation of the outcome for the operator.
    """

    outcome: Outcome
    version: int
    signer: str
    operation: str
    message: str


class RollOut:
    """Retry one roll-out until its outcome is known or a deadline passes."""

    def __init__(
        self,
        client: platform_client.PlatformClient,
        bundle: dict[str, Any],
        operation: str,
        rng: random.Random,
        *,
        is_retry: bool = False,
    ) -> None:
        """Initialise a roll-out without sending anything.

        Args:
            client: client of the platform.
            bundle: plain form of a signed and valid bundle.
            operation: id of the operation; reuse it to retry the operation.
            rng: source of randomness for retry delays.
            is_retry: whether an earlier run may have sent this operation.
        """
        self._client = client
        self._bundle = codec.pick_bundle_keys(bundle)
        self._operation = operation
        self._delays = backoff.Backoff(
            FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S, rng
        )
        # Whether an update without a response may have taken effect.
        self._may_be_applied = is_retry

    async def run(self, timeout_s: float) -> Result:
        """Run the roll-out and return its result.

        After a failed call, the object is read again to learn whether the
        update took effect.

        Args:
            timeout_s: time in seconds after which the roll-out is abandoned.
        """
        with anyio.move_on_after(timeout_s):
            while True:
                try:
                    return await self._try_roll_out()
                except platform_client.RefusedError as error:
                    return self._make_result(Outcome.REFUSED, {}, str(error))
                except platform_client.PlatformError as error:
                    delay_s = self._delays.compute_next_delay_s()
                    await anyio.sleep(max(delay_s, error.retry_after_s))
        return self._make_timeout_result()

    async def _try_roll_out(self) -> Result:
        current = await self._client.get_object(OBJECT_KIND, OBJECT_NAME)
        result = self._determine_result(current)
        if result:
            return result
        value = {**self._bundle, "operations": self._append_operation(current)}
        update = await self._send_update(current.version, value)
        if update.is_applied:
            return self._make_accepted_result()
        # Another update was made between the read and the conditional update.
        return self._determine_result(
            update.current
        ) or self._make_refused_result(update.current)

    async def _send_update(
        self, expected_version: int, value: dict[str, object]
    ) -> platform_client.UpdateResult:
        was_possibly_applied = self._may_be_applied
        # Set before the call, since the timeout may cancel the call.
        self._may_be_applied = True
        try:
            return await self._client.update_object(
                OBJECT_KIND, OBJECT_NAME, expected_version, value
            )
        except (
            platform_client.UnavailableError,
            platform_client.RefusedError,
        ):
            self._may_be_applied = was_possibly_applied
            raise

    def _determine_result(
        self, current: platform_client.PlatformObject
    ) -> Result | None:
        """Return the result implied by the object, or None to update it."""
        operations = _get_operations(current)
        if self._operation in operations:
            return self._check_own_operation(operations[self._operation])
        later_version_count = _get_version(current) - self._bundle["version"]
        if self._may_be_applied and later_version_count >= MAX_KEPT_OPERATIONS:
            return self._make_result(
                Outcome.UNKNOWN,
                current.value,
                f"{later_version_count} later versions were accepted, and the "
                "platform keeps only the last "
                f"{MAX_KEPT_OPERATIONS} operations",
            )
        expected = _get_version(current) + 1
        is_next = self._bundle["version"] == expected
        if current.version == 0:
            return None
        if not is_next:
            return self._make_refused_result(current)
        problems = checks.find_unsafe_changes(current.value, self._bundle)
        if problems:
            message = "; ".join(map(str, problems))
            return self._make_result(Outcome.REFUSED, current.value, message)
        return None

    def _check_own_operation(self, accepted: dict[str, Any]) -> Result:
        is_same = accepted.get("digest") == codec.compute_digest(self._bundle)
        if is_same:
            return self._make_accepted_result()
        return self._make_result(
            Outcome.REFUSED,
            {},
            f"operation {self._operation} rolled out another bundle; "
            "use another operation id",
        )

    def _make_refused_result(
        self, current: platform_client.PlatformObject
    ) -> Result:
        version = _get_version(current)
        signer = current.value.get("signer", "")
        return self._make_result(
            Outcome.REFUSED,
            current.value,
            f"version {version}, signed by {signer}, is current; this "
            f"bundle has version {self._bundle['version']}: compare them with "
            f"'bundle diff', then sign it again as version {version + 1}",
        )

    def _make_accepted_result(self) -> Result:
        return self._make_result(
            Outcome.ACCEPTED,
            self._bundle,
            f"version {self._bundle['version']} was accepted",
        )

    def _make_timeout_result(self) -> Result:
        if not self._may_be_applied:
            return self._make_result(
                Outcome.NOT_SENT,
                {},
                "the platform is unavailable; nothing was changed",
            )
        return self._make_result(
            Outcome.UNKNOWN,
            {},
            "the response was lost; run the command again with "
            f"--operation {self._operation} to learn the outcome",
        )

    def _make_result(
        self, outcome: Outcome, held_bundle: dict[str, Any], message: str
    ) -> Result:
        return Result(
            outcome,
            int(held_bundle.get("version", 0)),
            str(held_bundle.get("signer", "")),
            self._operation,
            message,
        )

    def _append_operation(
        self, current: platform_client.PlatformObject
    ) -> dict[str, Any]:
        operations = list(_get_operations(current).items())
        entry = {
            "version": self._bundle["version"],
            "digest": codec.compute_digest(self._bundle),
        }
        operations.append((self._operation, entry))
        return dict(operations[-MAX_KEPT_OPERATIONS:])


def _get_operations(current: platform_client.PlatformObject) -> dict[str, Any]:
    operations = current.value.get("operations", {})
    return operations if isinstance(operations, dict) else {}


def _get_version(current: platform_client.PlatformObject) -> int:
    version = current.value.get("version", 0)
    return version if isinstance(version, int) else 0
