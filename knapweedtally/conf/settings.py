"""Load the settings.

A command option takes precedence over the environment variable, and both take
precedence over the default.
"""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.conf import checks
from knapweedtally.conf import parsers
from knapweedtally.conf import secrets
from knapweedtally.conf import setting_definitions


class Settings(NamedTuple):
    """The checked settings.

    ``setting_definitions.SETTINGS`` describes each of them.
    """

    host_name: str
    data_centre: str
    listen_address: str
    listen_port: int
    peer_address: str
    peer_port: int
    admin_address: str
    admin_port: int
    admin_token: secrets.Secret[str]
    peer_token: secrets.Secret[str]
    platform_address: parsers.Address
    token_keys: secrets.Secret[tuple[parsers.TokenKey, ...]]
    bundle_keys: dict[str, bytes]
    seed_peers: tuple[parsers.Address, ...]
    log_level: str
    log_format: str
    drain_timeout_s: float
    tls_certificate: str
    tls_key: str
    peer_tls_certificate: str
    peer_tls_key: str
    peer_tls_authority: str


class SettingsError(Exception):
    """One or more settings are invalid.

    Attributes:
        problems: all problems that the checks found.
    """

    def __init__(self, problems: list[checks.Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


def load_settings(
    options: Mapping[str, str | None], environment: Mapping[str, str]
) -> Settings:
    """Return the checked settings.

    Args:
        options: text of each command option by name; None or absent if it
            isn't given.
        environment: environment variables.

    Raises:
        SettingsError: a check found problems; the error lists all of them.
    """
    problems = list(checks.check_variables(environment))
    problems += checks.check_options(options)
    values: dict[str, Any] = {}
    for setting in setting_definitions.SETTINGS:
        problems += _load_setting(setting, options, environment, values)
    for check in checks.CROSS_CHECKS:
        problems += check(values)
    if problems:
        raise SettingsError(problems)
    return Settings(**values)


def describe_settings(settings: Settings) -> dict[str, str]:
    """Return the value of each setting as text, by name; hide secrets."""
    values = settings._asdict()
    return {
        setting.name: _describe_value(values[setting.field])
        for setting in setting_definitions.SETTINGS
    }


def _load_setting(
    setting: setting_definitions.Setting,
    options: Mapping[str, str | None],
    environment: Mapping[str, str],
    values: dict[str, Any],
) -> list[checks.Problem]:
    """Add the value of a setting to ``values``, or return its problems."""
    text = options.get(setting.name)
    if text is None:
        text = environment.get(setting.variable)
    if text is None and setting.default_from:
        source = setting.default_from.replace("-", "_")
        if source in values:
            values[setting.field] = values[source]
        return []
    if text is None:
        text = setting.default
    if text is None:
        return [checks.make_missing_problem(setting)]
    try:
        values[setting.field] = setting.parse(text)
    except ValueError:
        return [checks.make_value_problem(checks.NOT_ALLOWED, setting, text)]
    return []


def _describe_value(value: Any) -> str:
    if isinstance(value, dict):
        pairs = [f"{name}:{key.hex()}" for name, key in value.items()]
        return ",".join(pairs)
    if isinstance(value, tuple) and not isinstance(value, parsers.Address):
        return ",".join(map(str, value))
    return str(value)
