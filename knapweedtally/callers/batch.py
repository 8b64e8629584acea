"""Turn callers' messages into batches for a target connection.

Callers' prepared statements live in the session, not on a connection: a
batch brings along what its connection lacks, under a name made from the
statement's text, and drops the answers that the caller didn't ask for.
"""

import hashlib
from collections.abc import Iterable

import xxhash
from pygwire import messages

from knapweedtally.callers import sql
from knapweedtally.targets import wire

Statements = dict[str, messages.Parse]


class SimpleBatch:
    """Hold one simple query."""

    def __init__(self, text: str) -> None:
        self._text = text

    def render(self, prepared: set[str]) -> bytes:
        """Return the query message."""
        return wire.encode_query(self._text)

    def digest(self) -> str:
        """Return a digest of the query's text."""
        return hashlib.sha256(self._text.encode()).hexdigest()

    def filter_answer(self, frames: list[bytes]) -> Iterable[bytes]:
        """Return the frames for the caller: all of them."""
        return frames


class ExtendedBatch:
    """Hold the messages of the extended protocol up to a Sync."""

    def __init__(
        self,
        frontend_messages: list[messages.FrontendMessage],
        statements: Statements,
    ) -> None:
        """Make a batch.

        Args:
            frontend_messages: messages from the caller, without the Sync.
            statements: the session's statements after these messages.
        """
        self._frontend_messages = frontend_messages
        self._statements = statements
        self._kept: dict[int, list[bool]] = {}

    def render(self, prepared: set[str]) -> bytes:
        """Return the messages, with what the connection lacks, and a Sync."""
        self._kept = {wire.PARSE_COMPLETE: [], wire.CLOSE_COMPLETE: []}
        parsed_here: set[str] = set()
        result = bytearray()
        for message in self._frontend_messages:
            result += self._render_message(message, prepared, parsed_here)
        return bytes(result) + messages.Sync().to_wire()

    def digest(self) -> str:
        """Return a digest of the statements and parameters.

        Names of statements and portals differ from try to try and are left
        out.
        """
        hasher = hashlib.sha256()
        for message in self._frontend_messages:
            if isinstance(message, messages.Bind):
                statement = self._statements.get(message.statement)
                text = statement.query if statement else ""
                hasher.update(repr((text, message.param_values)).encode())
        return hasher.hexdigest()

    def filter_answer(self, frames: list[bytes]) -> Iterable[bytes]:
        """Return the frames for the caller, without answers to our own."""
        counts = dict.fromkeys(self._kept, 0)
        for frame in frames:
            kept = self._kept.get(frame[0])
            if kept is None:
                yield frame
                continue
            place = counts[frame[0]]
            counts[frame[0]] += 1
            if place >= len(kept) or kept[place]:
                yield frame

    def _render_message(
        self,
        message: messages.FrontendMessage,
        prepared: set[str],
        parsed_here: set[str],
    ) -> bytes:
        if isinstance(message, messages.Parse):
            parsed_here.add(message.statement)
            return self._render_parse(message, prepared, is_kept=True)
        if isinstance(message, messages.Bind):
            needed = self._render_missing(
                message.statement, prepared, parsed_here
            )
            return needed + self._rename_bind(message).to_wire()
        if isinstance(message, messages.Describe) and message.kind == "S":
            needed = self._render_missing(message.name, prepared, parsed_here)
            name = self._make_name(message.name)
            return needed + messages.Describe(kind="S", name=name).to_wire()
        if isinstance(message, messages.Close):
            self._kept[wire.CLOSE_COMPLETE].append(True)
            name = message.name
            if message.kind == "S":
                name = self._make_name(message.name)
                prepared.discard(name)
            return messages.Close(kind=message.kind, name=name).to_wire()
        return message.to_wire()

    def _render_parse(
        self, message: messages.Parse, prepared: set[str], is_kept: bool
    ) -> bytes:
        name = _hash_name(message)
        result = b""
        if name:
            # Closing a statement that doesn't exist is no error.
            self._kept[wire.CLOSE_COMPLETE].append(False)
            result += messages.Close(kind="S", name=name).to_wire()
            prepared.add(name)
        self._kept[wire.PARSE_COMPLETE].append(is_kept)
        return (
            result
            + messages.Parse(
                statement=name,
                query=message.query,
                param_types=message.param_types,
            ).to_wire()
        )

    def _render_missing(
        self, name: str, prepared: set[str], parsed_here: set[str]
    ) -> bytes:
        if name in parsed_here or self._make_name(name) in prepared:
            return b""
        statement = self._statements.get(name)
        if statement is None:
            return b""
        parsed_here.add(name)
        return self._render_parse(statement, prepared, is_kept=False)

    def _make_name(self, name: str) -> str:
        statement = self._statements.get(name)
        return _hash_name(statement) if statement else name

    def _rename_bind(self, message: messages.Bind) -> messages.Bind:
        return messages.Bind(
            portal=message.portal,
            statement=self._make_name(message.statement),
            param_formats=message.param_formats,
            param_values=message.param_values,
            result_formats=message.result_formats,
        )


def _hash_name(statement: messages.Parse) -> str:
    if not statement.statement:
        return ""
    text = f"{statement.query}\0{statement.param_types}"
    return "kt_" + xxhash.xxh3_64_hexdigest(text.encode())


def classify_messages(
    frontend_messages: list[messages.FrontendMessage],
    statements: Statements,
    portals: dict[str, str],
) -> list[sql.Statement]:
    """Return the statements that a batch executes.

    Args:
        frontend_messages: messages up to the Sync.
        statements: the session's statements, already with those of the batch.
        portals: statement name of each portal; updated from the batch.
    """
    executed = []
    for message in frontend_messages:
        if isinstance(message, messages.Bind):
            portals[message.portal] = message.statement
        if isinstance(message, messages.Execute):
            name = portals.get(message.portal, "")
            statement = statements.get(name)
            executed.append(sql.classify(statement.query if statement else ""))
    return executed
