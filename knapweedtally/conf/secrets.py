"""Values that must not appear in logs, errors or listings of settings."""

from typing import Generic
from typing import TypeVar

_Value = TypeVar("_Value")

HIDDEN = "(secret)"


class Secret(Generic[_Value]):
    """A value that only ``reveal`` returns; its ``repr`` hides it."""

    __slots__ = ("_value",)

    def __init__(self, value: _Value) -> None:
        self._value = value

    def reveal(self) -> _Value:
        """Return the value."""
        return self._value

    def __repr__(self) -> str:
        return HIDDEN
