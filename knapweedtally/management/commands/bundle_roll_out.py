"""Roll out a signed bundle."""

import random
import uuid
from typing import Any

import anyio
from cleo.io.inputs import argument
from cleo.io.inputs import option

from knapweedtally.core.bundles import signatures
from knapweedtally.management import admin_client
from knapweedtally.management import base
from knapweedtally.management import bundle_io
from knapweedtally.management import exit_codes
from knapweedtally.management import options
from knapweedtally.management import roll_outs
from knapweedtally.store import client as platform_client

DEFAULT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2

EXIT_CODES = {
    roll_outs.Outcome.ACCEPTED: exit_codes.OK,
    roll_outs.Outcome.REFUSED: exit_codes.CONFLICT,
    roll_outs.Outcome.NOT_SENT: exit_codes.UNREACHABLE,
    roll_outs.Outcome.UNKNOWN: exit_codes.UNKNOWN_OUTCOME,
}


class BundleRollOutCommand(base.BaseCommand):
    """Roll out a signed bundle by one conditional update."""

    name = "bundle roll-out"
    description = (
        "Roll out a signed bundle, optionally waiting until it is in force."
    )
    arguments = [argument.Argument("file", description="signed bundle")]
    options = [
        options.make_option("platform-address"),
        options.make_option("bundle-keys"),
        option.Option(
            "operation",
            flag=False,
            description="operation id of an earlier roll-out to retry",
        ),
        option.Option(
            "timeout-s",
            flag=False,
            description="timeout in seconds for the roll-out, and again for "
            "--wait",
            default=str(DEFAULT_TIMEOUT_S),
        ),
        option.Option(
            "wait",
            flag=True,
            description="wait until every live host reports the version in "
            "force; needs --admin-url",
        ),
        *admin_client.OPTIONS,
        base.JSON_OPTION,
    ]
    examples = (
        "knapweedtally bundle roll-out signed.json",
        "knapweedtally bundle roll-out signed.json --wait"
        " --admin-url http://127.0.1.2:7200",
    )

    def run_command(self) -> int:
        """Roll out the bundle and print the outcome."""
        timeout_s = self._parse_timeout_s()
        value = bundle_io.load_bundle(self.argument("file"))
        self._check_signature(value)
        client = admin_client.make_client(self) if self.option("wait") else None
        result = self._roll_out(value, timeout_s)
        self.write_values({**result._asdict(), "outcome": result.outcome.value})
        if client and result.outcome is roll_outs.Outcome.ACCEPTED:
            anyio.run(wait_until_in_force, client, result.version, timeout_s)
        return EXIT_CODES[result.outcome]

    def _roll_out(
        self, value: dict[str, Any], timeout_s: float
    ) -> roll_outs.Result:
        operation = self.option("operation")

        async def run(
            client: platform_client.PlatformClient,
        ) -> roll_outs.Result:
            roll_out = roll_outs.RollOut(
                client,
                value,
                operation or uuid.uuid4().hex,
                random.Random(),
                is_retry=bool(operation),
            )
            return await roll_out.run(timeout_s)

        return bundle_io.run_with_platform(self, run)

    def _check_signature(self, value: dict[str, Any]) -> None:
        keys = options.load_setting(self, "bundle-keys")
        reason = signatures.verify_signature(value, keys)
        if reason:
            raise base.CommandError(
                f"{self.argument('file')}: {reason}; sign it with 'bundle "
                "sign' by an operator whose key is in --bundle-keys",
                exit_codes.INVALID,
            )

    def _parse_timeout_s(self) -> float:
        text = self.option("timeout-s")
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = 0.0
        if not 0 < timeout_s <= 3600:
            raise base.CommandError(
                f"--timeout-s: {text!r}: use a number of seconds up to 3600",
                exit_codes.INVALID,
            )
        return timeout_s


async def wait_until_in_force(
    client: admin_client.AdminClient, version: int, timeout_s: float
) -> None:
    """Wait until every live host has at least this version in force.

    Raises:
        base.CommandError: the timeout passed; the message names the hosts
            that lag behind.
    """
    lagging = ["every host"]
    with anyio.move_on_after(timeout_s):
        while lagging:
            lagging = await _list_lagging_hosts(client, version)
            if lagging:
                await anyio.sleep(POLL_INTERVAL_S)
    await client.close()
    if lagging:
        raise base.CommandError(
            f"version {version} was accepted, but is not known to be in force "
            f"on {', '.join(lagging)}; look again with 'bundle status'",
            exit_codes.FAILED,
        )


async def _list_lagging_hosts(
    client: admin_client.AdminClient, version: int
) -> list[str]:
    """Return the names of live hosts whose version is lower.

    If the API can't be reached, the only item is the error message.
    """
    try:
        answer = await client.call("GET", "/v1/bundle")
    except base.CommandError as error:
        if error.exit_code != exit_codes.UNREACHABLE:
            raise
        return [str(error)]
    return [
        host["name"]
        for host in answer["hosts"]
        if host["status"] == "live" and host["version"] < version
    ]
