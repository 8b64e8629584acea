"""Control commands, called as ``SELECT kt_NAME(...)``."""

import base64
import json
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import cbor2

from standins.target import errors
from standins.target import instance as instances
from standins.target import log as logs
from standins.target import sql
from standins.target import target as targets

# A pull is answered after this time even without new entries.
HEARTBEAT_INTERVAL_S = 0.05
MS_PER_SECOND = 1000.0

Argument = int | float | str
Handler = Callable[[targets.Target, Sequence[Argument]], Awaitable[str]]


class UnknownCommandError(errors.TargetError):
    """The control command does not exist."""

    sqlstate = "42883"


class CommandArgumentError(errors.TargetError):
    """The arguments of a control command are not valid."""

    sqlstate = "22023"


async def run(
    target: targets.Target,
    statement: sql.ParsedStatement,
    parameters: Sequence[logs.Value],
) -> str:
    """Run a control command and return its answer as JSON text.

    Raises:
        errors.TargetError: the command failed.
    """
    name = statement.tokens[1].text.lower()
    handler = _HANDLERS.get(name)
    if handler is None:
        raise UnknownCommandError(
            f"no command {name}; known are {', '.join(sorted(_HANDLERS))}"
        )
    try:
        return await handler(target, _read_arguments(statement, parameters))
    except (ValueError, IndexError, TypeError) as error:
        raise CommandArgumentError(
            f"arguments of {name} are not valid: {error}"
        ) from error


def encode_pull(request: logs.PullRequest) -> str:
    """Encode a pull request as the argument of the pull command."""
    return _encode_tuple(request)


def decode_pull_answer(text: str) -> logs.PullAnswer:
    """Decode the answer to a pull.

    Raises:
        ValueError: the text is not an encoded answer.
    """
    answer = logs.PullAnswer(*cbor2.loads(base64.b64decode(text)))
    return answer._replace(
        entries=tuple(_decode_entry(item) for item in answer.entries)
    )


def _decode_entry(item: Sequence[object]) -> logs.Entry:
    term, offset, statements = item
    return logs.Entry(
        term,  # type: ignore[arg-type]
        offset,  # type: ignore[arg-type]
        tuple(
            logs.Statement(statement, tuple(parameters))
            for statement, parameters in statements  # type: ignore[attr-defined]
        ),
    )


def _encode_tuple(message: tuple[object, ...]) -> str:
    return base64.b64encode(cbor2.dumps(message)).decode()


def _read_arguments(
    statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
) -> list[Argument]:
    arguments: list[Argument] = []
    sign = 1
    for token in statement.tokens[3:]:
        if token.text == "-":
            sign = -1
        elif token.kind == "number":
            arguments.append(sign * json.loads(token.text))
            sign = 1
        elif token.kind == "string":
            arguments.append(sql.unquote(token))
        elif token.kind == "parameter":
            value = parameters[int(token.text[1:]) - 1]
            arguments.append(value)  # type: ignore[arg-type]
    return arguments


def _format_answer(answer: instances.ControlAnswer) -> str:
    return json.dumps(answer._asdict())


async def _get_status(
    target: targets.Target, arguments: Sequence[Argument]
) -> str:
    return json.dumps(target.get_status())


async def _install_term(
    target: targets.Target, arguments: Sequence[Argument]
) -> str:
    term, operation = arguments
    return _format_answer(target.install_term(int(term), str(operation)))


async def _promote_instance(
    target: targets.Target, arguments: Sequence[Argument]
) -> str:
    term, operation = arguments
    return _format_answer(target.promote(int(term), str(operation)))


async def _follow_primary(
    target: targets.Target, arguments: Sequence[Argument]
) -> str:
    term, primary, host, port = arguments
    address = targets.Address(str(host), int(port))
    return _format_answer(target.follow(int(term), str(primary), address))


