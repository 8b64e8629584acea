"""The command line application, which imports each command on first use."""

import importlib
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cleo import application
from cleo.commands import command
from cleo.loaders import factory_command_loader

import knapweedtally


class CommandEntry(NamedTuple):
    """Location of the class of a command.

    Attributes:
        module: name of the module within ``management.commands``.
        class_name: name of the command's class in the module.
    """

    module: str
    class_name: str


_PACKAGE = "knapweedtally.management.commands"

# The commands by name. Their modules are imported lazily, so that the process
# that serves callers doesn't load the dependencies of other commands.
COMMANDS: dict[str, CommandEntry] = {
    "bundle diff": CommandEntry("bundle_diff", "BundleDiffCommand"),
    "bundle new-key": CommandEntry("bundle_new_key", "BundleNewKeyCommand"),
    "bundle roll-out": CommandEntry("bundle_roll_out", "BundleRollOutCommand"),
    "bundle sign": CommandEntry("bundle_sign", "BundleSignCommand"),
    "bundle status": CommandEntry("bundle_status", "BundleStatusCommand"),
    "bundle validate": CommandEntry("bundle_validate", "BundleValidateCommand"),
    "check": CommandEntry("check", "CheckCommand"),
    "drain": CommandEntry("drain", "DrainCommand"),
    "entry-explain": CommandEntry("entry_explain", "EntryExplainCommand"),
    "explain": CommandEntry("explain", "ExplainCommand"),
    "groups": CommandEntry("groups", "GroupsCommand"),
    "proxy": CommandEntry("proxy", "ProxyCommand"),
    "report burn": CommandEntry("report_burn", "ReportBurnCommand"),
    "switch": CommandEntry("switch", "SwitchCommand"),
    "targets": CommandEntry("targets", "TargetsCommand"),
    "trace": CommandEntry("trace", "TraceCommand"),
    "version": CommandEntry("version", "VersionCommand"),
}


def make_command_factory(
    entry: CommandEntry,
) -> Callable[[], command.Command]:
    """Return a callable that imports a command and creates an instance."""

    def make_command() -> command.Command:
        module: Any = importlib.import_module(f"{_PACKAGE}.{entry.module}")
        return getattr(module, entry.class_name)()

    return make_command


def make_application() -> application.Application:
    """Return the command line application with all commands registered."""
    app = application.Application("knapweedtally", knapweedtally.VERSION)
    factories = {
        name: make_command_factory(entry) for name, entry in COMMANDS.items()
    }
    app.set_command_loader(
        factory_command_loader.FactoryCommandLoader(factories)
    )
    return app
