"""The hosts' entries in the store, by which they find each other."""

from typing import Any
from typing import NamedTuple

from knapweedtally.entry.fleet import peer_messages
from knapweedtally.entry.fleet import store
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls

HOSTS_KIND = "knapweedtally-hosts"

# Field of an entry that marks a host which its data centre no longer hears. The
# host removes it when it starts again.
SILENT_FIELD = "silent"


class ListedHost(NamedTuple):
    """A host that has registered itself.

    Attributes:
        name: name of the host.
        address: where it receives datagrams.
        data_centre: its data centre.
        is_silent: whether its data centre no longer heard it.
    """

    name: str
    address: tuple[str, int]
    data_centre: str
    is_silent: bool = False


def make_spec(address: settings.Address, data_centre: str) -> dict[str, Any]:
    """Return the value of a host's entry."""
    return {
        "host": address.host,
        "port": address.port,
        "data_centre": data_centre,
    }


async def register_host(
    client: store.StoreClient, name: str, spec: dict[str, Any]
) -> None:
    """Write a host's entry.

    Raises:
        store.StoreError: a call failed or was refused.
        store_calls.MalformedResponse: a response can't be parsed.
    """
    request = store_calls.make_create_request(HOSTS_KIND, name, spec)
    answer = await client.send(request)
    if answer.status != 409:
        return
    # The object was created before a restart of this host, whose address may
    # have changed since.
    stored = store_calls.parse_object(answer)
    if stored.spec != spec:
        await store.replace_object(
            client, HOSTS_KIND, name, spec, stored.revision
        )


async def restore_host(
    client: store.StoreClient, name: str, spec: dict[str, Any]
) -> None:
    """Write a host's entry if the store has lost or changed it.

    Raises:
        store.StoreError: a call failed or was refused.
        store_calls.MalformedResponse: a response can't be parsed.
    """
    request = store_calls.make_read_request(HOSTS_KIND, name)
    answer = await client.send(request)
    if answer.status == 404:
        await store.create_object(
            client, HOSTS_KIND, name, spec, answer.generation
        )
        return
    stored = store_calls.parse_object(answer)
    if stored.spec != spec:
        await store.replace_object(
            client, HOSTS_KIND, name, spec, stored.revision
        )


async def mark_host(
    client: store.StoreClient, name: str, is_silent: bool
) -> None:
    """Mark a host's entry, or remove the mark.

    An entry that the host itself changes meanwhile is left as it is.

    Raises:
        store.StoreError: a call failed or was refused.
        store_calls.MalformedResponse: a response can't be parsed.
    """
    request = store_calls.make_read_request(HOSTS_KIND, name)
    answer = await client.send(request)
    if answer.status != 200:
        return
    stored = store_calls.parse_object(answer)
    if not isinstance(stored.spec, dict):
        return
    spec = {k: v for k, v in stored.spec.items() if k != SILENT_FIELD}
    if is_silent:
        spec[SILENT_FIELD] = True
    if spec != stored.spec:
        await store.replace_object(
            client, HOSTS_KIND, name, spec, stored.revision
        )


async def list_hosts(client: store.StoreClient) -> list[ListedHost]:
    """Return all hosts with a valid entry.

    Raises:
        store.StoreError: a call failed or was refused.
        store_calls.MalformedResponse: a response can't be parsed.
    """
    listing = await store.list_objects(client, HOSTS_KIND)
    parsed = [_parse_host(stored) for stored in listing.objects]
    return [host for host in parsed if host is not None]


def _parse_host(stored: store_calls.StoredObject) -> ListedHost | None:
    spec = stored.spec
    if not isinstance(spec, dict):
        return None
    host, port = spec.get("host"), spec.get("port")
    data_centre = spec.get("data_centre")
    if not isinstance(host, str) or not isinstance(port, int):
        return None
    if not isinstance(data_centre, str):
        return None
    if not peer_messages.is_address(host, port):
        return None
    is_silent = spec.get(SILENT_FIELD) is True
    return ListedHost(stored.name, (host, port), data_centre, is_silent)
