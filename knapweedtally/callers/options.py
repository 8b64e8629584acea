"""Settings of a caller's session, sent at startup or with SET."""

import dataclasses
import re
from collections.abc import Callable

from knapweedtally.core import exceptions

PREFIX = "knapweedtally."
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200

# PostgreSQL settings that clients send; they are accepted and have no effect.
_IGNORED_OPTIONS = frozenset(
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
_OPTION_PATTERN = re.compile(r"(?:-c\s*|--)([\w.]+)=((?:\\.|[^\s\\])*)")


class OptionError(exceptions.KnapweedtallyError):
    """A session setting is unknown or its value is not allowed."""


@dataclasses.dataclass(slots=True)
class Options:
    """The settings of one session.

    Attributes:
        token: session token that the caller or the proxy set last, or empty.
        idempotency_key: idempotency key of the next write, or empty.
        max_age_ms: maximum age of data that reads may return, or None for
            the limit in the bundle.
    """

    token: str = ""
    idempotency_key: str = ""
    max_age_ms: int | None = None

    def set_option(self, name: str, value: str) -> None:
        """Set a setting; ignored PostgreSQL settings keep no value.

        Raises:
            OptionError: the name is unknown or the value is not allowed.
        """
        if name in _IGNORED_OPTIONS:
            return
        setter = _OPTION_SETTERS.get(name)
        if setter is None:
            raise OptionError(
                f"setting {name!r} is not available through this proxy;"
                f" allowed are {', '.join(sorted(_OPTION_SETTERS))}"
            )
        setter(self, value)

    def get_option(self, name: str) -> str:
        """Return the value of a setting as text.

        Raises:
            OptionError: the name is unknown.
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


def _set_idempotency_key(options: Options, value: str) -> None:
    if len(value) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise OptionError(
            f"idempotency key has {len(value)} characters;"
            f" at most {MAX_IDEMPOTENCY_KEY_CHARACTERS} are allowed"
        )
    options.idempotency_key = value


def _set_max_age(options: Options, value: str) -> None:
    if not value.isdecimal():
        raise OptionError(
            f"{PREFIX}max_age_ms is {value!r}; a whole number of"
            " milliseconds is allowed, 0 for current data"
        )
    options.max_age_ms = int(value)


_OPTION_SETTERS: dict[str, Callable[[Options, str], None]] = {
    PREFIX + "token": _set_token,
    PREFIX + "idempotency_key": _set_idempotency_key,
    PREFIX + "max_age_ms": _set_max_age,
}


def parse_startup(parameters: dict[str, str]) -> Options:
    """Return the settings in a startup message.

    Settings are read from parameters named ``knapweedtally.*`` and from
    ``options=-c name=value``.

    Raises:
        OptionError: a setting is unknown or its value is not allowed.
    """
    options = Options()
    for name, value in parameters.items():
        if name.startswith(PREFIX):
            options.set_option(name, value)
    for name, value in _OPTION_PATTERN.findall(parameters.get("options", "")):
        options.set_option(name.lower(), re.sub(r"\\(.)", r"\1", value))
    return options
