"""The end of a connection whose peer may still be sending."""

import asyncio

# Time for the peer to read the last answer before the connection is closed, in
# seconds. Bytes that it sent meanwhile reset the connection then.
LINGER_S = 0.2


def end(transport: asyncio.Transport) -> None:
    """Send what is buffered, then the end of the stream, and close later.

    Nothing more is read, so that no request is taken on that isn't answered.
    """
    if transport.is_closing():
        return
    if transport.is_reading():
        transport.pause_reading()
    if transport.can_write_eof():
        transport.write_eof()
    asyncio.get_running_loop().call_later(LINGER_S, transport.close)
