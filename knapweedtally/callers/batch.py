"""Convert callers' messages to batches for a target connection.

Prepared statements of a caller belong to its session, not to a target
connection. A batch first prepares the statements that its connection doesn't
have yet, under names derived from a hash of their text, and removes the
responses to these additional messages from the answer.
"""

import hashlib
from collections.abc import Iterable

import xxhash
from pygwire import messages

from knapweedtally.callers import sql
from knapweedtally.targets import wire

PreparedStatements = dict[str, messages.Parse]


class SimpleBatch:
    """A batch that consists of one simple query."""

    def __init__(self, text: str) -> None:
        self._text = text

    def render(self, prepared: set[str]) -> bytes:
        """Return the Query message."""
        return wire.encode_query(self._text)

    def digest(self) -> str:
        """Return the SHA-256 digest of the query's text."""
        return hashlib.sha256(self._text.encode()).hexdigest()

    def filter_answer(self, frames: list[bytes]) -> Iterable[bytes]:
        """Return all frames; a simple query adds no messages of its own."""
        return frames


class ExtendedBatch:
    """A batch of extended query protocol messages, up to a Sync."""

    def __init__(
        self,
        frontend_messages: list[messages.FrontendMessage],
        statements: PreparedStatements,
    ) -> None:
        """Initialize the batch.

        Args:
            frontend_messages: messages from the caller, without the Sync.
            statements: the session's prepared statements, by name, including
                those of this batch.
        """
        self._frontend_messages = frontend_messages
        self._statements = statements
        self._forwarded: dict[int, list[bool]] = {}

    def render(self, prepared: set[str]) -> bytes:
        """Return the messages for a connection, followed by a Sync.

        Args:
            prepared: names prepared on the connection; updated in place.
        """
        self._forwarded = {wire.PARSE_COMPLETE: [], wire.CLOSE_COMPLETE: []}
        parsed_here: set[str] = set()
        result = bytearray()
        for message in self._frontend_messages:
            result += self._render_message(message, prepared, parsed_here)
        return bytes(result) + messages.Sync().to_wire()

    def digest(self) -> str:
        """Return the SHA-256 digest of the statements and parameters.

        Names of statements and portals are excluded, because a client may
        choose other names when it retries the request.
        """
        hasher = hashlib.sha256()
        for message in self._frontend_messages:
            if isinstance(message, messages.Bind):
                statement = self._statements.get(message.statement)
                text = statement.query if statement else ""
                hasher.update(repr((text, message.param_values)).encode())
        return hasher.hexdigest()

    def filter_answer(self, frames: list[bytes]) -> Iterable[bytes]:
        """Return the frames without responses to added messages."""
        counts = dict.fromkeys(self._forwarded, 0)
        for frame in frames:
            forwarded = self._forwarded.get(frame[0])
            if forwarded is None:
                yield frame
                continue
            index = counts[frame[0]]
            counts[frame[0]] += 1
            if index >= len(forwarded) or forwarded[index]:
                yield frame

    def _render_message(
        self,
        message: messages.FrontendMessage,
        prepared: set[str],
        parsed_here: set[str],
    ) -> bytes:
        if isinstance(message, messages.Parse):
            parsed_here.add(message.statement)
            return self._render_parse(message, prepared, is_forwarded=True)
        if isinstance(message, messages.Bind):
            missing = self._render_missing(
                message.statement, prepared, parsed_here
            )
            return missing + self._rename_bind(message).to_wire()
        if isinstance(message, messages.Describe) and message.kind == "S":
            missing = self._render_missing(message.name, prepared, parsed_here)
            name = self._get_prepared_name(message.name)
            return missing + messages.Describe(kind="S", name=name).to_wire()
        if isinstance(message, messages.Close):
            self._forwarded[wire.CLOSE_COMPLETE].append(True)
            name = message.name
            if message.kind == "S":
                name = self._get_prepared_name(message.name)
                prepared.discard(name)
            return messages.Close(kind=message.kind, name=name).to_wire()
        return message.to_wire()

    def _render_parse(
        self, message: messages.Parse, prepared: set[str], is_forwarded: bool
    ) -> bytes:
        name = _make_prepared_name(message)
        result = b""
        if name:
            # Closing a statement that doesn't exist is not an error.
            self._forwarded[wire.CLOSE_COMPLETE].append(False)
            result += messages.Close(kind="S", name=name).to_wire()
            prepared.add(name)
        self._forwarded[wire.PARSE_COMPLETE].append(is_forwarded)
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
        if name in parsed_here or self._get_prepared_name(name) in prepared:
            return b""
        statement = self._statements.get(name)
        if statement is None:
            return b""
        parsed_here.add(name)
        return self._render_parse(statement, prepared, is_forwarded=False)

    def _get_prepared_name(self, name: str) -> str:
        statement = self._statements.get(name)
        return _make_prepared_name(statement) if statement else name

    def _rename_bind(self, message: messages.Bind) -> messages.Bind:
        return messages.Bind(
            portal=message.portal,
            statement=self._get_prepared_name(message.statement),
            param_formats=message.param_formats,
            param_values=message.param_values,
            result_formats=message.result_formats,
        )


def _make_prepared_name(statement: messages.Parse) -> str:
    if not statement.statement:
        return ""
    text = f"{statement.query}\0{statement.param_types}"
    return "kt_" + xxhash.xxh3_64_hexdigest(text.encode())


def classify_messages(
    frontend_messages: list[messages.FrontendMessage],
    statements: PreparedStatements,
    portals: dict[str, str],
) -> list[sql.Statement]:
    """Return the classified statements that a batch executes.

    Args:
        frontend_messages: messages up to the Sync.
        statements: the session's prepared statements, by name, including
            those of this batch.
        portals: statement name of each portal; updated in place.
    """
    executed = []
    for message in frontend_messages:
        if isinstance(message, messages.Bind):
            portals[message.portal] = message.statement
        if isinstance(message, messages.Execute):
            name = portals.get(message.portal, "")
            statement = statements.get(name)
            executed.append(
                sql.classify_statement(statement.query if statement else "")
            )
    return executed
