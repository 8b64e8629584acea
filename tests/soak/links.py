"""A TCP proxy on loopback that injects network faults."""

import asyncio
import dataclasses

MAX_READ_BYTES = 64 * 1024


@dataclasses.dataclass
class LinkFault:
    """Network fault that a link applies to its connections.

    Attributes:
        delay_s: delay of the data in each direction, in seconds.
        blocks_to_server: whether data to the server is blocked.
        blocks_from_server: whether data from the server is blocked.
        refuses_connections: whether new connections are reset at once.
    """

    delay_s: float = 0.0
    blocks_to_server: bool = False
    blocks_from_server: bool = False
    refuses_connections: bool = False


class Link:
    """Forward connections to one port on loopback.

    Blocked data is delivered once the fault ends, as TCP retransmits what was
    lost during a network partition.

    Attributes:
        port: port that the link listens on, once started.
        server_port: port that connections are forwarded to.
        fault: fault that is in force.
    """

    def __init__(self, port: int) -> None:
        self.port = 0
        self.fault = LinkFault()
        self.server_port = port
        self._server: asyncio.Server | None = None
        self._fault_changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def set_fault(self, fault: LinkFault) -> None:
        """Apply a fault from now on, in place of the current one."""
        self.fault = fault
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.fault.refuses_connections:
                return
            await self._forward_connection(reader, writer)
        except (OSError, asyncio.CancelledError):
            # Aborting the writer below ends the client's connection as well.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server_reader, server_writer = await asyncio.open_connection(
            "127.0.0.1", self.server_port
        )
        self._writers.add(server_writer)
        tasks = [
            asyncio.ensure_future(
                self._forward_bytes(reader, server_writer, True)
            ),
            asyncio.ensure_future(
                self._forward_bytes(server_reader, writer, False)
            ),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._writers.discard(server_writer)
            server_writer.transport.abort()

    async def _forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_to_server: bool,
    ) -> None:
        while data := await reader.read(MAX_READ_BYTES):
            if self.fault.delay_s:
                await asyncio.sleep(self.fault.delay_s)
            while self._is_blocked(is_to_server):
                await self._fault_changed.wait()
            writer.write(data)
            await writer.drain()
        while self._is_blocked(is_to_server):
            await self._fault_changed.wait()

    def _is_blocked(self, is_to_server: bool) -> bool:
        return (
            self.fault.blocks_to_server
            if is_to_server
            else self.fault.blocks_from_server
        )
