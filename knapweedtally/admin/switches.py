"""Ask for a planned change of a group's primary."""

from typing import Any
from typing import NamedTuple

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import rules as draining_rules
from knapweedtally.store import client as platform_client

KIND = "group"
MAX_ATTEMPTS = 3


class SwitchError(Exception):
    """Report a change that is not asked for.

    Attributes:
        status: HTTP status that tells why.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class Switch(NamedTuple):
    """Tell what stands in the group's object.

    Attributes:
        group: name of the group.
        target: id of the preferred target.
        version: version of the object.
    """

    group: str
    target: str
    version: int


def check_switch(
    state: state_module.ProxyState, name: str, target: str
) -> None:
    """Check a change against the bundle in force.

    Raises:
        SwitchError: it can't be done; names the remedy.
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
) -> Switch:
    """Set ``preferred`` on a group's object by conditional update.

    A repeat is safe: it finds the wish in place, or the target as primary.

    Raises:
        SwitchError: it is not known to be in place; names the remedy.
    """
    may_have_run = False
    reason = "the group's object kept changing"
    for _ in range(MAX_ATTEMPTS):
        try:
            done = await _attempt(client, name, target)
        except platform_client.AnswerLostError as error:
            may_have_run = True
            reason = str(error)
            continue
        except platform_client.PlatformError as error:
            raise _make_failure(may_have_run, str(error)) from error
        if done:
            return done
    raise _make_failure(may_have_run, reason)


async def _attempt(
    client: platform_client.PlatformClient, name: str, target: str
) -> Switch | None:
    current = await client.get_object(KIND, name)
    value: dict[str, Any] = current.value
    if value.get("phase") != model.Phase.OPEN.value:
        raise SwitchError(
            409, f"group {name!r} has no primary now; ask again later"
        )
    if target in (value.get("primary"), value.get("preferred")):
        return Switch(name, target, current.version)
    update = await client.update_object(
        KIND, name, current.version, {**value, "preferred": target}
    )
    if not update.is_winner:
        return None
    return Switch(name, target, update.current.version)


def _make_failure(may_have_run: bool, reason: str) -> SwitchError:
    if may_have_run:
        return SwitchError(
            504, f"{reason}; the change may be under way: a repeat is safe"
        )
    return SwitchError(503, f"{reason}; nothing was changed: ask again")
