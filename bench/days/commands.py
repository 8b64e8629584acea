"""Commands that compare builds on days of the users' bench."""

import math
import pathlib

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from bench.days import comparison
from bench.days import figures
from bench.days import losses
from bench.days import plays

# Seeds to try a change, and seeds to conclude with: a change that was chosen
# by its result on some seeds has to show the result on others.
SEED_SETS = {
    "trial": (11, 12, 13, 14, 15),
    "conclusion": (2101, 2102, 2103, 2104, 2105, 2106),
}


class LossesCommand(command.Command):
    """Show where callers' statements were lost on a played day."""

    name = "losses"
    description = "Show where statements were lost, from a day's log lines."
    arguments = [argument("log", "output of a play with the hosts' logs")]
    options = [
        option(
            "by",
            None,
            "window, group, host, kind, outcome, reason or target",
            flag=False,
            multiple=True,
        ),
        option("window-s", None, "window in s", flag=False, default="2"),
        option("rows", None, "rows to print", flag=False, default="30"),
    ]

    def handle(self) -> int:
        """Print the statements that weren't served, most frequent first."""
        with open(self.argument("log"), encoding="utf-8") as lines:
            endings = losses.parse_lines(lines)
        self.line(f"{len(endings)} statements")
        rows = losses.tabulate(
            endings,
            self.option("by") or ("outcome", "reason"),
            float(self.option("window-s")),
        )
        for row in rows[: int(self.option("rows"))]:
            self.line(
                f"{row.statements:7} {row.share:7.2%}"
                f" {row.median_ms:9.1f} ms  {'  '.join(row.key)}"
            )
        return 0


class DaysCommand(command.Command):
    """Compare builds on the same days and seeds of the users' bench."""

    name = "days"
    description = "Compare builds on days of the users' bench, side by side."
    arguments = [
        argument("bench", "path of the bench's program"),
        argument(
            "builds",
            "NAME=CHECKOUT of each build; the first is the one before",
            multiple=True,
        ),
    ]
    options = [
        option("site", None, "site file", flag=False, multiple=True),
        option("day", None, "day, or file", flag=False, multiple=True),
        option("seeds", None, "trial or conclusion", flag=False),
        option("first-seeds", None, "use only the first N", flag=False),
        option("jobs", None, "days at a time", flag=False, default="2"),
        option("small", None, "play the small twins of large days"),
        option("why", None, "line for the journal", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Print each run, then the differences to the first build."""
        builds = [
            (name, pathlib.Path(folder).resolve())
            for name, _, folder in (
                text.partition("=") for text in self.argument("builds")
            )
        ]
        sites = [pathlib.Path(p).resolve() for p in self.option("site")]
        planned = plays.list_plays(
            builds,
            sites,
            self.option("day"),
            self._list_seeds(),
            self.option("small"),
        )
        played = plays.play_all(
            pathlib.Path(self.argument("bench")).resolve(),
            self.option("why"),
            planned,
            int(self.option("jobs")),
            self._print_play,
        )
        first = builds[0][0]
        for name, _ in builds[1:]:
            self.line(f"{first} -> {name}")
            self._print_differences(
                [played[play] for play in planned if play.build == first],
                [played[play] for play in planned if play.build == name],
            )
        return 0

    def _list_seeds(self) -> tuple[int | None, ...]:
        seeds = SEED_SETS[self.option("seeds") or "trial"]
        count = self.option("first-seeds")
        return seeds[: int(count)] if count else seeds

    def _print_play(self, play: plays.Play, found: figures.Figures) -> None:
        values = " ".join(
            f"{name}={value:.4g}" for name, value in found._asdict().items()
        )
        self.line(
            f"{play.site.stem} {play.day} {play.seed} {play.build}: {values}"
        )

    def _print_differences(
        self, before: list[figures.Figures], after: list[figures.Figures]
    ) -> None:
        for found in comparison.compare(before, after):
            mark = "*" if found.is_clear else " "
            self.line(
                f"  {found.name:14} {found.before:10.4f} {found.after:10.4f}"
                f" {found.mean:+10.4f} +- {found.margin:.4f} {mark}"
                f" {_describe_pairs(found)}"
            )


def _describe_pairs(found: comparison.Difference) -> str:
    """Return how many pairs would decide a difference that isn't clear."""
    if found.is_clear or not found.mean or found.margin == math.inf:
        return ""
    return f"needs {found.pairs_needed or 'too many'} pairs"
