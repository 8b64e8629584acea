"""Process with the reducer and the peers adapter, for measurements.

It prints one line of JSON when it knows all hosts and one after the
measurement, and exits when its standard input is closed.
"""

import argparse
import json
import sys
import time

import anyio
import psutil
import structlog

from knapweedtally.core import state as state_module
from knapweedtally.core.membership import hosts
from knapweedtally.core.membership import state as membership_state
from knapweedtally.peers import adapter as adapter_module
from knapweedtally.peers import handshake
from knapweedtally.runtime import loop as loop_module

SETTLE_S = 12.0


async def run_host(options: argparse.Namespace) -> None:
    """Run a host until its standard input is closed, and measure once."""
    identity = state_module.Identity(
        options.name, options.data_centre, time.time_ns() // 1_000_000
    )
    state = state_module.ProxyState(identity)
    seed_address, _, seed_port = options.seed.rpartition(":")
    state.membership.settings = membership_state.Settings(
        options.address,
        options.port,
        0,
        (membership_state.Seed(seed_address, int(seed_port)),),
    )
    loop = loop_module.Loop(state)
    settings = handshake.PeerSettings(
        options.address, options.port, "token-of-the-bench"
    )
    adapter = adapter_module.PeersAdapter(loop.submit, state, settings)
    loop.add_adapter(adapter)
    async with anyio.create_task_group() as tasks:
        await tasks.start(adapter.serve)
        await tasks.start(loop.serve)
        while len(hosts.get_live_hosts(state)) < options.hosts:
            await anyio.sleep(0.1)
        print_json({"live": options.hosts})
        await anyio.sleep(SETTLE_S)
        await measure_and_print(options.seconds, adapter, state)
        await anyio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        tasks.cancel_scope.cancel()


async def measure_and_print(
    seconds: float,
    adapter: adapter_module.PeersAdapter,
    state: state_module.ProxyState,
) -> None:
    """Measure this process for a time and print the result."""
    started_at = time.monotonic()
    cpu_before_s = time.process_time()
    sent_before_bytes = adapter.count_sent_bytes()
    await anyio.sleep(seconds)
    elapsed = time.monotonic() - started_at
    links = state.membership.links.values()
    print_json(
        {
            "cpu_ms_per_s": (time.process_time() - cpu_before_s)
            * 1000
            / elapsed,
            "sent_bytes_per_s": (adapter.count_sent_bytes() - sent_before_bytes)
            / elapsed,
            "rss_bytes": psutil.Process().memory_info().rss,
            "links": sum(link.is_open for link in links),
            "live": len(hosts.get_live_hosts(state)),
        }
    )


def print_json(value: dict[str, object]) -> None:
    """Print one line of JSON and flush it."""
    print(json.dumps(value), flush=True)


def main() -> None:
    """Run one host from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", required=True)
    parser.add_argument("--hosts", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(30),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    anyio.run(
        run_host, parser.parse_args(), backend_options={"use_uvloop": True}
    )


if __name__ == "__main__":
    main()
