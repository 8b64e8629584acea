"""What the parts that change primaries need of a group."""

from collections.abc import Mapping
from typing import Protocol

from knapweedtally.core.groups import model
from knapweedtally.entry.members import observer
from knapweedtally.entry.pools import pools


class Group(Protocol):
    """The members of a group and what is known of them."""

    @property
    def settings(self) -> model.GroupSettings:
        """Return the group's settings."""

    @property
    def pools(self) -> Mapping[str, pools.Pool]:
        """Return the pools of the members by id."""

    @property
    def observer(self) -> observer.Observer:
        """Return what is known of the members and the primary."""

    @property
    def members(self) -> tuple[str, ...]:
        """Return the ids of all members, the departed ones included."""

    @property
    def departed(self) -> tuple[str, ...]:
        """Return the ids of departed members whose log may be needed."""

    @property
    def successors(self) -> frozenset[str]:
        """Return the ids of members that may lack a replaced one's log."""

    def dispatch(self) -> None:
        """Start what the group's evidence now allows."""
