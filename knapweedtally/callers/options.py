"""Settings of a caller's session."""

import dataclasses
import re
from collections.abc import Callable

from knapweedtally.core import exceptions

PREFIX = "knapweedtally."
MAX_KEY_LENGTH = 200

# Settings of other products that clients send; they change nothing here.
_IGNORED = frozenset(
    {
        "application_name",
        "bytea_output",
        "client_encoding",
        "client_min_messages",
        "datestyle",
        "extra_float_digits",
        "intervalstyle",
        "jit",
        "standard_conforming_strings",
        "timezone",
        "time zone",
    }
)
_OPTION = re.compile(r"(?:-c\s*|--)([\w.]+)=((?:\\.|[^\s\\])*)")


class OptionError(exceptions.KnapweedtallyError):
    """Report a session setting that isn't known or has a wrong value."""


@dataclasses.dataclass(slots=True)
class Options:
    """Hold the settings of one session.

    Attributes:
        token: session token as the caller gave it, or empty.
        idempotency_key: key of the next write, or empty.
        max_age_ms: accepted age of data, or None for the bundle's.
    """

    token: str = ""
    idempotency_key: str = ""
    max_age_ms: int | None = None

    def set_option(self, name: str, value: str) -> None:
        """Change a setting.

        Raises:
            OptionError: the name isn't known or the value isn't allowed.
        """
        if name in _IGNORED:
            return
        setter = _SETTERS.get(name)
        if setter is None:
            raise OptionError(
                f"setting {name!r} is not available through this proxy;"
                f" allowed are {', '.join(sorted(_SETTERS))}"
            )
        setter(self, value)

    def get_option(self, name: str) -> str:
        """Return a setting as text.

        Raises:
            OptionError: the name isn't known.
        """
        values = {
            PREFIX + "token": self.token,
            PREFIX + "idempotency_key": self.idempotency_key,
            PREFIX + "max_age_ms": str(self.max_age_ms),
        }
        if name not in values:
            raise OptionError(f"setting {name!r} is not known to this proxy")
        return values[name]


def _set_token(options: Options, value: str) -> None:
    options.token = value


def _set_key(options: Options, value: str) -> None:
    if len(value) > MAX_KEY_LENGTH:
        raise OptionError(
            f"idempotency key has {len(value)} characters;"
            f" at most {MAX_KEY_LENGTH} are allowed"
        )
    options.idempotency_key = value


def _set_max_age(options: Options, value: str) -> None:
    if not value.isdecimal():
        raise OptionError(
            f"{PREFIX}max_age_ms is {value!r}; a whole number of"
            " milliseconds is allowed, 0 for current data"
        )
    options.max_age_ms = int(value)


_SETTERS: dict[str, Callable[[Options, str], None]] = {
    PREFIX + "token": _set_token,
    PREFIX + "idempotency_key": _set_key,
    PREFIX + "max_age_ms": _set_max_age,
}


def parse_startup(parameters: dict[str, str]) -> Options:
    """Return the settings in a startup message.

    Both forms are read: parameters named ``knapweedtally.*`` and
    ``options=-c name=value``.

    Raises:
        OptionError: a setting isn't known or has a wrong value.
    """
    options = Options()
    for name, value in parameters.items():
        if name.startswith(PREFIX):
            options.set_option(name, value)
    for name, value in _OPTION.findall(parameters.get("options", "")):
        options.set_option(name.lower(), re.sub(r"\\(.)", r"\1", value))
    return options
