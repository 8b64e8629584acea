"""Run a database instance: ``python -m standins.target --help``."""

import argparse
import logging

import anyio
import structlog

from standins.target import faults
from standins.target import server
from standins.target import target as targets


def parse_peers(text: str) -> dict[str, targets.Address]:
    """Parse a comma-separated list of ``ID=HOST:PORT`` pairs."""
    peers = {}
    for item in filter(None, text.split(",")):
        name, _, address = item.partition("=")
        host, _, port = address.rpartition(":")
        peers[name] = targets.Address(host, int(port))
    return peers


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="standins.target")
    parser.add_argument("--id", required=True)
    parser.add_argument("--group", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, default=5432)
    parser.add_argument("--data-centre", default="")
    parser.add_argument(
        "--peers", type=parse_peers, default={}, help="ID=HOST:PORT,..."
    )
    parser.add_argument(
        "--primary", default="", help="id of the primary of the first term"
    )
    parser.add_argument("--term", type=int, default=1)
    parser.add_argument("--connection-limit", type=int, default=15)
    parser.add_argument("--slots", type=int, default=2)
    for name in ("connect-delay", "receive-lag", "apply-lag", "service-time"):
        default = 10 if name == "connect-delay" else 0
        parser.add_argument(f"--{name}-ms", type=float, default=default)
    return parser.parse_args()


async def serve(arguments: argparse.Namespace) -> None:
    """Run the instance that the arguments configure."""
    settings = targets.Settings(
        id=arguments.id,
        group=arguments.group,
        address=targets.Address(arguments.host, arguments.port),
        data_centre=arguments.data_centre,
        peers=arguments.peers,
        primary=arguments.primary,
        term=arguments.term,
        connection_limit=arguments.connection_limit,
        slots=arguments.slots,
        connect_delay_ms=arguments.connect_delay_ms,
    )
    target = targets.Target(
        settings,
        faults.Faults(
            receive_lag_ms=arguments.receive_lag_ms,
            apply_lag_ms=arguments.apply_lag_ms,
            service_time_ms=arguments.service_time_ms,
        ),
    )
    await server.Server(target).run()


def main() -> None:
    """Run the instance until SIGTERM or SIGINT."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO)
    )
    anyio.run(serve, parse_arguments(), backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
