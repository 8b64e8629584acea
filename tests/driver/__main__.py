"""Run seeds by hand: ``python -m tests.driver --seeds N``."""

import argparse
import multiprocessing
import sys

from tests.driver import run

SEEDS_PER_PROGRESS_LINE = 200


def main() -> int:
    """Run the seeds, print each failure and return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.driver")
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--processes", type=int, default=2)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    failed = 0
    with multiprocessing.Pool(options.processes) as pool:
        results = pool.imap(run_and_report_seed, seeds, 4)
        for count, lines in enumerate(results, 1):
            failed += bool(lines)
            if count % SEEDS_PER_PROGRESS_LINE == 0:
                print(f"{count} of {options.seeds} seeds", flush=True)
    print(f"{options.seeds} seeds, {failed} failed")
    return 1 if failed else 0


def run_and_report_seed(seed: int) -> list[str]:
    """Run a seed, and print and return the lines about its violations."""
    result = run.run_seed(seed)
    if not result.violations:
        return []
    lines = run.format_failure(run.reduce_faults(result))
    print("\n".join(lines), flush=True)
    return lines


if __name__ == "__main__":
    sys.exit(main())
