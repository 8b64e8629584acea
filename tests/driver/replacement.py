"""An operator who replaces a target of a group in two bundles."""

import functools

from tests.driver import schedule as schedule_module
from tests.driver import world as world_module

World = world_module.World

POLL_INTERVAL_S = 0.1
# Largest delay until a target or the platform learns of a change.
MAX_CHANGE_DELAY_S = 0.3
# The operator begins no further change after this time.
LAST_CHANGE_AT_S = 10.0


class Replacement:
    """Operator who adds a target, waits until the group is whole, and removes.

    The targets learn of their group's members independently of the hosts, which
    learn of them from the bundle.
    """

    def __init__(self, world: World, group: str, removed: str) -> None:
        """Create the operator.

        Args:
            world: the run.
            group: name of the group.
            removed: id of the target to remove, unless it is the primary then.
        """
        self._world = world
        self._group = group
        self._removed = removed
        self._primary_position = (0, 0)

    def start(self) -> None:
        """Add a target, and remove one once the group is whole."""
        self._world.add_target(self._group)
        self._change_members()
        self._call_later(self._remove_when_whole)

    def _call_later(self, action: schedule_module.Action) -> None:
        self._world.schedule.call_later(POLL_INTERVAL_S, action)

    def _remove_when_whole(self) -> None:
        if self._world.schedule.now > LAST_CHANGE_AT_S:
            return
        if not (self._world.is_bundle_stored() and self._is_group_whole()):
            self._call_later(self._remove_when_whole)
            return
        primary = self._world.get_primary_id(self._group)
        names = [
            target.id
            for target in self._world.list_targets(self._group)
            if target.id != primary
        ]
        removed = self._removed if self._removed in names else names[0]
        self._world.removed_targets.add(removed)
        self._world.schedule.add_trace_line(f"fault removes {removed}")
        self._change_members()

    def _is_group_whole(self) -> bool:
        """Return whether all targets have what the primary had a poll ago."""
        primary = self._world.find_primary(self._group)
        if primary is None:
            return False
        expected = self._primary_position
        instance = primary.instance
        self._primary_position = (instance.term, instance.received)
        stored = self._world.platform.get_object("group", self._group).value
        if (stored["phase"], stored["primary"]) != ("open", primary.id):
            return False
        return expected[0] == stored["term"] and all(
            target.process.is_running
            and not target.process.is_paused
            and target.instance.matched_term == expected[0]
            and target.instance.received >= expected[1]
            for target in self._world.list_targets(self._group)
        )

    def _change_members(self) -> None:
        """Let the targets and the platform learn of the group's targets."""
        targets = self._world.list_targets(self._group)
        members = frozenset(target.id for target in targets)
        for target in targets:
            self._call_after_delay(
                functools.partial(target.set_members, members)
            )
        self._call_after_delay(self._roll_out)

    def _call_after_delay(self, action: schedule_module.Action) -> None:
        schedule = self._world.schedule
        delay_s = MAX_CHANGE_DELAY_S * schedule.random.random()
        schedule.call_later(delay_s, action)

    def _roll_out(self) -> None:
        """Roll out the bundle again until the platform has stored it."""
        if not self._world.is_bundle_stored():
            self._world.roll_out("")
            self._world.schedule.call_later(MAX_CHANGE_DELAY_S, self._roll_out)
