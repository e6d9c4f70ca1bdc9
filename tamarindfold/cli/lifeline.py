"""A program that a supervisor started ends in good order when the supervisor dies."""

from __future__ import annotations

import os
import signal
import sys

import click
import gevent
from gevent.event import Event
from gevent.socket import wait_read

from tamarindfold.supervisor.driver import SUPERVISOR_PIPE_ENV


def until_stopped(*lines: str) -> None:
    """Say that it serves, and wait: for SIGTERM, SIGINT, or the end of the supervisor."""
    stop = Event()
    watch(stop)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    for line in lines:
        click.echo(line)
    sys.stdout.flush()
    stop.wait()


def watch(stop: Event) -> None:
    """Set `stop` when the other end of the inherited pipe closes; nothing where there is none."""
    text = os.environ.get(SUPERVISOR_PIPE_ENV, "")
    if text.isdecimal():
        gevent.spawn(_until_closed, int(text), stop)


def _until_closed(descriptor: int, stop: Event) -> None:
    try:
        wait_read(descriptor)
    except OSError:
        return  # no such pipe: nobody holds us
    stop.set()
