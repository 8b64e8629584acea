"""Randomized tests of hosts that observe a group whose primary changes.

They guard against evidence that is still valid although another primary is in
effect. The old primary isn't notified of the promotion, and members that were
resumed by it may learn of it late, so both keep answering as before.
"""

import dataclasses
import random

import testtools

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing

STEP_S = 0.01
DURATION_S = 20.0


@dataclasses.dataclass
class Member:
    """What one target would answer."""

    term: int = 1
    is_primary: bool = False
    paused_for: int = 0
    learns_at_s: float = 0.0


class Group:
    """A group that changes its primary repeatedly, after fencing all others."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.members = {name: Member() for name in "pab"}
        self.members["p"].is_primary = True
        self.primary = "p"
        self.term = 1
        self.steps: list[tuple[float, str]] = []
        self.next_change_s = 2.0

    def advance(self, now_s: float) -> None:
        """Continue the change in progress, or begin one."""
        if not self.steps and now_s >= self.next_change_s:
            self._plan_change(now_s)
        while self.steps and self.steps[0][0] <= now_s:
            self._run_step(self.steps.pop(0)[1], now_s)
        for name, member in self.members.items():
            if name != self.primary and now_s >= member.learns_at_s:
                member.term = self.term
                member.is_primary = False

    def _plan_change(self, now_s: float) -> None:
        others = [name for name in self.members if name != self.primary]
        if any(self.members[name].term < self.term for name in others):
            return
        fenced_s = now_s
        for name in others:
            fenced_s += self.rng.uniform(0.0, 0.3)
            self.steps.append((fenced_s, name))
        delay_s = self.rng.uniform(0.1, 1.0)
        effect_s = fenced_s + evidence.EVIDENCE_VALIDITY_S + delay_s
        self.steps.append((effect_s, "promote"))

    def _run_step(self, step: str, now_s: float) -> None:
        if step != "promote":
            self.members[step].paused_for = self.term + 1
            return
        others = [name for name in self.members if name != self.primary]
        self.primary = self.rng.choice(others)
        self.term += 1
        for name, member in self.members.items():
            member.paused_for = 0
            member.learns_at_s = now_s + self.rng.choice((0.0, 0.3, 1.5))
            if name == self.primary:
                member.term, member.is_primary = self.term, True
        self.next_change_s = now_s + self.rng.uniform(0.0, 2.0)


class Observer:
    """A host that polls the members it can reach and collects evidence."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.leadership = evidence.Leadership()
        self.is_reachable = {name: rng.random() < 0.8 for name in "pab"}
        self.poll_probability = rng.choice((0.02, 0.08, 0.3))
        self.pending_answers: list[tuple[float, float, str, Member]] = []

    def advance(self, group: Group, now_s: float) -> None:
        """Poll members and process the answers that have arrived."""
        if self.rng.random() < 0.01:
            name = self.rng.choice("pab")
            self.is_reachable[name] = not self.is_reachable[name]
        for name, member in group.members.items():
            if (
                self.is_reachable[name]
                and self.rng.random() < self.poll_probability
            ):
                answer = dataclasses.replace(member)
                sent_s = now_s - self.rng.uniform(0.0, 0.2)
                answered_s = now_s + self.rng.uniform(0.0, 0.2)
                self.pending_answers.append((answered_s, sent_s, name, answer))
        for item in [item for item in self.pending_answers if item[0] <= now_s]:
            self.pending_answers.remove(item)
            self._process_answer(item[2], item[3], item[1], now_s)

    def _process_answer(
        self, name: str, answer: Member, sent_s: float, now_s: float
    ) -> None:
        leadership = self.leadership
        if answer.is_primary:
            evidence.record_primary(leadership, name, answer.term, sent_s)
        elif name == leadership.target or answer.term > leadership.term:
            evidence.record_primary_loss(leadership, name, answer.term)
        else:
            evidence.record_member(
                leadership, name, "pab", answer.paused_for, sent_s, now_s
            )
        evidence.record_term(leadership, name, answer.term, sent_s)


def run_simulation(seed: int) -> tuple[list[str], int]:
    """Return wrong beliefs of observers and the number of valid beliefs."""
    rng = random.Random(seed)
    group = Group(rng)
    observers = [Observer(rng) for _ in range(3)]
    wrong_beliefs: list[str] = []
    valid_beliefs = 0
    for step in range(int(DURATION_S / STEP_S)):
        now_s = 100.0 + step * STEP_S
        group.advance(now_s - 100.0)
        for number, observer in enumerate(observers):
            observer.advance(group, now_s)
            leadership = observer.leadership
            if leadership.target is None or leadership.valid_until_s < now_s:
                continue
            valid_beliefs += 1
            if leadership.term != group.term:
                wrong_beliefs.append(
                    f"{number} at {now_s:.2f}: {leadership.target}"
                )
        _share_evidence(observers, rng, now_s)
    return wrong_beliefs, valid_beliefs


def _share_evidence(
    observers: list[Observer], rng: random.Random, now_s: float
) -> None:
    if rng.random() > 0.05:
        return
    sender, receiver = rng.sample(observers, 2)
    evidence.record_position(
        sender.leadership,
        sender.leadership.target or "",
        model.Position(sender.leadership.term, 1),
        sender.leadership.primary_seen_s,
    )
    shared = sharing.make_shared_evidence("g", sender.leadership, 0.0, now_s)
    if shared is not None:
        sharing.merge_shared_evidence(receiver.leadership, shared, now_s - 0.01)


class ObserverTest(testtools.TestCase):
    """Valid evidence is right, whatever an observer saw or was sent."""

    def test_valid_evidence_names_the_current_primary(self) -> None:
        for seed in range(60):
            wrong_beliefs, _ = run_simulation(seed)
            self.assertEqual(wrong_beliefs, [], f"seed {seed}")

    def test_evidence_is_valid_for_a_fifth_of_the_time(self) -> None:
        valid_beliefs = sum(run_simulation(seed)[1] for seed in range(10))
        steps = 10 * 3 * int(DURATION_S / STEP_S)
        self.assertGreater(valid_beliefs, steps * 0.2)
