"""Earlier builds of the program, which run beside this one."""

import io
import pathlib
import random
import subprocess
import tarfile
from collections.abc import Sequence
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

# Longest pause between two hosts that are replaced, in seconds.
MAX_REPLACEMENT_PAUSE_S = 1.0


class Replacement(NamedTuple):
    """One host that goes on with another build.

    Attributes:
        pause_s: time before it.
        host: index of the host.
        is_new: whether it goes on with the build under test.
    """

    pause_s: float
    host: int
    is_new: bool


def extract(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Write the program of a commit into a folder and return the folder.

    Raises:
        subprocess.CalledProcessError: the history has no such commit.
    """
    archive = subprocess.run(
        ["git", "archive", commit, "knapweedtally"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(folder, filter="data")
    return folder


def draw_replacements(seed: int, hosts: int) -> Sequence[Replacement]:
    """Return an upgrade of all hosts, in half of the seeds with a roll-back."""
    rng = random.Random(f"{seed}/builds")
    rounds = rng.choice(((True,), (True, False, True)))
    replacements = []
    for is_new in rounds:
        for host in rng.sample(range(hosts), hosts):
            pause_s = rng.uniform(0.0, MAX_REPLACEMENT_PAUSE_S)
            replacements.append(Replacement(pause_s, host, is_new))
    return replacements
