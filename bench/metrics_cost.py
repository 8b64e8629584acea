"""Measure what the metrics cost one proxy process.

``python -m bench.metrics_cost`` prints the time for noting one request and
for writing the page, and the memory that the instruments take.
"""

import resource
import statistics
import time

from knapweedtally.core import errors
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import state as admission_state

REQUESTS = 20_000
ROUNDS = 7
PAGES = 200
MICROSECONDS = 1e6


def get_resident_kib() -> int:
    """Return the highest resident memory so far, in KiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def make_state() -> state_module.ProxyState:
    """Return the state of a proxy with one group."""
    identity = state_module.Identity("a1", "dc1", 1)
    state = state_module.ProxyState(identity)
    group = model.Group("fog", ())
    state.directory.put_bundle(model.Bundle(1, "", {"fog": group}))
    return state


def main() -> None:
    """Print the measures."""
    before_kib = get_resident_kib()
    from knapweedtally.metrics import measures as measures_module
    from knapweedtally.metrics import requests

    measures = measures_module.Measures(make_state())
    loaded_kib = get_resident_kib()
    kinds = (
        admission_state.RequestKind.READ,
        admission_state.RequestKind.WRITE,
    )
    ended = [
        requests.Ended("fog", kind, False, None, 1.0, 1.01) for kind in kinds
    ]
    rounds = []
    for _ in range(ROUNDS):
        started_at = time.process_time()
        for number in range(REQUESTS):
            measures.requests.note_request(ended[number % 2])
        rounds.append((time.process_time() - started_at) / REQUESTS)
    for kind in admission_state.RequestKind:
        for error in (None, *errors.ErrorKind):
            measures.requests.note_request(
                requests.Ended("fog", kind, False, error, 1.0, 1.01)
            )
    started_at = time.process_time()
    for _ in range(PAGES):
        page = measures.write_page()
    page_s = (time.process_time() - started_at) / PAGES
    print(f"noting one request, median    {compute_median_us(rounds):.1f} us")
    print(f"  lowest, highest round       {describe_range(rounds)}")
    print(f"page of {len(page.splitlines())} lines            {page_s:.4f} s")
    print(f"page                          {len(page) / 1024:.1f} KiB")
    print(f"import and instruments        {loaded_kib - before_kib} KiB")
    print(
        f"growth by use                 {get_resident_kib() - loaded_kib} KiB"
    )


def compute_median_us(rounds: list[float]) -> float:
    """Return the median of the rounds in microseconds."""
    return statistics.median(rounds) * MICROSECONDS


def describe_range(rounds: list[float]) -> str:
    """Return the lowest and the highest round in microseconds."""
    low, high = min(rounds) * MICROSECONDS, max(rounds) * MICROSECONDS
    return f"{low:.1f}, {high:.1f} us"


if __name__ == "__main__":
    main()
