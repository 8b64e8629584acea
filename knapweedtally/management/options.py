"""Command line options for the settings of a host."""

import os
from typing import Any

from cleo.io.inputs import option

from knapweedtally.conf import checks
from knapweedtally.conf import setting_definitions
from knapweedtally.conf import settings
from knapweedtally.management import base
from knapweedtally.management import exit_codes

_SETTINGS = {setting.name: setting for setting in setting_definitions.SETTINGS}


def make_settings_options() -> list[option.Option]:
    """Return the options of all settings."""
    return [_make_option(setting) for setting in setting_definitions.SETTINGS]


def load_settings(command: Any) -> settings.Settings:
    """Return the settings from a command's options and the environment.

    Raises:
        base.CommandError: settings are missing or invalid; the message lists
            all of them.
    """
    options = {
        setting.name: command.option(setting.name)
        for setting in setting_definitions.SETTINGS
    }
    try:
        return settings.load_settings(options, os.environ)
    except settings.SettingsError as error:
        raise base.CommandError(str(error), exit_codes.INVALID) from error


def _make_option(setting: setting_definitions.Setting) -> option.Option:
    default = setting.default or f"the value of --{setting.default_from}"
    has_default = setting.default is not None or setting.default_from
    text = f"{setting.help}; {setting.allowed}"
    if has_default and setting.default != "":
        text += f"; default {default}"
    return option.Option(
        setting.name, flag=False, requires_value=True, description=text
    )


def make_option(name: str) -> option.Option:
    """Return the option of a setting, given the name of the setting."""
    return _make_option(_SETTINGS[name])


def load_setting(command: Any, name: str) -> Any:
    """Return the value of one setting from its option or the environment.

    Raises:
        base.CommandError: the setting has no value or an invalid one.
    """
    setting = _SETTINGS[name]
    text = command.option(name) or os.environ.get(setting.variable)
    if text is None:
        problem = checks.make_missing_problem(setting)
        raise base.CommandError(str(problem), exit_codes.INVALID)
    try:
        return setting.parse(text)
    except ValueError as error:
        problem = checks.make_value_problem(checks.NOT_ALLOWED, setting, text)
        raise base.CommandError(str(problem), exit_codes.INVALID) from error
