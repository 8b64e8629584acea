"""The team of a caller's session, by its key and the configuration."""

from knapweedtally.core.groups import statements
from knapweedtally.core.teams import identification
from knapweedtally.entry.common import clock
from knapweedtally.entry.statements import services as services_module

_Code = statements.Code

# Reason of a transaction's abort after its key went to another team.
TEAM_CHANGED = "the key belongs to another team now"


class SessionIdentity:
    """Identify the caller of one session.

    The key is kept in memory only, and never written to a log.

    Attributes:
        team: name of the caller's team; stays after its key was revoked, so
            that nothing that is still running moves to another team.
        refusal: why statements of the session are refused, or None.
    """

    def __init__(self, services: services_module.Services) -> None:
        """Create the identity of a session that hasn't started."""
        self.team = ""
        self.refusal: identification.Refusal | None = None
        self._services = services
        self._database = ""
        self._key = ""
        self._is_public = False
        self._version: int | None = None

    def start(self, database: str, key: str) -> None:
        """Identify the caller by the key that it gave at its start."""
        self._database = database
        self._key = key
        self.update()

    def update(self) -> bool:
        """Identify the caller again if the configuration has changed.

        Returns:
            Whether the team or the refusal changed.
        """
        configuration = self._services.catalog.configuration
        if configuration is None or configuration.version == self._version:
            return False
        self._version = configuration.version
        route = configuration.routes.get(self._database)
        if route is not None:
            # A session whose route was removed keeps the rule of its route.
            self._is_public = route.is_public
        former = (self.team, self.refusal)
        result = identification.identify_again(
            configuration, self._is_public, self._key, self.team
        )
        self.refusal = result.refusal
        if result.refusal is None:
            self.team = result.team
        return (self.team, self.refusal) != former

    def record_start_refusal(self) -> None:
        """Log and count that the session was refused at its start."""
        refusal = self._count_refusal()
        self._services.log.write(
            "session_ended",
            database=self._database,
            reason=refusal.value,
            code=_Code.UNAUTHENTICATED.name,
            **self._describe(),
        )

    def record_refusal(self, statement: statements.Statement) -> None:
        """Log and count that a statement was refused for its key."""
        refusal = self._count_refusal()
        self._services.log.write(
            "statement_refused",
            id=statement.id.decode("ascii", "replace"),
            database=self._database,
            code=_Code.UNAUTHENTICATED.name,
            reason=refusal.value,
            **self._describe(),
        )

    def record_abort(self, reason: str) -> None:
        """Log and count that the session's transaction was rolled back."""
        label = self.refusal.name if self.refusal else "TEAM_CHANGED"
        self._services.counters.increment("transactions_aborted", label)
        self._services.log.write(
            "transaction_aborted",
            database=self._database,
            reason=reason,
            **self._describe(),
        )

    def _count_refusal(self) -> identification.Refusal:
        assert self.refusal is not None
        counters = self._services.counters
        counters.increment("refused", self.refusal.name)
        counters.increment_team("team_refused", self.team)
        return self.refusal

    def _describe(self) -> dict[str, object]:
        """Return log fields that say what the identification was based on."""
        age_s = self._services.configuration.get_age_s(clock.get_time_s())
        return {
            "team": self.team,
            "key": identification.describe_key(self._key),
            "configuration": self._version,
            "configuration_age_ms": round(age_s * 1000),
        }
