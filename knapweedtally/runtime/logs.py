"""Logging setup: one line per event on standard error."""

import logging
import sys
from typing import Any

import structlog


def configure_logs(level: str, output_format: str) -> None:
    """Configure the minimum level and the format of all log lines.

    Args:
        level: minimum level: ``debug``, ``info``, ``warning`` or ``error``.
        output_format: format of a line: ``json`` or ``text``.
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
            renderers[output_format],
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=level.upper(), stream=sys.stderr)
