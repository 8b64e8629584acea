"""Play days with the users' bench, each in the checkout of a build."""

import concurrent.futures
import itertools
import json
import pathlib
import subprocess
import tempfile
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from bench.days import figures

# Time limit of one play, in seconds; a day of 200 hosts takes 17 min.
PLAY_TIMEOUT_S = 3600.0


class Play(NamedTuple):
    """One day to play.

    Attributes:
        build: name of the build.
        checkout: folder of the build's checkout.
        site: path of the site file.
        day: name of a day, or path of a file with one.
        seed: seed of the day, or None for its own.
        is_small: whether the small twin of a large day is played.
    """

    build: str
    checkout: pathlib.Path
    site: pathlib.Path
    day: str
    seed: int | None
    is_small: bool = False


class PlayFailed(Exception):  # noqa: N818 - named after the cause
    """The bench ended without a report, or a program didn't run."""


def list_plays(
    builds: Iterable[tuple[str, pathlib.Path]],
    sites: Iterable[pathlib.Path],
    days: Iterable[str],
    seeds: Iterable[int | None],
    is_small: bool = False,
) -> list[Play]:
    """Return the plays in the order in which they run.

    Builds follow each other on the same day and seed, so that changes of the
    machine's load hit all builds alike.
    """
    return [
        Play(build, checkout, site, day, seed, is_small)
        for site, day, seed, (build, checkout) in itertools.product(
            sites, days, seeds, tuple(builds)
        )
    ]


def play_day(bench: pathlib.Path, why: str, play: Play) -> figures.Figures:
    """Play a day and return its figures.

    Raises:
        PlayFailed: the bench ended without a report, or a program didn't run.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "report.json")
        seed = [] if play.seed is None else ["--seed", str(play.seed)]
        command = [str(bench), "run", str(play.site), play.day, *seed]
        command += ["--small"] if play.is_small else []
        command += ["--jobs", "1", "--report", str(path), "--why", why]
        ended = subprocess.run(
            command,
            cwd=play.checkout,
            capture_output=True,
            text=True,
            timeout=PLAY_TIMEOUT_S,
            check=False,
        )
        if not path.exists():
            raise PlayFailed(f"{play}: {ended.stdout[-500:]}{ended.stderr}")
        report = json.loads(path.read_text())
        if report["fault"]:
            raise PlayFailed(f"{play}: {report['fault']}")
        return figures.parse_report(report)


def play_all(
    bench: pathlib.Path,
    why: str,
    plays: Iterable[Play],
    jobs: int,
    on_played: Callable[[Play, figures.Figures], None],
) -> dict[Play, figures.Figures]:
    """Play days, a number of them at a time.

    Args:
        bench: path of the bench's program.
        why: line for the bench's journal.
        plays: the days.
        jobs: number of days that run at a time.
        on_played: called after each day.

    Raises:
        PlayFailed: the bench ended without a report, or a program didn't run.
    """
    played = {}
    with concurrent.futures.ThreadPoolExecutor(jobs) as executor:
        futures = {
            executor.submit(play_day, bench, why, play): play for play in plays
        }
        for future in concurrent.futures.as_completed(futures):
            play = futures[future]
            played[play] = future.result()
            on_played(play, played[play])
    return played
