"""Reports of groups that have no primary, and what a change waits for."""

from knapweedtally.core.groups import detection
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.members import group as group_module

# Interval at which a group without a primary is reported, in seconds.
REPORT_INTERVAL_S = 1.0


class AbsenceReporter:
    """Report each second for which a host knows no primary of a group."""

    def __init__(self, log: logs.Log, counters: metrics.Metrics) -> None:
        """Start without a report.

        Args:
            log: where the reports are written.
            counters: counts the reports by group.
        """
        self._log = log
        self._counters = counters
        self._next_report_s: dict[str, float] = {}

    def report_if_due(
        self,
        router: group_module.Group,
        view: detection.PrimaryView,
        now_s: float,
    ) -> None:
        """Report a group once it has had no primary for another second."""
        name = router.settings.name
        since_s = view.no_primary_since_s
        if view.has_primary or since_s is None:
            self._next_report_s.pop(name, None)
            return
        next_report_s = self._next_report_s.setdefault(
            name, since_s + REPORT_INTERVAL_S
        )
        if now_s < next_report_s:
            return
        self._next_report_s[name] = now_s + REPORT_INTERVAL_S
        self._counters.increment("seconds_without_primary", name)
        last = router.observer.last_primary
        self._log.write(
            "group_without_primary",
            group=name,
            lasted_s=round(now_s - since_s, 1),
            reason=detection.explain_absence(view, now_s),
            answering=[
                target
                for target, pool in router.pools.items()
                if pool.is_answering
            ],
            members=list(router.pools),
            departed=list(router.departed),
            successors=sorted(router.successors),
            last_primary=last and last.target,
            last_term=last and last.term,
        )
