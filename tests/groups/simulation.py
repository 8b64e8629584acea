"""Simulation of a group of targets, for tests of the change of its primary.

As on the platform, a commit is acknowledged once another member has received
it. Members crash, restart, which resumes paused replication, and become
unreachable, in an order drawn from a seed.
"""

import dataclasses
import random

from knapweedtally.core.groups import change_reports
from knapweedtally.core.groups import model
from knapweedtally.core.groups import primary_change
from knapweedtally.core.groups import steps


@dataclasses.dataclass
class Member:
    """A simulated target."""

    name: str
    term: int = 1
    number: int = 0
    is_primary: bool = False
    is_up: bool = True
    paused_for: int = 0
    is_reachable: bool = True

    def get_status(self) -> model.TargetStatus:
        return model.TargetStatus(
            self.is_primary,
            self.term,
            model.Position(self.term, self.number),
            self.paused_for,
            0.0,
            0,
            1,
        )


class Group:
    """Three targets, and the last commit that was acknowledged."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.members = {name: Member(name) for name in "pab"}
        self.members["p"].is_primary = True
        self.acknowledged = 0
        self.lost: list[str] = []
        self.now_s = 100.0
        self.promoted: list[str] = []
        self.pending: str | None = None

    def commit(self) -> None:
        """Commit at each primary and replicate to members that may receive."""
        for primary in self.members.values():
            if not primary.is_primary or not primary.is_up:
                continue
            primary.number += 1
            receivers = 0
            for other in self.members.values():
                receives = (
                    other is not primary
                    and other.is_up
                    and not other.is_primary
                    and not other.paused_for
                    and other.term <= primary.term
                )
                if receives and self.random.random() < 0.8:
                    other.number = primary.number
                    other.term = primary.term
                    receivers += 1
            if receivers:
                self.acknowledged = max(self.acknowledged, primary.number)

    def inject_fault(self) -> None:
        """Crash, restart, disconnect or reconnect a member at random."""
        if self.random.random() > 0.08:
            return
        member = self.random.choice(list(self.members.values()))
        fault = self.random.choice(
            ("crash", "restart", "disconnect", "reconnect")
        )
        if fault == "crash" and all(m.is_up for m in self.members.values()):
            member.is_up = False
        elif fault == "restart" and not member.is_up:
            member.is_up = True
            member.paused_for = 0
            has_new_primary = any(
                other.is_primary and other.term > member.term
                for other in self.members.values()
            )
            member.is_primary = member.is_primary and not has_new_primary
        elif fault == "disconnect":
            member.is_reachable = False
        else:
            member.is_reachable = True

    def run_order(
        self, step: steps.SendOrder, term: int
    ) -> dict[str, steps.OrderReport]:
        reports = {}
        for name in step.targets:
            member = self.members[name]
            if not member.is_up or not member.is_reachable:
                continue
            if step.order is steps.Order.PAUSE and not member.is_primary:
                member.paused_for = max(member.paused_for, term)
            if step.order is steps.Order.RESUME:
                member.paused_for = 0
            is_step_down = step.order is steps.Order.STEP_DOWN
            if is_step_down and member.term < term:
                member.is_primary = False
            reports[name] = steps.OrderReport(member.get_status(), self.now_s)
        return reports

    def promote(self, name: str) -> int:
        member = self.members[name]
        if not member.is_up:
            return 409
        if member.is_primary:
            return 200
        if member.number < self.acknowledged:
            self.lost.append(f"{name} {member.number} {self.acknowledged}")
        member.term = 1 + max(m.term for m in self.members.values())
        member.is_primary = True
        member.paused_for = 0
        self.promoted.append(name)
        for other in self.members.values():
            if other is not member:
                other.is_primary = False
                other.number = min(other.number, member.number)
        return 200


def run_attempt(seed: int, cause: steps.Cause) -> tuple[Group, bool]:
    """Run one attempt and return the group and whether it succeeded."""
    group = Group(seed)
    for _ in range(20):
        group.commit()
    old = None if cause is steps.Cause.ABSENT else "p"
    if cause is not steps.Cause.LEAVING:
        group.members["p"].is_reachable = group.random.random() < 0.5
        group.members["p"].is_up = group.random.random() < 0.5
    others = tuple(name for name in group.members if name != old)
    attempt = primary_change.begin_attempt(
        "g", cause, old, others, frozenset({"p"}), 1, group.now_s
    )
    for _ in range(400):
        step = primary_change.next_step(attempt, group.now_s)
        if isinstance(step, steps.Finish):
            return group, step.is_done
        if isinstance(step, steps.Wait):
            group.now_s += step.delay_s
        elif isinstance(step, steps.ListTargets):
            primary_change.record_listing(attempt, group.now_s)
        elif isinstance(step, steps.Promote):
            status = group.promote(step.target)
            change_reports.record_promotion_response(
                attempt, status, group.now_s
            )
        else:
            reports = group.run_order(step, attempt.term)
            change_reports.record_reports(
                attempt, step.order, reports, group.now_s
            )
            group.now_s += step.pause_s
        group.now_s += 0.02
        group.commit()
        group.inject_fault()
    return group, False
