"""What the commands on bundles share: loading files and the platform."""

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


def load_file(name: str) -> dict[str, Any]:
    """Return the plain form of a file that passes all checks.

    Raises:
        base.CommandError: there are mistakes; names all of them.
    """
    try:
        return normalise(bundle_files.load_bundle_file(name))
    except (
        yaml_files.YamlFileError,
        bundle_files.BundleFileError,
        codec.MalformedBundleError,
    ) as error:
        raise base.CommandError(str(error), exit_codes.INVALID) from error


def normalise(value: dict[str, Any]) -> dict[str, Any]:
    """Return a plain form with every default written out.

    A file that already has a signature is returned as it is, because the
    signature covers its present form.
    """
    bundle = codec.parse_bundle({"signer": "", **value})
    return value if value.get("signature") else codec.dump_bundle(bundle)


def run_with_platform(
    command: Any,
    work: Callable[[platform_client.PlatformClient], Awaitable[_Result]],
) -> _Result:
    """Run a command's work with a client of the platform.

    Raises:
        base.CommandError: the platform gives no answer.
    """
    address = options.load_value(command, "platform-address")

    async def run() -> _Result:
        client = platform_client.PlatformClient(address)
        try:
            return await work(client)
        except platform_client.PlatformError as error:
            raise base.CommandError(
                f"platform {address}: {error}", exit_codes.UNREACHABLE
            ) from error
        finally:
            await client.close()

    return anyio.run(run)


async def read_current(
    client: platform_client.PlatformClient,
) -> platform_client.PlatformObject:
    """Return the object that holds the current bundle."""
    return await client.get_object(roll_outs.KIND, roll_outs.NAME)
