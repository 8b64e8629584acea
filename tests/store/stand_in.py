"""Helpers to run the platform stand-in process and send requests to it."""

import contextlib
import json
import os
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

from knapweedtally.utils import http
from knapweedtally.utils import http_client

TIMEOUT_S = 20.0


@contextlib.contextmanager
def run_platform(*options: str) -> Iterator[int]:
    """Run the stand-in on a free port and yield the port."""
    command = [sys.executable, "-m", "standins.platform", "--port", "0"]
    process = subprocess.Popen(
        [*command, *options], stdout=subprocess.PIPE, env=os.environ
    )
    try:
        assert process.stdout is not None
        line = process.stdout.readline().decode()
        yield int(line.rsplit(":", 1)[1])
    finally:
        process.terminate()
        process.wait()
        process.stdout.close()


class Caller:
    """Client that sends requests to the stand-in."""

    def __init__(self, port: int, source_host: str | None = None) -> None:
        self.client = http_client.Client("127.0.0.1", port, source_host)

    async def call(
        self,
        method: str,
        target: str,
        value: Any = None,
        timeout_s: float = TIMEOUT_S,
        **headers: str,
    ) -> http.Response:
        """Send a JSON value and return the response."""
        body = b"" if value is None else json.dumps(value).encode()
        named = {name.replace("_", "-"): v for name, v in headers.items()}
        request = http.Request(method, target, named, body)
        return await self.client.send(request, timeout_s)
