"""Client of the platform's store."""

from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core import store_revisions
from knapweedtally.core import watching
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls
from knapweedtally.utils import http
from knapweedtally.utils import http_client

# Time without traffic after which the connection to the store is probed, in
# seconds. Three probes take less than the bound for a configuration.
KEEP_ALIVE_S = 1

# Timeout of a call to the store, in seconds, besides a watch's wait.
CALL_TIMEOUT_S = 1.0

_Sight = store_revisions.Sight


class StoreError(Exception):
    """A call to the store failed or had no usable response."""


class GenerationEnded(StoreError):  # noqa: N818 - named after the cause
    """The store came back from an older copy, so that a result doesn't hold."""


class StoreClient:
    """Make calls to the store and record whether it is available.

    Attributes:
        is_unavailable: whether the last call had no usable response.
        call_count: number of calls made.
        watch_wait_s: how long a watch call waits for a change.
        generation: the newest generation of the store that was seen.
    """

    def __init__(
        self,
        address: settings.Address,
        log: logs.Log,
        history_s: float = 0.0,
    ) -> None:
        """Create a client without connecting.

        Args:
            address: address of the store.
            log: where losses of the store are written.
            history_s: how long the store keeps changes, or 0 if unknown.
        """
        self.watch_wait_s = watching.compute_wait_s(history_s)
        self._client = http_client.Client(
            address.host,
            address.port,
            max_body_bytes=store_calls.MAX_ANSWER_BYTES,
            keepalive_interval_s=KEEP_ALIVE_S,
        )
        self._log = log
        self.is_unavailable = False
        self.call_count = 0
        self.generation = store_revisions.Generation()
        self._listeners: list[Callable[[], None]] = []
        self._answered_s = clock.get_time_s()
        self._is_unreadable_logged = False

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener when a new generation of the store is seen."""
        self._listeners.append(listener)

    async def send(
        self, request: http.Request, timeout_s: float = CALL_TIMEOUT_S
    ) -> store_calls.StoreAnswer:
        """Make one call and return the answer.

        Raises:
            StoreError: no answer arrived, the store is overloaded or
                unavailable (status 429 or 503), or the answer is of an earlier
                generation than one that was seen.
        """
        self.call_count += 1
        try:
            response = await self._client.send(request, timeout_s)
        except http.HttpError as error:
            self._record_failure(str(error))
            raise StoreError(str(error)) from error
        generation = self._record_generation(response)
        if response.status in (429, 503):
            self._record_failure(
                f"store refused the call: status {response.status}"
            )
            raise StoreError(
                f"store refused the call: status {response.status}"
            )
        if self.is_unavailable:
            self.is_unavailable = False
            self._log.write("dependency_regained", dependency="store")
        return store_calls.StoreAnswer(
            response.status, response.body, generation
        )

    def _record_generation(self, response: http.Response) -> int:
        """Record the generation of an answer, and return it.

        Raises:
            StoreError: it is earlier than one that was seen.
        """
        now_s = clock.get_time_s()
        known, answered_s = self.generation.number, self._answered_s
        number = self._parse_generation(response)
        sight = store_revisions.record_answer(self.generation, number, now_s)
        if sight is _Sight.OLDER:
            raise StoreError(
                f"answer of generation {number} of the store; {known} was seen"
            )
        self._answered_s = now_s
        if sight is _Sight.NEWER:
            self._log.write(
                "store_restored",
                generation=self.generation.number,
                former=known,
                silent_s=round(now_s - answered_s, 2),
            )
            for listener in self._listeners:
                supervision.contain("store generation", listener)
        return self.generation.number

    def _parse_generation(self, response: http.Response) -> int | None:
        try:
            return store_calls.parse_generation(response.headers)
        except store_calls.MalformedResponse as error:
            if not self._is_unreadable_logged:
                self._is_unreadable_logged = True
                self._log.write("generation_unreadable", reason=str(error))
            return None

    def _record_failure(self, reason: str) -> None:
        if not self.is_unavailable:
            self.is_unavailable = True
            self._log.write(
                "dependency_lost", dependency="store", reason=reason
            )


class Listing(NamedTuple):
    """All objects of one kind.

    Attributes:
        objects: the objects.
        revision: the store's revision before the listing.
    """

    objects: list[store_calls.StoredObject]
    revision: store_revisions.Revision


async def list_objects(client: StoreClient, kind: str) -> Listing:
    """List all objects of a kind.

    Raises:
        StoreError: a call failed or was refused.
        GenerationEnded: the pages are of two generations of the store.
        store_calls.MalformedResponse: a response can't be parsed.
    """
    objects: list[store_calls.StoredObject] = []
    after = None
    first_revision = None
    while True:
        request = store_calls.make_list_request(kind, after)
        page = store_calls.parse_page(await client.send(request))
        objects += page.objects
        # A watch from the first page's revision returns the changes made during
        # the listing again.
        if first_revision is None:
            first_revision = page.revision
        _check_generation(page.revision.generation, first_revision.generation)
        if not page.has_more or not page.objects:
            return Listing(objects, first_revision)
        after = page.objects[-1].name


async def replace_object(
    client: StoreClient,
    kind: str,
    name: str,
    spec: object,
    revision: store_revisions.Revision,
) -> store_calls.StoreAnswer:
    """Replace an object if it still has the revision.

    Raises:
        StoreError: the call failed or was refused.
        GenerationEnded: the revision is of an earlier generation, in which the
            same number stood for something else. If the call was made, it may
            have replaced the object.
    """
    _check_generation(client.generation.number, revision.generation)
    request = store_calls.make_replace_request(
        kind, name, spec, revision.number
    )
    answer = await client.send(request)
    _check_generation(answer.generation, revision.generation)
    return answer


async def create_object(
    client: StoreClient, kind: str, name: str, spec: object, generation: int
) -> store_calls.StoreAnswer:
    """Create an object that wasn't found in a generation of the store.

    Raises:
        StoreError: the call failed or was refused.
        GenerationEnded: a later generation has begun. If the call was made, it
            may have created the object.
    """
    _check_generation(client.generation.number, generation)
    request = store_calls.make_create_request(kind, name, spec)
    answer = await client.send(request)
    _check_generation(answer.generation, generation)
    return answer


def _check_generation(present: int, expected: int) -> None:
    if present != expected:
        raise GenerationEnded(
            f"the store came back from an older copy: generation {present} "
            f"follows {expected}"
        )
