"""Structured logging to standard error: one JSON object per line, with stable event names."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import TextIO, cast

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class _FaultTolerantStream:
    """A stream that ignores write errors, so that a full disk under the log does not end the process."""

    def __init__(self, file: TextIO) -> None:
        self.file = file
        self.failed_writes = 0

    def write(self, text: str) -> int:
        try:
            return self.file.write(text)
        except OSError:
            self.failed_writes += 1
            return len(text)

    def flush(self) -> None:
        try:
            self.file.flush()
        except OSError:
            self.failed_writes += 1


def logger(level: str, **bound: object) -> Callable[..., None]:
    """A log function that takes an event name and fields; `bound` fields are part of every line.

    Fields must never contain a token, a key or a body.
    """
    bound_logger = structlog.wrap_logger(
        structlog.PrintLogger(cast(TextIO, _FaultTolerantStream(sys.stderr))),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    ).bind(**bound)
    log: Callable[..., None] = bound_logger.info
    return log
