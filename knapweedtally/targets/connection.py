"""Connection to a target."""

import anyio
import anyio.abc
from pygwire import messages

from knapweedtally.core import exceptions
from knapweedtally.core import model
from knapweedtally.targets import wire

CONNECT_TIMEOUT_S = 1.0
RECEIVE_SIZE_BYTES = 65536
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class TargetConnection:
    """Connection that exchanges one batch at a time with a target.

    Attributes:
        target: target of the connection.
        prepared: names of the statements prepared on the connection.
        is_usable: whether another batch may be sent.
    """

    def __init__(
        self, target: model.Target, stream: anyio.abc.ByteStream
    ) -> None:
        self.target = target
        self.prepared: set[str] = set()
        self.is_usable = False
        self._stream = stream
        self._reader = wire.SectionReader()
        self._cancel_key = messages.BackendKeyData()

    @classmethod
    async def connect(
        cls,
        target: model.Target,
        source_host: str | None,
        parameters: dict[str, str],
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> "TargetConnection":
        """Connect to a target and complete the startup exchange.

        Args:
            target: the target.
            source_host: local address to connect from, or None for any.
            parameters: startup parameters: user, database, options.
            timeout_s: timeout of connecting and starting up together.

        Raises:
            AttemptLostError: the target is unreachable or refused the
                connection; no statement was sent.
        """
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(
                    target.host, target.port, local_host=source_host
                )
                connection = cls(target, stream)
                await connection._start_up_or_close(parameters)
                return connection
        except (OSError, anyio.BrokenResourceError, TimeoutError) as error:
            raise exceptions.AttemptLostError(
                f"can't connect to {target.id}: {error}", was_sent=False
            ) from error
        except exceptions.AttemptLostError as error:
            error.was_sent = False
            raise

    async def exchange(self, batch: bytes, count: int) -> list[wire.Section]:
        """Send a batch and return its answer, one section per ReadyForQuery.

        Args:
            batch: messages that are answered by ``count`` ReadyForQuery.
            count: number of sections to wait for.

        Raises:
            AttemptLostError: the connection ended before the answer was
                complete, or the answer is too large.
        """
        self.is_usable = False
        try:
            await self._stream.send(batch)
        except (OSError, anyio.BrokenResourceError) as error:
            raise self._mark_lost("connection lost while sending") from error
        except anyio.ClosedResourceError as error:
            raise self._mark_lost("connection was closed") from error
        sections = await self._receive_sections(count)
        self.is_usable = True
        return sections

    async def close(self) -> None:
        """Close the connection immediately, without a Terminate message."""
        self.is_usable = False
        await anyio.aclose_forcefully(self._stream)

    def make_cancel_request(self) -> bytes:
        """Return the message that cancels the running statement."""
        return messages.CancelRequest(
            process_id=self._cancel_key.process_id,
            secret_key=self._cancel_key.secret_key,
        ).to_wire()

    async def _start_up_or_close(self, parameters: dict[str, str]) -> None:
        try:
            await self._start_up(parameters)
        except BaseException:
            await self.close()
            raise

    async def _start_up(self, parameters: dict[str, str]) -> None:
        startup = messages.StartupMessage(params=parameters)
        await self._stream.send(startup.to_wire())
        (section,) = await self._receive_sections(1)
        for frame in section.frames:
            if frame[0] == ord("K"):
                payload = memoryview(frame)[wire.HEADER_BYTES :]
                self._cancel_key = messages.BackendKeyData.decode(payload)
        self.is_usable = True

    async def _receive_sections(self, count: int) -> list[wire.Section]:
        sections: list[wire.Section] = []
        while len(sections) < count:
            try:
                data = await self._stream.receive(RECEIVE_SIZE_BYTES)
            except (OSError, anyio.BrokenResourceError) as error:
                raise self._mark_lost("connection lost") from error
            except (anyio.EndOfStream, anyio.ClosedResourceError) as error:
                raise self._mark_lost("connection closed") from error
            sections += self._reader.feed(data)
            if self._reader.size > MAX_ANSWER_BYTES:
                raise exceptions.AttemptLostError(
                    "answer is too large", was_sent=True, is_too_large=True
                )
        return sections

    def _mark_lost(self, message: str) -> exceptions.AttemptLostError:
        self.is_usable = False
        return exceptions.AttemptLostError(
            f"{self.target.id}: {message}",
            was_sent=True,
            sqlstate=self._reader.sqlstate,
        )
