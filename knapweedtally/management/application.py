"""The command line: a table of commands, each imported when it is called."""

import importlib
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cleo import application
from cleo.commands import command
from cleo.loaders import factory_command_loader

import knapweedtally


class Entry(NamedTuple):
    """Name the class of a command.

    Attributes:
        module: module within ``management.commands``.
        class_name: class of the command in it.
    """

    module: str
    class_name: str


_PACKAGE = "knapweedtally.management.commands"

# The commands by name. Modules are imported late, so that the process that
# serves callers doesn't load what only other commands need.
COMMANDS: dict[str, Entry] = {
    "bundle diff": Entry("bundle_diff", "BundleDiffCommand"),
    "bundle new-key": Entry("bundle_new_key", "BundleNewKeyCommand"),
    "bundle roll-out": Entry("bundle_roll_out", "BundleRollOutCommand"),
    "bundle sign": Entry("bundle_sign", "BundleSignCommand"),
    "bundle status": Entry("bundle_status", "BundleStatusCommand"),
    "bundle validate": Entry("bundle_validate", "BundleValidateCommand"),
    "check": Entry("check", "CheckCommand"),
    "drain": Entry("drain", "DrainCommand"),
    "explain": Entry("explain", "ExplainCommand"),
    "groups": Entry("groups", "GroupsCommand"),
    "proxy": Entry("proxy", "ProxyCommand"),
    "report burn": Entry("report_burn", "ReportBurnCommand"),
    "switch": Entry("switch", "SwitchCommand"),
    "targets": Entry("targets", "TargetsCommand"),
    "trace": Entry("trace", "TraceCommand"),
    "version": Entry("version", "VersionCommand"),
}


def make_factory(entry: Entry) -> Callable[[], command.Command]:
    """Return a callable that imports and makes a command."""

    def make_command() -> command.Command:
        module: Any = importlib.import_module(f"{_PACKAGE}.{entry.module}")
        return getattr(module, entry.class_name)()

    return make_command


def make_application() -> application.Application:
    """Return the command line with every command."""
    made = application.Application("knapweedtally", knapweedtally.VERSION)
    factories = {name: make_factory(entry) for name, entry in COMMANDS.items()}
    made.set_command_loader(
        factory_command_loader.FactoryCommandLoader(factories)
    )
    return made
