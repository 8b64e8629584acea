"""Planned primary changes, requested through a group's object."""

from typing import Any
from typing import NamedTuple

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import rules as draining_rules
from knapweedtally.store import client as platform_client

GROUP_KIND = "group"
MAX_ATTEMPTS = 3


class SwitchError(Exception):
    """Raised when a planned change could not be requested.

    Attributes:
        status: HTTP status of the response that reports the error.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class SwitchResult(NamedTuple):
    """A planned change as recorded in the group's object.

    Attributes:
        group: name of the group.
        target: id of the requested primary.
        version: version of the group's object.
    """

    group: str
    target: str
    version: int


def check_switch(
    state: state_module.ProxyState, name: str, target: str
) -> None:
    """Check a planned change against the bundle in force.

    Raises:
        SwitchError: the change isn't possible; the message names the remedy.
    """
    group = state.directory.get_group(name)
    if group is None:
        raise SwitchError(404, f"no group {name!r} in the bundle in force")
    ids = [member.id for member in group.targets]
    if target not in ids:
        raise SwitchError(
            400, f"target {target!r}: use one of {', '.join(ids)}"
        )
    if draining_rules.is_leaving(state, target, group):
        raise SwitchError(409, f"target {target!r} is leaving; use another")


async def request_switch(
    client: platform_client.PlatformClient, name: str, target: str
) -> SwitchResult:
    """Set ``preferred`` on a group's object by conditional update.

    The request is idempotent: a retry finds the target already preferred or
    already the primary.

    Raises:
        SwitchError: ``preferred`` was not set, or the outcome is unknown; the
            message names the remedy.
    """
    may_be_applied = False
    reason = "the group's object kept changing"
    for _ in range(MAX_ATTEMPTS):
        try:
            result = await _try_update(client, name, target)
        except platform_client.ResponseLostError as error:
            may_be_applied = True
            reason = str(error)
            continue
        except platform_client.PlatformError as error:
            raise _make_platform_error(may_be_applied, str(error)) from error
        if result:
            return result
    raise _make_platform_error(may_be_applied, reason)


async def _try_update(
    client: platform_client.PlatformClient, name: str, target: str
) -> SwitchResult | None:
    current = await client.get_object(GROUP_KIND, name)
    value: dict[str, Any] = current.value
    if value.get("phase") != model.Phase.OPEN.value:
        raise SwitchError(
            409, f"group {name!r} has no primary now; ask again later"
        )
    if target in (value.get("primary"), value.get("preferred")):
        return SwitchResult(name, target, current.version)
    update = await client.update_object(
        GROUP_KIND, name, current.version, {**value, "preferred": target}
    )
    if not update.is_applied:
        return None
    return SwitchResult(name, target, update.current.version)


def _make_platform_error(may_be_applied: bool, reason: str) -> SwitchError:
    if may_be_applied:
        return SwitchError(
            504, f"{reason}; the change may be under way: a repeat is safe"
        )
    return SwitchError(503, f"{reason}; nothing was changed: ask again")
