"""What passes between a target and its clients."""

from typing import NamedTuple

from standins.target import instance as instance_module
from standins.target import log as logs
from tests.driver import schedule as schedule_module


def ignore(*arguments: object) -> None:
    """Do nothing."""


class Result(NamedTuple):
    """Answer a command.

    Attributes:
        report: what the instance said of itself when the statement ran.
        rows: values that a read returns.
        marker: marker of the command.
        sqlstate: SQLSTATE of the error answer, or empty.
        is_open: whether a transaction is open afterwards.
        is_key_reused: whether the key is on record for something else.
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
    """Hold one client's connection with the transaction open on it.

    Attributes:
        is_open: whether the target holds it.
        is_running: whether a statement has arrived and not yet run.
        is_closing: whether the client closed it meanwhile.
        transaction: statements of the open transaction, or None.
        on_reset: tells the client that the target's process ended.
    """

    def __init__(self) -> None:
        """Open a connection without a transaction."""
        self.is_open = True
        self.is_running = False
        self.is_closing = False
        self.transaction: list[logs.Statement] | None = None
        self.on_reset: schedule_module.Action = ignore
