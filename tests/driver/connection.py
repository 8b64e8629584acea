"""Connections of a target's clients, and results of their commands."""

from typing import NamedTuple

from standins.target import instance as instance_module
from standins.target import log as logs
from tests.driver import schedule as schedule_module


def ignore(*arguments: object) -> None:
    """Do nothing."""


class Result(NamedTuple):
    """Result of a command.

    Attributes:
        report: status that the instance reported when the statement ran.
        rows: values that a read returned.
        marker: marker of the command, echoed.
        sqlstate: SQLSTATE of the error answer, or empty.
        is_open: whether a transaction is open afterwards.
        is_key_reused: whether the key is recorded with other values.
        confirmed: term and offset that a barrier confirmed, or None.
    """

    report: instance_module.Report
    rows: tuple[str, ...]
    marker: str
    sqlstate: str = ""
    is_open: bool = False
    is_key_reused: bool = False
    confirmed: tuple[int, int] | None = None


class Connection:
    """A target's side of a client connection and its open transaction.

    Attributes:
        is_open: whether the connection is open at the target.
        is_running: whether a statement has arrived and has not finished.
        is_closing: whether the client closed it while a statement was running.
        transaction: statements of the open transaction, or None.
        on_reset: called when the target's process has ended.
    """

    def __init__(self) -> None:
        """Create an open connection without a transaction."""
        self.is_open = True
        self.is_running = False
        self.is_closing = False
        self.transaction: list[logs.Statement] | None = None
        self.on_reset: schedule_module.Action = ignore
