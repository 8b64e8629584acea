"""Upkeep of the records of groups' members in the store."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.core.groups import former_members
from knapweedtally.core.groups import last_primary
from knapweedtally.core.groups import member_records
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import store
from knapweedtally.platform import store_calls

MEMBERS_KIND = "knapweedtally-members"

# Interval at which a group's members are compared with its record, in seconds.
CHECK_INTERVAL_S = 0.5

# Interval at which a host that isn't a recorder reads the record again while it
# counts a member only because of the record, in seconds.
UNCONFIRMED_INTERVAL_S = 2.0

# Delay after a call to the store failed, in seconds.
RETRY_DELAY_S = 1.0

# Time within which a host that starts reports that it is ready even if the
# members aren't recorded, in seconds.
SETTLING_TIME_S = 2.0

# Writes that are tried in a row while other hosts change the record.
MAX_WRITES = 3


@dataclasses.dataclass(slots=True)
class GroupRecord:
    """What this host knows of one group's record.

    Attributes:
        members: the recorded members by id.
        revision: revision of the record, of the number 0 if it doesn't exist,
            or None if it has to be read.
        next_check_s: when the members are next compared with the record.
        differs_since_s: since when they differ, or None.
        primary: the recorded last primary, or None.
    """

    members: member_records.Members = dataclasses.field(default_factory=dict)
    revision: store_revisions.Revision | None = None
    next_check_s: float = 0.0
    differs_since_s: float | None = None
    primary: last_primary.LastPrimary | None = None


class MemberRecords:
    """Record the members of groups, and learn of members from the records.

    The recorders of a group, the first of its hosts in rank, write its record
    when the members that they know change. Every host reads the records before
    it lists the targets, since evidence about a primary counts only if all
    members are known; and again when it has fenced a group's members.
    """

    def __init__(
        self,
        client: store.StoreClient,
        catalog: catalog_module.Catalog,
        get_rank: Callable[[str], int],
        wait_for_ranks: Callable[[], Awaitable[None]],
        find_last_primary: Callable[[str], last_primary.LastPrimary | None],
        log: logs.Log,
    ) -> None:
        """Start without having read a record.

        Args:
            client: the store's client.
            catalog: the known targets.
            get_rank: returns this host's rank for a group.
            wait_for_ranks: returns once the other hosts have been listed.
            find_last_primary: returns the last primary of a group that this
                host knows, or None.
            log: where changes of a record are written.
        """
        self._client = client
        self._catalog = catalog
        self._get_rank = get_rank
        self._wait_for_ranks = wait_for_ranks
        self._find_last_primary = find_last_primary
        self._log = log
        self._records: dict[str, GroupRecord] = {}
        self._started_s = clock.get_time_s()
        self._is_settled = False
        self._syncing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def check_groups(self, groups: Iterable[str], now_s: float) -> None:
        """Start to read or write the records for which that is due."""
        for group in groups:
            record = self._records.setdefault(group, GroupRecord())
            if group in self._syncing or now_s < record.next_check_s:
                continue
            record.next_check_s = now_s + CHECK_INTERVAL_S
            if self._is_due(group, record, now_s):
                self._syncing.add(group)
                task = asyncio.get_running_loop().create_task(
                    self._run_sync(group, record)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _is_due(self, group: str, record: GroupRecord, now_s: float) -> bool:
        if (
            record.revision is not None
            and record.revision.generation != self._client.generation.number
        ):
            # The store may have come back without the last writes.
            record.revision = None
        if self.is_recorder(group):
            return self._is_change_due(group, record, now_s)
        # The record may have changed when this host becomes a recorder.
        record.revision = None
        if former_members.has_unconfirmed(self._catalog, group):
            record.next_check_s = now_s + UNCONFIRMED_INTERVAL_S
            return True
        return False

    def is_recorder(self, group: str) -> bool:
        """Return whether this host keeps a group's record up to date."""
        return self._get_rank(group) < member_records.RECORDERS_PER_GROUP

    def is_settled(self) -> bool:
        """Return whether this host's members are recorded if that is its task.

        An unavailable store, or other hosts that aren't listed, delay this for
        a limited time only.
        """
        now_s = clock.get_time_s()
        if self._is_settled or now_s - self._started_s > SETTLING_TIME_S:
            return True
        self._is_settled = bool(self._records) and all(
            not self.is_recorder(group)
            or (
                record.revision is not None
                and record.revision.number
                and not self._has_other_members(group, record)
            )
            for group, record in self._records.items()
        )
        return self._is_settled

    def _is_change_due(
        self, group: str, record: GroupRecord, now_s: float
    ) -> bool:
        if not catalog_module.list_members(self._catalog, group):
            return False
        if record.revision is not None and not self._plan_change(group, record):
            record.differs_since_s = None
            return False
        if record.differs_since_s is None:
            record.differs_since_s = now_s
        delay_s = self._get_rank(group) * member_records.RECORDER_DELAY_S
        return now_s - record.differs_since_s >= delay_s

    def _plan_change(
        self, group: str, record: GroupRecord
    ) -> member_records.RecordChange | None:
        return member_records.plan_change(
            record.members,
            catalog_module.list_members(self._catalog, group),
            self._catalog.released,
            record.primary,
            self._find_last_primary(group),
            self._client.generation.number,
        )

    def _has_other_members(self, group: str, record: GroupRecord) -> bool:
        """Return whether the recorded members aren't those of this host."""
        change = self._plan_change(group, record)
        return change is not None and bool(change.added or change.removed)

    async def _run_sync(self, group: str, record: GroupRecord) -> None:
        try:
            await self._wait_for_ranks()
            if self.is_recorder(group) or former_members.has_unconfirmed(
                self._catalog, group
            ):
                await self._sync(group, record)
        except (store.StoreError, store_calls.MalformedResponse) as error:
            # The call may have been executed.
            record.revision = None
            record.next_check_s = clock.get_time_s() + RETRY_DELAY_S
            self._log.write(
                "store_call_failed", kind=MEMBERS_KIND, reason=str(error)
            )
        except Exception as error:
            record.revision = None
            record.next_check_s = clock.get_time_s() + RETRY_DELAY_S
            supervision.report("member record", error)
        finally:
            self._syncing.discard(group)

    async def _sync(self, group: str, record: GroupRecord) -> None:
        if record.revision is None:
            answer = await self._read(group)
            self._apply(group, record, _parse_stored(answer), answer.generation)
        if not self.is_recorder(group):
            return
        for _ in range(MAX_WRITES):
            change = self._plan_change(group, record)
            if change is None:
                return
            members = member_records.apply_change(record.members, change)
            primary = change.primary or record.primary
            spec = member_records.format_record(members, primary)
            assert record.revision is not None
            answer = await self._write(group, spec, record.revision)
            self._apply(group, record, _parse_stored(answer), answer.generation)
            if record.members.keys() == members.keys():
                self._log.write(
                    "members_recorded",
                    group=group,
                    added=[entry.target for entry in change.added],
                    removed=list(change.removed),
                )

    def _apply(
        self,
        group: str,
        record: GroupRecord,
        stored: store_calls.StoredObject | None,
        generation: int,
    ) -> None:
        """Take over what the store has, or None if it has no record."""
        members = (
            member_records.parse_record(group, stored.spec, generation)
            if stored
            else {}
        )
        if members is None:
            self._log.write("member_record_unreadable", group=group)
            members = {}
        record.members = members
        record.primary = self._take_primary(group, stored)
        record.revision = (
            stored.revision
            if stored
            else store_revisions.Revision(generation, 0)
        )
        released = self._catalog.released if self.is_recorder(group) else ()
        self._apply_members(
            group,
            {t: e for t, e in members.items() if t not in released},
            generation,
        )

    def _take_primary(
        self, group: str, stored: store_calls.StoredObject | None
    ) -> last_primary.LastPrimary | None:
        """Take over the recorded last primary, and return it."""
        primary = member_records.parse_primary(stored.spec) if stored else None
        if primary is not None:
            self._catalog.recorded_primaries[group] = primary
        return primary

    def _apply_members(
        self, group: str, members: member_records.Members, generation: int
    ) -> None:
        dropped = former_members.drop_unrecorded(
            self._catalog, group, members, generation
        )
        added = former_members.add_unlisted(
            self._catalog, members.values(), clock.get_time_s()
        )
        if added or dropped:
            self._log.write(
                "members_read", group=group, added=added, dropped=dropped
            )

    async def refresh(self) -> None:
        """Read all records, and add the members that aren't known here.

        Raises:
            store.StoreError: a call failed or was refused.
            store_calls.MalformedResponse: a response can't be parsed.
        """
        for stored in await self._list():
            generation = stored.revision.generation
            members = member_records.parse_record(
                stored.name, stored.spec, generation
            )
            if members is None:
                self._log.write("member_record_unreadable", group=stored.name)
            else:
                self._take_primary(stored.name, stored)
                self._apply_members(stored.name, members, generation)

    async def _list(self) -> list[store_calls.StoredObject]:
        return (await store.list_objects(self._client, MEMBERS_KIND)).objects

    async def _read(self, group: str) -> store_calls.StoreAnswer:
        request = store_calls.make_read_request(MEMBERS_KIND, group)
        answer = await self._client.send(request)
        if answer.status not in (200, 404):
            raise store.StoreError(
                f"store answered a record's read with {answer.status}"
            )
        return answer

    async def _write(
        self,
        group: str,
        spec: dict[str, Any],
        revision: store_revisions.Revision,
    ) -> store_calls.StoreAnswer:
        """Write a record, and return what the store then has.

        That is another record if the revision isn't current.
        """
        if revision.number:
            answer = await store.replace_object(
                self._client, MEMBERS_KIND, group, spec, revision
            )
        else:
            answer = await store.create_object(
                self._client, MEMBERS_KIND, group, spec, revision.generation
            )
        if answer.status not in (200, 201, 409):
            raise store.StoreError(
                f"store answered a record's write with {answer.status}"
            )
        return answer


def _parse_stored(
    answer: store_calls.StoreAnswer,
) -> store_calls.StoredObject | None:
    """Return the record in an answer, or None if the store has none."""
    return None if answer.status == 404 else store_calls.parse_object(answer)
