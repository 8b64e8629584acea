"""Versioned objects of the platform with conditional updates and watches."""

import collections
from typing import Any
from typing import NamedTuple

import anyio


class Object(NamedTuple):
    """One stored object.

    Attributes:
        kind: kind of the object.
        name: name within the kind.
        version: number of updates of this object, starting from 1.
        revision: revision of the store after the last update of this object.
        value: JSON value of the object.
    """

    kind: str
    name: str
    version: int
    revision: int
    value: Any

    def to_dict(self) -> dict[str, Any]:
        """Return the object as it is sent to callers."""
        return {
            "kind": self.kind,
            "name": self.name,
            "version": self.version,
            "value": self.value,
        }


class Store:
    """In-memory objects, with notification of watches on each change."""

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[str, dict[str, Object]] = collections.defaultdict(
            dict
        )
        self._changed = anyio.Event()

    def get(self, kind: str, name: str) -> Object | None:
        """Return an object, or None."""
        return self._objects[kind].get(name)

    def update(
        self, kind: str, name: str, expected_version: int, value: Any
    ) -> Object | None:
        """Update an object if it has the expected version.

        Returns:
            The new object, or None when the current version differs.
        """
        current = self.get(kind, name)
        version = current.version if current else 0
        if version != expected_version:
            return None
        self.revision += 1
        updated = Object(kind, name, version + 1, self.revision, value)
        self._objects[kind][name] = updated
        self.notify_watches()
        return updated

    def list_changed_since(self, kind: str, revision: int) -> list[Object]:
        """Return the objects of a kind that changed after a revision."""
        return [
            item
            for item in self._objects[kind].values()
            if item.revision > revision
        ]

    async def wait_for_change(self) -> None:
        """Wait until an object changes or ``notify_watches`` is called."""
        await self._changed.wait()

    def notify_watches(self) -> None:
        """Wake all waiting watches, so that they check again."""
        self._changed.set()
        self._changed = anyio.Event()
