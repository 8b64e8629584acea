"""Values that no log, error or table may show."""

from typing import Generic
from typing import TypeVar

_Value = TypeVar("_Value")

HIDDEN = "(secret)"


class Secret(Generic[_Value]):
    """Hold a value that shows only when asked for by ``reveal``."""

    __slots__ = ("_value",)

    def __init__(self, value: _Value) -> None:
        self._value = value

    def reveal(self) -> _Value:
        """Return the value."""
        return self._value

    def __repr__(self) -> str:
        return HIDDEN
