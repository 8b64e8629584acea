"""Run the platform stand-in: ``python -m standins.platform --port 7000``."""

import argparse
import sys

import anyio

from knapweedtally.utils import http_server
from standins.platform import service


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the options of the command line."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=7000)
    parser.add_argument("--writes-per-s", type=float, default=300)
    parser.add_argument("--reads-per-s", type=float, default=2000)
    parser.add_argument("--host-lag-s", type=float, default=5)
    return parser.parse_args(arguments)


async def serve(options: argparse.Namespace) -> None:
    """Serve until cancelled; print the address once it is bound."""
    platform = service.Service(
        options.writes_per_s, options.reads_per_s, options.host_lag_s
    )
    limits = http_server.Limits(max_connections=4096)
    server = http_server.Server(
        platform.answer, options.host, options.port, limits
    )
    async with anyio.create_task_group() as group:
        await group.start(server.serve)
        print(f"platform: ready on {options.host}:{server.port}", flush=True)


if __name__ == "__main__":
    try:
        anyio.run(serve, parse_options(sys.argv[1:]))
    except KeyboardInterrupt:
        pass
