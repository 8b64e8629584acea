"""The objects of the platform: versions, conditional updates and watches."""

import collections
from typing import Any
from typing import NamedTuple

import anyio


class Object(NamedTuple):
    """Hold one object.

    Attributes:
        kind: kind of the object.
        name: name within the kind.
        version: counts the updates of this object from 1.
        revision: the store's count of updates when this one was made.
        value: JSON value.
    """

    kind: str
    name: str
    version: int
    revision: int
    value: Any

    def to_dict(self) -> dict[str, Any]:
        """Return the form that callers get."""
        return {
            "kind": self.kind,
            "name": self.name,
            "version": self.version,
            "value": self.value,
        }


class Store:
    """Keep objects and wake the watches of a kind when one changes."""

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
            The new object, or None when the version is another one.
        """
        current = self.get(kind, name)
        version = current.version if current else 0
        if version != expected_version:
            return None
        self.revision += 1
        updated = Object(kind, name, version + 1, self.revision, value)
        self._objects[kind][name] = updated
        self.wake()
        return updated

    def list_since(self, kind: str, revision: int) -> list[Object]:
        """Return the objects of a kind that changed after a revision."""
        return [
            item
            for item in self._objects[kind].values()
            if item.revision > revision
        ]

    async def wait(self) -> None:
        """Wait until something changes or ``wake`` is called."""
        await self._changed.wait()

    def wake(self) -> None:
        """Let every waiting watch look again."""
        self._changed.set()
        self._changed = anyio.Event()
