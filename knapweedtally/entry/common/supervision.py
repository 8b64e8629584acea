"""Containment of errors in handlers and background tasks.

An error must cost no more than the unit it happens in: a session, an object of
the store, a poll. Contained errors go to the event loop's exception handler,
like those that the event loop contains itself, and are logged and counted
there.
"""

import asyncio
import functools
import traceback
from collections.abc import Callable
from typing import Any
from typing import ParamSpec

from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics

# Longest traceback in a log line, in characters. The end is kept, which names
# the error.
MAX_TRACEBACK_LENGTH = 4000

# Label of errors that the event loop found in callbacks and in tasks.
_EVENT_LOOP = "event loop"

_Parameters = ParamSpec("_Parameters")


def install(
    loop: asyncio.AbstractEventLoop, log: logs.Log, counters: metrics.Metrics
) -> None:
    """Log and count the errors that are reported to an event loop."""
    loop.set_exception_handler(functools.partial(_record_error, log, counters))


def _record_error(
    log: logs.Log,
    counters: metrics.Metrics,
    loop: asyncio.AbstractEventLoop,
    context: dict[str, Any],
) -> None:
    error = context.get("exception")
    handler = context.get("handler")
    if handler is None:
        loop.default_exception_handler(context)
        if isinstance(error, OSError):
            # The network's error, which the transport reports to its protocol.
            return
        handler = _EVENT_LOOP
    counters.increment("handler_failures", handler)
    log.write(
        "handler_failed",
        handler=handler,
        reason=repr(error) if error else context.get("message"),
        traceback=format_traceback(error) if error else "",
    )


def format_traceback(error: BaseException) -> str:
    """Return the end of an error's traceback."""
    text = "".join(traceback.format_exception(error))
    return text[-MAX_TRACEBACK_LENGTH:]


def report(handler: str, error: Exception) -> None:
    """Report an error that was contained.

    Args:
        handler: kind of the unit, for the log and the metric.
        error: the error.
    """
    asyncio.get_running_loop().call_exception_handler(
        {
            "message": f"{handler} failed",
            "exception": error,
            "handler": handler,
        }
    )


def contain(
    handler: str,
    function: Callable[_Parameters, object],
    *args: _Parameters.args,
    **kwargs: _Parameters.kwargs,
) -> bool:
    """Call a function and report its error instead of raising it.

    Returns:
        Whether it ended without an error. If not, the caller has to rebuild
        what the function may have changed by half.
    """
    try:
        function(*args, **kwargs)
    except Exception as error:
        report(handler, error)
        return False
    return True


def guard(
    handler: str,
    function: Callable[_Parameters, object],
    on_error: Callable[[], object],
) -> Callable[_Parameters, None]:
    """Return a callback that contains its errors.

    Args:
        handler: kind of the unit, for the log and the metric.
        function: the callback.
        on_error: called after an error, to end or to rebuild the unit.
    """

    def call(*args: _Parameters.args, **kwargs: _Parameters.kwargs) -> None:
        if not contain(handler, function, *args, **kwargs):
            contain(handler, on_error)

    return call
