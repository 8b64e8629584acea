"""Run seeds from the command line: ``python -m tests.soak --seeds N``."""

import argparse
import multiprocessing
import pathlib
import shutil
import sys
import tempfile
import time
import traceback

from tests.soak import builds
from tests.soak import run

# Without --first, the first seed is drawn from the time and lies below this.
SEED_RANGE = 1_000_000


def parse_options() -> argparse.Namespace:
    """Return the parsed command line options."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument(
        "--first", type=int, help="default: drawn from the time"
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--hosts", type=int, default=run.HOST_COUNT)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument(
        "--kinds", type=int, help="draw only from the first kinds of faults"
    )
    parser.add_argument(
        "--production",
        metavar="COMMIT",
        help="build that runs first; its hosts are replaced one by one",
    )
    return parser.parse_args()


def run_and_report(
    options: tuple[int, float, int, int | None, pathlib.Path | None],
) -> tuple[int, run.Result, str]:
    """Run a seed, and keep its logs and a report if it found a problem.

    Args:
        options: the seed, the duration of the faults in seconds, the number
            of hosts, the number of the first kinds of faults to draw from, and
            the folder of the build in production.

    Returns:
        The seed, its result and the folder of its logs.
    """
    seed, seconds, hosts, kind_count, production = options
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    try:
        result = run.run_seed(
            seed, seconds, hosts, pathlib.Path(folder), kind_count, production
        )
    except Exception:
        # An error in one seed must not stop the others, which still have to
        # end their processes.
        problems = [traceback.format_exc()]
        result = run.Result(problems, [], 0, 0, 0)
    if result.problems:
        plan = "\n".join(str(fault) for fault in result.plan)
        problems = "\n".join(result.problems)
        report = pathlib.Path(folder, "report.txt")
        report.write_text(f"{problems}\n{plan}\n", encoding="utf-8")
    else:
        shutil.rmtree(folder)
    return seed, result, folder


def main() -> int:
    """Run the seeds and print each failure; return the exit status."""
    options = parse_options()
    first = options.first
    if first is None:
        first = time.time_ns() // 1000 % SEED_RANGE
    seeds = range(first, first + options.seeds)
    production = None
    if options.production is not None:
        folder = tempfile.mkdtemp(prefix="soak-build-")
        production = builds.extract(options.production, pathlib.Path(folder))
    arguments = [
        (seed, options.seconds, options.hosts, options.kinds, production)
        for seed in seeds
    ]
    failed = requests = done = promotions = 0
    with multiprocessing.Pool(options.processes) as pool:
        for seed, result, folder in pool.imap_unordered(
            run_and_report, arguments
        ):
            requests += result.requests
            done += result.done
            promotions += result.promotions
            if result.problems:
                failed += 1
                print(f"seed {seed}: {result.problems[:5]}, see {folder}")
                sys.stdout.flush()
    print(
        f"seeds {first} to {first + options.seeds - 1}: {failed} failed; "
        f"{requests} requests, {done} done, {promotions} promotion calls"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
