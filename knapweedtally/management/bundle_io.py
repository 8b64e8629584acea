"""Access to bundle files and to the platform for the bundle commands."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TypeVar

import anyio

from knapweedtally.core.bundles import codec
from knapweedtally.management import base
from knapweedtally.management import bundle_files
from knapweedtally.management import exit_codes
from knapweedtally.management import options
from knapweedtally.management import roll_outs
from knapweedtally.management import yaml_files
from knapweedtally.store import client as platform_client

_Result = TypeVar("_Result")


def load_bundle(name: str) -> dict[str, Any]:
    """Load a bundle file and return its plain form if it is valid.

    Raises:
        base.CommandError: the file has problems; the message lists all of
            them.
    """
    try:
        return normalise_bundle(bundle_files.load_bundle_file(name))
    except (
        yaml_files.YamlFileError,
        bundle_files.BundleFileError,
        codec.MalformedBundleError,
    ) as error:
        raise base.CommandError(str(error), exit_codes.INVALID) from error


def normalise_bundle(value: dict[str, Any]) -> dict[str, Any]:
    """Return a plain form with all default values filled in.

    A signed bundle is returned unchanged, because the signature covers its
    present form.
    """
    bundle = codec.parse_bundle({"signer": "", **value})
    return value if value.get("signature") else codec.dump_bundle(bundle)


def run_with_platform(
    command: Any,
    function: Callable[[platform_client.PlatformClient], Awaitable[_Result]],
) -> _Result:
    """Run a function with a platform client and return its result.

    Args:
        command: command whose options name the platform's address.
        function: called with the client, which is closed afterwards.

    Raises:
        base.CommandError: a call to the platform failed.
    """
    address = options.load_setting(command, "platform-address")

    async def run() -> _Result:
        client = platform_client.PlatformClient(address)
        try:
            return await function(client)
        except platform_client.PlatformError as error:
            raise base.CommandError(
                f"platform {address}: {error}", exit_codes.UNREACHABLE
            ) from error
        finally:
            await client.close()

    return anyio.run(run)


async def read_current_bundle(
    client: platform_client.PlatformClient,
) -> platform_client.PlatformObject:
    """Return the platform's object that holds the current bundle."""
    return await client.get_object(roll_outs.OBJECT_KIND, roll_outs.OBJECT_NAME)
