"""What a host writes and reads again once the store came back from a copy."""

import asyncio
import random
from collections.abc import Awaitable
from collections.abc import Callable

from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import store
from knapweedtally.platform import store_calls

# The hosts' calls are spread so that at most this many hosts call in a second,
# a fraction of what the store takes, and over this time at least.
HOSTS_PER_S = 200.0
MIN_SPREAD_S = 0.5

# Delay after a failed call, in seconds.
RETRY_DELAY_S = 1.0

Action = Callable[[], Awaitable[None]]


class StoreReturns:
    """Run actions on each new generation of the store, spread over hosts."""

    def __init__(
        self,
        client: store.StoreClient,
        count_hosts: Callable[[], int],
        log: logs.Log,
    ) -> None:
        """Create it without actions.

        Args:
            client: the store's client.
            count_hosts: returns the number of live hosts.
            log: where failed calls are written.
        """
        self._client = client
        self._count_hosts = count_hosts
        self._log = log
        self._actions: dict[str, Action] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        client.add_listener(self._handle_return)

    def add(self, name: str, action: Action) -> None:
        """Run an action on each new generation, until it succeeds.

        Args:
            name: what it restores, for the log.
            action: may raise what a call to the store raises.
        """
        self._actions[name] = action

    def _handle_return(self) -> None:
        generation = self._client.generation.number
        for name, action in self._actions.items():
            task = asyncio.get_running_loop().create_task(
                self._run(name, action, generation)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(self, name: str, action: Action, generation: int) -> None:
        spread_s = max(MIN_SPREAD_S, self._count_hosts() / HOSTS_PER_S)
        await asyncio.sleep(random.uniform(0.0, spread_s))
        while generation == self._client.generation.number:
            try:
                await action()
                return
            except (store.StoreError, store_calls.MalformedResponse) as error:
                self._log.write(
                    "store_call_failed", kind=name, reason=str(error)
                )
            except Exception as error:
                supervision.report("store return", error)
            await asyncio.sleep(RETRY_DELAY_S)
