"""Structured log lines on standard error: one JSON object a line, stable event names."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import TextIO, cast

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class _Lines:
    """Where lines go. Guards against a full disk under the log: who tells of it must not end by it."""

    def __init__(self, file: TextIO) -> None:
        self.file, self.lost = file, 0

    def write(self, text: str) -> int:
        try:
            return self.file.write(text)
        except OSError:
            self.lost += 1
            return len(text)

    def flush(self) -> None:
        try:
            self.file.flush()
        except OSError:
            self.lost += 1


def logger(level: str, **bound: object) -> Callable[..., None]:
    """A function of an event's name and its fields; the fields never hold a token, a key or a body."""
    made = structlog.wrap_logger(
        structlog.PrintLogger(cast(TextIO, _Lines(sys.stderr))),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    ).bind(**bound)
    log: Callable[..., None] = made.info
    return log
