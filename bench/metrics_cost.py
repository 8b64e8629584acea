"""Measure the cost of the metrics of one proxy process.

``python -m bench.metrics_cost`` prints the processor time for recording one
request and for rendering the metrics page, and the memory of the instruments.
"""

import resource
import statistics
import time

from knapweedtally.core import errors
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import state as admission_state

REQUEST_COUNT = 20_000
ROUND_COUNT = 7
PAGE_COUNT = 200
MICROSECONDS_PER_S = 1e6


def get_peak_rss_kib() -> int:
    """Return the peak resident memory of this process in KiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def make_state() -> state_module.ProxyState:
    """Return the state of a proxy with one group."""
    identity = state_module.Identity("a1", "dc1", 1)
    state = state_module.ProxyState(identity)
    group = model.Group("fog", ())
    state.directory.set_bundle(model.Bundle(1, "", {"fog": group}))
    return state


def main() -> None:
    """Measure the cost and print it."""
    before_kib = get_peak_rss_kib()
    from knapweedtally.metrics import proxy_metrics as proxy_metrics_module
    from knapweedtally.metrics import requests

    proxy_metrics = proxy_metrics_module.ProxyMetrics(make_state())
    loaded_kib = get_peak_rss_kib()
    kinds = (
        admission_state.RequestKind.READ,
        admission_state.RequestKind.WRITE,
    )
    completed_requests = [
        requests.CompletedRequest("fog", kind, False, None, 1.0, 1.01)
        for kind in kinds
    ]
    rounds = []
    for _ in range(ROUND_COUNT):
        started_at = time.process_time()
        for number in range(REQUEST_COUNT):
            proxy_metrics.requests.record_request(
                completed_requests[number % 2]
            )
        rounds.append((time.process_time() - started_at) / REQUEST_COUNT)
    for kind in admission_state.RequestKind:
        for error in (None, *errors.ErrorKind):
            proxy_metrics.requests.record_request(
                requests.CompletedRequest("fog", kind, False, error, 1.0, 1.01)
            )
    started_at = time.process_time()
    for _ in range(PAGE_COUNT):
        page = proxy_metrics.format_prometheus()
    page_s = (time.process_time() - started_at) / PAGE_COUNT
    print(f"noting one request, median    {compute_median_us(rounds):.1f} us")
    print(f"  lowest, highest round       {describe_range(rounds)}")
    print(f"page of {len(page.splitlines())} lines            {page_s:.4f} s")
    print(f"page                          {len(page) / 1024:.1f} KiB")
    print(f"import and instruments        {loaded_kib - before_kib} KiB")
    print(
        f"growth by use                 {get_peak_rss_kib() - loaded_kib} KiB"
    )


def compute_median_us(rounds: list[float]) -> float:
    """Return the median round in microseconds."""
    return statistics.median(rounds) * MICROSECONDS_PER_S


def describe_range(rounds: list[float]) -> str:
    """Return the fastest and the slowest round in microseconds."""
    low, high = (
        min(rounds) * MICROSECONDS_PER_S,
        max(rounds) * MICROSECONDS_PER_S,
    )
    return f"{low:.1f}, {high:.1f} us"


if __name__ == "__main__":
    main()
