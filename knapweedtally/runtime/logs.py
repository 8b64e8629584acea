"""Set up logging: one line an event on the standard error."""

import logging
import sys
from typing import Any

import structlog


def configure_logs(level: str, form: str) -> None:
    """Set the lowest level and the form of all log lines.

    Args:
        level: ``debug``, ``info``, ``warning`` or ``error``.
        form: ``json`` or ``text``.
    """
    renderers: dict[str, Any] = {
        "json": structlog.processors.JSONRenderer(),
        "text": structlog.dev.ConsoleRenderer(colors=False),
    }
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderers[form],
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=level.upper(), stream=sys.stderr)
