"""Options of the commands that need the settings of a host."""

import os
from typing import Any

from cleo.io.inputs import option

from knapweedtally.conf import settings
from knapweedtally.conf import table
from knapweedtally.management import base
from knapweedtally.management import exit_codes


def make_settings_options() -> list[option.Option]:
    """Return one option for each setting."""
    return [_make_option(setting) for setting in table.SETTINGS]


def load_settings(command: Any) -> settings.Settings:
    """Return the settings from a command's options and the environment.

    Raises:
        base.CommandError: there are mistakes; names all of them.
    """
    options = {
        setting.name: command.option(setting.name) for setting in table.SETTINGS
    }
    try:
        return settings.load_settings(options, os.environ)
    except settings.SettingsError as error:
        raise base.CommandError(str(error), exit_codes.INVALID) from error


def _make_option(setting: table.Setting) -> option.Option:
    default = setting.default or f"that of --{setting.default_from}"
    has_default = setting.default is not None or setting.default_from
    text = f"{setting.help}; {setting.allowed}"
    if has_default and setting.default != "":
        text += f"; default {default}"
    return option.Option(
        setting.name, flag=False, requires_value=True, description=text
    )
