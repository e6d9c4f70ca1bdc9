"""A program that a supervisor started ends in good order when the supervisor dies."""

from __future__ import annotations

import os

import gevent
from gevent.event import Event
from gevent.socket import wait_read

from tamarindfold.supervisor.driver import LIFELINE


def watch(stop: Event) -> None:
    """Set `stop` when the other end of the inherited pipe closes; nothing where there is none."""
    text = os.environ.get(LIFELINE, "")
    if text.isdecimal():
        gevent.spawn(_until_closed, int(text), stop)


def _until_closed(descriptor: int, stop: Event) -> None:
    try:
        wait_read(descriptor)
    except OSError:
        return  # no such pipe: nobody holds us
    stop.set()
