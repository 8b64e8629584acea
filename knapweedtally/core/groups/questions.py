"""Choose which members of a group a host asks for their status.

Answers the load of many hosts that miss the same evidence at once, as when a
primary fails: a few of them ask often and tell the others, who ask seldom.
Each question takes one of the target's slots.
"""

import dataclasses
from collections.abc import Collection

from knapweedtally.core.groups import evidence

# A host that asks for others does so when its evidence is this old, in
# seconds: what it tells them is then renewed in time.
ASK_AFTER_S = evidence.EVIDENCE_SPAN_S * 0.45

# The same for a host that hears from others: only when they fail to tell it.
ASK_ALONE_AFTER_S = evidence.EVIDENCE_SPAN_S * 0.8

# Pause between questions to all members while none is known to lead, in
# seconds, and between any questions of a host that others ask for.
SEARCH_S = 0.1
ALONE_PAUSE_S = evidence.EVIDENCE_SPAN_S * 0.5


@dataclasses.dataclass(slots=True)
class Questions:
    """Hold when a host may ask again, and whose turn it is.

    Attributes:
        next_s: when the next question is allowed.
        turn: counts questions to other members.
    """

    next_s: float = float("-inf")
    turn: int = 0


def list_due(
    questions: Questions,
    leadership: evidence.Leadership,
    members: Collection[str],
    is_asker: bool,
    now_s: float,
) -> list[str]:
    """Return the members to ask now, and note that they are asked.

    Args:
        questions: what was asked before.
        leadership: the evidence that is to be renewed.
        members: ids of all members.
        is_asker: whether this host asks for the others.
        now_s: the time.
    """
    if now_s < questions.next_s:
        return []
    if leadership.target is None or leadership.target not in members:
        due = list(members)
        pause_s = SEARCH_S if is_asker else ALONE_PAUSE_S
    else:
        due = _list_stale(questions, leadership, members, is_asker, now_s)
        pause_s = 0.0 if is_asker else ALONE_PAUSE_S
    if due:
        questions.next_s = now_s + pause_s
    return due


def _list_stale(
    questions: Questions,
    leadership: evidence.Leadership,
    members: Collection[str],
    is_asker: bool,
    now_s: float,
) -> list[str]:
    limit_s = ASK_AFTER_S if is_asker else ASK_ALONE_AFTER_S
    due = []
    if leadership.target and now_s - leadership.primary_seen_s > limit_s:
        due.append(leadership.target)
    others = [member for member in members if member != leadership.target]
    age_s = now_s - leadership.member_seen_s
    if others and age_s > limit_s:
        questions.turn += 1
        has_expired = age_s > evidence.EVIDENCE_SPAN_S
        if has_expired and not is_asker:
            # It takes all of them, and the next question is far.
            due += others
        else:
            due.append(others[questions.turn % len(others)])
    return due
