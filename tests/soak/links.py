"""A loopback proxy whose connections can be harmed."""

import asyncio
import dataclasses

READ_BYTES = 64 * 1024


@dataclasses.dataclass
class Harm:
    """Say how a link treats what passes.

    Attributes:
        delay_s: time by which bytes are held up, each way.
        holds_to: whether nothing passes towards the server.
        holds_from: whether nothing passes back.
        refuses: whether new connections are reset.
    """

    delay_s: float = 0.0
    holds_to: bool = False
    holds_from: bool = False
    refuses: bool = False


class Link:
    """Pass connections on to one port.

    Bytes that are held are passed on afterwards, as TCP repeats what a cut
    network has lost.
    """

    def __init__(self, port: int) -> None:
        self.port = 0
        self.harm = Harm()
        self._target_port = port
        self._server: asyncio.Server | None = None
        self._eased = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()

    def put(self, harm: Harm) -> None:
        """Treat what passes from now on in this way."""
        self.harm = harm
        self._eased.set()
        self._eased = asyncio.Event()

    def reset(self) -> None:
        """Reset every connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.harm.refuses:
                return
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            # The other side shows the end of the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        there, back = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        self._writers.add(back)
        pumps = [
            asyncio.ensure_future(self._pump(reader, back, True)),
            asyncio.ensure_future(self._pump(there, writer, False)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self._writers.discard(back)
            back.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_to: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.harm.delay_s:
                await asyncio.sleep(self.harm.delay_s)
            while self._holds(is_to):
                await self._eased.wait()
            writer.write(data)
            await writer.drain()
        while self._holds(is_to):
            await self._eased.wait()

    def _holds(self, is_to: bool) -> bool:
        return self.harm.holds_to if is_to else self.harm.holds_from
