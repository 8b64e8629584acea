"""Run times and concurrency that a holder sees at one target."""

import collections
import dataclasses

# Weight of the newest sample in the moving averages.
RUN_TIME_WEIGHT = 0.1
CONCURRENCY_WEIGHT = 0.1

# Weight of the newest sample in the moving average of a team's share of the
# running statements, and the share below which a team is forgotten.
TEAM_SHARE_WEIGHT = 0.05
MIN_TEAM_SHARE = 0.001

# Run time that is assumed for a priority without samples, in seconds.
INITIAL_RUN_TIME_S = 0.015

# Samples of all priorities before their averages may lead to a refusal.
MIN_SAMPLES = 5


@dataclasses.dataclass(slots=True)
class _RunTime:
    average_s: float = INITIAL_RUN_TIME_S
    samples: int = 0


class HolderLoad:
    """How long statements occupy connections, and how many do at once.

    Attributes:
        running: number of statements that occupy a connection now.
    """

    def __init__(self) -> None:
        """Create a load without samples."""
        self.running = 0
        self._concurrency: float | None = None
        self._running_by_team: collections.Counter[str] = collections.Counter()
        self._team_shares: dict[str, float] = {}
        self._run_times: dict[int, _RunTime] = {}

    @property
    def concurrency(self) -> float:
        """Return the usual number of running statements while others wait."""
        return max(1.0, self._concurrency or 0.0)

    def record_start(self, team: str) -> None:
        """Record that a statement of a team occupies a connection."""
        self.running += 1
        self._running_by_team[team] += 1
        for other in {*self._team_shares, *self._running_by_team}:
            share = self._team_shares.get(other, 0.0)
            sample = self._running_by_team[other] / self.running
            share += TEAM_SHARE_WEIGHT * (sample - share)
            if share < MIN_TEAM_SHARE:
                self._team_shares.pop(other, None)
            else:
                self._team_shares[other] = share

    def record_end(self, team: str) -> None:
        """Record that a statement of a team has freed its connection."""
        if self._running_by_team[team]:
            self.running -= 1
            self._running_by_team[team] -= 1
        if not self._running_by_team[team]:
            del self._running_by_team[team]

    def get_team_share(self, team: str) -> float:
        """Return a team's usual share of the running statements."""
        return self._team_shares.get(team, 0.0)

    def sample_concurrency(self) -> None:
        """Sample the concurrency; call this when a statement has to wait."""
        if self._concurrency is None:
            self._concurrency = float(self.running)
            return
        self._concurrency += CONCURRENCY_WEIGHT * (
            self.running - self._concurrency
        )

    def record_run_time(self, priority: int, run_s: float) -> None:
        """Add a statement's run time to the average of its priority."""
        run_time = self._run_times.setdefault(priority, _RunTime())
        run_time.samples += 1
        # The first samples count fully, so that the assumed value is left soon.
        weight = max(RUN_TIME_WEIGHT, 1 / run_time.samples)
        run_time.average_s += weight * (run_s - run_time.average_s)

    def get_run_time_s(self, priority: int) -> float:
        """Return the usual run time of a priority, in seconds."""
        run_time = self._run_times.get(priority)
        return INITIAL_RUN_TIME_S if run_time is None else run_time.average_s

    def has_samples(self) -> bool:
        """Return whether there are enough samples for refusals."""
        samples = sum(run.samples for run in self._run_times.values())
        return samples >= MIN_SAMPLES