async def _hold_writes(
    target: targets.Target, arguments: Sequence[Argument]
) -> str:
    """Refuse new writes and wait until no write transaction is open."""
    term, milliseconds = int(arguments[0]), float(arguments[1])
    instance = target.instance
    answer = instance.hold(term, milliseconds, time.monotonic())
    if not answer.is_accepted:
        return _format_answer(answer)
    while (
        target.write_lock.is_open
        and (remaining_s := instance.hold_until - time.monotonic()) > 0
    ):
        await target.write_lock.released.wait(remaining_s)
    is_final = (
        not target.write_lock.is_open
        and instance.is_holding(time.monotonic())
        and instance.term == term
    )
    return _format_answer(
        instances.ControlAnswer(
            is_final, instance.term, instance.last_term, instance.received
        )
    )


async def _run_barrier(
    target: targets.Target, arguments: Sequence[Argument]
) -> str:
    """Wait until a majority confirms the term and the position."""
    (milliseconds,) = arguments
    instance = target.instance
    if not instance.is_primary:
        return _format_barrier_answer(instance.term, instance.received, False)
    now = time.monotonic()
    deadline = now + float(milliseconds) / MS_PER_SECOND
    barrier = instance.start_barrier(now)
    target.barrier_nonce = barrier.nonce
    target.pull_changed.notify()
    await _wait_for_barrier(target, barrier, deadline)
    return _format_barrier_answer(barrier.term, barrier.offset, True)


async def _wait_for_barrier(
    target: targets.Target, barrier: instances.Barrier, deadline: float
) -> None:
    while True:
        state = target.instance.check_barrier(barrier)
        if state is instances.BarrierState.CONFIRMED:
            return
        if state is instances.BarrierState.REPLACED:
            raise errors.TermReplacedError(
                f"term {barrier.term} was replaced by {target.instance.term};"
                " ask the new primary"
            )
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise errors.BarrierTimeoutError(
                f"no majority confirmed offset {barrier.offset} of term"
                f" {barrier.term} in time; its outcome is unknown"
            )
        await target.barrier_changed.wait(remaining_s)


def _format_barrier_answer(term: int, offset: int, is_primary: bool) -> str:
    return json.dumps(
        {"term": term, "offset": offset, "is_primary": is_primary}
    )


async def _answer_pull(
    target: targets.Target, arguments: Sequence[Argument]
) -> str:
    """Answer a replica's pull; wait up to a heartbeat for new entries."""
    encoded = base64.b64decode(str(arguments[0]))
    request = logs.PullRequest(*cbor2.loads(encoded))
    deadline = time.monotonic() + HEARTBEAT_INTERVAL_S
    answer = target.instance.pull(request, time.monotonic())
    target.barrier_changed.notify()
    while (
        answer.is_accepted
        and not answer.entries
        and request.nonce >= target.barrier_nonce
        and (remaining_s := deadline - time.monotonic()) > 0
    ):
        await target.pull_changed.wait(remaining_s)
        answer = target.instance.pull(request, time.monotonic())
    return _encode_tuple(answer)


async def _set_faults(
    target: targets.Target, arguments: Sequence[Argument]
) -> str:
    (settings,) = arguments
    target.faults.update(json.loads(str(settings)))
    return str(settings)


async def _get_log(
    target: targets.Target, arguments: Sequence[Argument]
) -> str:
    return json.dumps(target.instance.log)


async def _get_counters(
    target: targets.Target, arguments: Sequence[Argument]
) -> str:
    return json.dumps({"statements": target.statements})


_HANDLERS: dict[str, Handler] = {
    "kt_barrier": _run_barrier,
    "kt_counters": _get_counters,
    "kt_fault": _set_faults,
    "kt_follow": _follow_primary,
    "kt_hold": _hold_writes,
    "kt_install_term": _install_term,
    "kt_log": _get_log,
    "kt_promote": _promote_instance,
    "kt_pull": _answer_pull,
    "kt_status": _get_status,
}
