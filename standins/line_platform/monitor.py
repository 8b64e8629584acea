"""Check that statements run on connections of their callers' teams."""

from typing import NamedTuple

# Statements that end what ran before, and start nothing for their caller.
_CLEANUP_VERBS = frozenset(("ROLLBACK", "RESET"))


class Execution(NamedTuple):
    """One statement that a target ran for a caller.

    Attributes:
        at_s: time of the execution, on the event loop's clock.
        operation: id of the operation that the statement belongs to.
        key: key of the caller.
        is_first: whether the statement is the first of its operation.
    """

    at_s: float
    operation: str
    key: str
    is_first: bool


class Monitor:
    """Knows the callers' keys, and records what targets run for them.

    The id of a statement is ``OPERATION`` for the last or only statement of an
    operation and ``OPERATION-NUMBER`` for the others.

    Attributes:
        key_teams: team that holds or held a key, by key.
        operation_keys: key of the caller by id of the operation.
        executions: the statements that ran, without roll-backs and resets.
        violations: statements that ran on another team's connection or for no
            known caller.
    """

    def __init__(self) -> None:
        """Create a monitor that knows no caller."""
        self.key_teams: dict[str, str] = {}
        self.operation_keys: dict[str, str] = {}
        self.executions: list[Execution] = []
        self.violations: list[str] = []

    def record(self, at_s: float, user: str, id_: str, text: str) -> None:
        """Record and check a statement that a target is about to run.

        Args:
            at_s: the time.
            user: user that the connection was opened for.
            id_: id of the statement.
            text: the statement.
        """
        operation, _, number = id_.partition("-")
        key = self.operation_keys.get(operation, "")
        team = self.key_teams.get(key, "")
        if not team or team != user:
            self.violations.append(
                f"{id_} {text!r} of team {team!r} ran on a connection of "
                f"{user!r}"
            )
        verb = text.partition(" ")[0]
        if verb in _CLEANUP_VERBS:
            return
        is_first = verb == "BEGIN" or (not number and verb != "COMMIT")
        self.executions.append(Execution(at_s, operation, key, is_first))
