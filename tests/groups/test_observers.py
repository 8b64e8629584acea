"""Hosts that watch a group whose primary changes, drawn from seeds.

The old primary is not told of the change, and a member that was let go by a
promotion learns of it late: both still answer as before it.
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
    """Hold what one target would answer."""

    term: int = 1
    leads: bool = False
    paused_for: int = 0
    learns_s: float = 0.0


class Group:
    """Change the primary again and again, each time behind a full fence."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.members = {name: Member() for name in "pab"}
        self.members["p"].leads = True
        self.primary = "p"
        self.term = 1
        self.steps: list[tuple[float, str]] = []
        self.next_change_s = 2.0

    def tick(self, now_s: float) -> None:
        """Go on with the change under way, or begin one."""
        if not self.steps and now_s >= self.next_change_s:
            self._plan(now_s)
        while self.steps and self.steps[0][0] <= now_s:
            self._do(self.steps.pop(0)[1], now_s)
        for name, member in self.members.items():
            if name != self.primary and now_s >= member.learns_s:
                member.term = self.term
                member.leads = False

    def _plan(self, now_s: float) -> None:
        others = [name for name in self.members if name != self.primary]
        if any(self.members[name].term < self.term for name in others):
            return
        fenced_s = now_s
        for name in others:
            fenced_s += self.chance.uniform(0.0, 0.3)
            self.steps.append((fenced_s, name))
        took_s = self.chance.uniform(0.1, 1.0)
        effect_s = fenced_s + evidence.EVIDENCE_SPAN_S + took_s
        self.steps.append((effect_s, "promote"))

    def _do(self, step: str, now_s: float) -> None:
        if step != "promote":
            self.members[step].paused_for = self.term + 1
            return
        others = [name for name in self.members if name != self.primary]
        self.primary = self.chance.choice(others)
        self.term += 1
        for name, member in self.members.items():
            member.paused_for = 0
            member.learns_s = now_s + self.chance.choice((0.0, 0.3, 1.5))
            if name == self.primary:
                member.term, member.leads = self.term, True
        self.next_change_s = now_s + self.chance.uniform(0.0, 2.0)


class Observer:
    """Ask members now and then, some of them never, and keep evidence."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.leadership = evidence.Leadership()
        self.reaches = {name: chance.random() < 0.8 for name in "pab"}
        self.pace = chance.choice((0.02, 0.08, 0.3))
        self.pending: list[tuple[float, float, str, Member]] = []

    def tick(self, group: Group, now_s: float) -> None:
        """Ask members and take the answers that are due."""
        if self.chance.random() < 0.01:
            name = self.chance.choice("pab")
            self.reaches[name] = not self.reaches[name]
        for name, member in group.members.items():
            if self.reaches[name] and self.chance.random() < self.pace:
                seen = dataclasses.replace(member)
                asked_s = now_s - self.chance.uniform(0.0, 0.2)
                answered_s = now_s + self.chance.uniform(0.0, 0.2)
                self.pending.append((answered_s, asked_s, name, seen))
        for item in [item for item in self.pending if item[0] <= now_s]:
            self.pending.remove(item)
            self._take(item[2], item[3], item[1], now_s)

    def _take(
        self, name: str, seen: Member, asked_s: float, now_s: float
    ) -> None:
        leadership = self.leadership
        if seen.leads:
            evidence.note_primary(leadership, name, seen.term, asked_s)
        elif name == leadership.target or seen.term > leadership.term:
            evidence.note_no_primary(leadership, name, seen.term)
        else:
            evidence.note_member(
                leadership, name, "pab", seen.paused_for, asked_s, now_s
            )
        evidence.note_term(leadership, name, seen.term, asked_s)


def play(seed: int) -> tuple[list[str], int]:
    """Return what observers believed wrongly, and how often they knew."""
    chance = random.Random(seed)
    group = Group(chance)
    observers = [Observer(chance) for _ in range(3)]
    wrong: list[str] = []
    known = 0
    for step in range(int(DURATION_S / STEP_S)):
        now_s = 100.0 + step * STEP_S
        group.tick(now_s - 100.0)
        for number, observer in enumerate(observers):
            observer.tick(group, now_s)
            leadership = observer.leadership
            if leadership.target is None or leadership.valid_until_s < now_s:
                continue
            known += 1
            if leadership.term != group.term:
                wrong.append(f"{number} at {now_s:.2f}: {leadership.target}")
        _share(observers, chance, now_s)
    return wrong, known


def _share(
    observers: list[Observer], chance: random.Random, now_s: float
) -> None:
    if chance.random() > 0.05:
        return
    teller, listener = chance.sample(observers, 2)
    evidence.note_position(
        teller.leadership,
        teller.leadership.target or "",
        model.Position(teller.leadership.term, 1),
        teller.leadership.primary_seen_s,
    )
    shared = sharing.make_shared("g", teller.leadership, 0.0, now_s)
    if shared is not None:
        sharing.merge_shared(listener.leadership, shared, now_s - 0.01)


class ObserverTest(testtools.TestCase):
    """Evidence that holds is right, whatever was seen and heard."""

    def test_valid_evidence_names_the_primary_in_force(self) -> None:
        for seed in range(60):
            wrong, _ = play(seed)
            self.assertEqual(wrong, [], f"seed {seed}")

    def test_evidence_holds_most_of_the_time(self) -> None:
        known = sum(play(seed)[1] for seed in range(10))
        steps = 10 * 3 * int(DURATION_S / STEP_S)
        self.assertGreater(known, steps * 0.2)
