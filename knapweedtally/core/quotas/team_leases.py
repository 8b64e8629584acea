"""What one host holds and knows of one team's tokens."""

import collections
import dataclasses
import math

from knapweedtally.core.quotas import messages
from knapweedtally.core.quotas import rules
from knapweedtally.core.quotas import slices

# Time over which a host's recent use of tokens is averaged, in seconds.
USE_TIME_S = 1.0

# Hints for callers while no allocator has said when to retry, and the longest,
# in seconds.
UNKNOWN_RETRY_S = 0.3
MAX_HINT_S = 2.0


@dataclasses.dataclass(slots=True)
class SliceView:
    """What a host knows of a slice.

    Attributes:
        allocator: the host that grants from it.
        fill: part that was left at its last answer.
        retry_at_s: time before which the slice isn't asked.
        reply: name of the last reply, for the log.
    """

    allocator: str
    fill: float = 0.5
    retry_at_s: float = 0.0
    reply: str = ""


@dataclasses.dataclass(slots=True)
class PendingAsk:
    """A question that awaits its answer.

    Attributes:
        ask: the question.
        host: the allocator that was asked.
        data_centre: data centre of the slice.
        sent_s: when it was first sent.
        is_repeated: whether it was sent twice.
    """

    ask: messages.Ask
    host: str
    data_centre: str
    sent_s: float
    is_repeated: bool = False


@dataclasses.dataclass(slots=True)
class Waiter:
    """An operation that waits for a token.

    Attributes:
        id: number of the operation.
        until_s: until when it may wait.
    """

    id: int
    until_s: float


@dataclasses.dataclass(slots=True)
class TeamLeases:
    """Tokens, waiting operations and questions of one team on one host.

    Attributes:
        limit: the newest limit that the host knows.
        waiters: waiting operations, longest wait first.
        tokens: expiry times of the tokens at hand, in order.
        pending: the question that is awaited, or None.
        late: earlier questions whose answers still count, by id.
        views: what is known of the slices, by data centre.
        tried: data centres asked for the present waiters.
        silent: how many of those didn't respond.
        use: decayed number of recent operations.
        used_s: when ``use`` was updated.
        hint_at_s: when the caller that was refused last may retry.
        asked_s: when the last token at hand was asked for.
        allowance: the host's part of the tolerance.
        is_allowance_due: whether the limit or the known hosts changed since
            the allowance was computed.
        allowed: tokens of the allowance that are left.
        allowed_s: when ``allowed`` was updated.
    """

    limit: slices.Limit
    allowed_s: float
    waiters: collections.deque[Waiter] = dataclasses.field(
        default_factory=collections.deque
    )
    tokens: list[float] = dataclasses.field(default_factory=list)
    pending: PendingAsk | None = None
    late: dict[int, PendingAsk] = dataclasses.field(default_factory=dict)
    views: dict[str, SliceView] = dataclasses.field(default_factory=dict)
    tried: set[str] = dataclasses.field(default_factory=set)
    silent: int = 0
    use: float = 0.0
    used_s: float = 0.0
    hint_at_s: float = 0.0
    asked_s: float = 0.0
    allowance: slices.Allowance = slices.Allowance(0.0, 0.0)
    is_allowance_due: bool = True
    allowed: float = 0.0

    def take(self, now_s: float) -> float | None:
        """Take the token that expires first and return when, or None."""
        while self.tokens:
            expires_s = self.tokens.pop(0)
            if rules.is_valid(expires_s, now_s):
                return expires_s
        return None

    def put(self, expires_s: float, count: int, now_s: float) -> None:
        """Add tokens and drop the expired ones."""
        kept = [s for s in self.tokens if rules.is_valid(s, now_s)]
        self.tokens = sorted([*kept, *[expires_s] * count])

    def take_allowed(self, now_s: float) -> bool:
        """Take a token of the allowance, if one is left."""
        gained = max(0.0, now_s - self.allowed_s) * self.allowance.rate_per_s
        self.allowed = rules.limit_level(
            self.allowed + gained, self.allowance.capacity
        )
        self.allowed_s = now_s
        if self.allowed < 1:
            return False
        self.allowed -= 1
        return True

    def is_known_empty(self, now_s: float) -> bool:
        """Return whether a slice is known to have no token yet."""
        return any(
            view.reply == messages.Reply.EMPTY.name and now_s < view.retry_at_s
            for view in self.views.values()
        )

    def get_expected_s(self) -> float:
        """Return when a slice is expected to have a token, at the earliest."""
        return min(
            (view.retry_at_s for view in self.views.values()), default=math.inf
        )

    def record_use(self, now_s: float) -> None:
        """Count an operation."""
        self.use = self.use * self._get_decay(now_s) + 1
        self.used_s = now_s

    def get_use_per_s(self, now_s: float) -> float:
        """Return the recent operations a second."""
        return self.use * self._get_decay(now_s) / USE_TIME_S

    def _get_decay(self, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - self.used_s) / USE_TIME_S)

    def drop_late(self, now_s: float) -> None:
        """Forget questions whose tokens would have expired."""
        for id_, pending in tuple(self.late.items()):
            expires_s = rules.compute_expiry_s(pending.sent_s, now_s)
            if not rules.is_valid(expires_s, now_s):
                del self.late[id_]

    def compute_hint_s(self, slice_count: int, now_s: float) -> float:
        """Return when a refused caller may retry, later for each refusal.

        Each caller of this host is put behind the one refused before by the
        time in which a slice gains a token.
        """
        times = [view.retry_at_s for view in self.views.values()]
        first_s = min(times, default=now_s + UNKNOWN_RETRY_S)
        rate_per_s = max(self.limit.rate_per_s, 1e-6)
        gap_s = max(1, slice_count) / rate_per_s
        at_s = max(first_s, now_s, self.hint_at_s + gap_s)
        self.hint_at_s = min(at_s, now_s + MAX_HINT_S)
        return self.hint_at_s - now_s
