"""Waits for the end of a long-running command: a signal, or the exit of the supervisor that started it."""

from __future__ import annotations

import os
import signal
import sys

import click
import gevent
from gevent.event import Event
from gevent.socket import wait_read

from tamarindfold.supervisor.driver import SUPERVISOR_PIPE_ENV


def wait_until_stopped(*ready_lines: str) -> None:
    """Print the lines, which announce readiness; return on SIGTERM, SIGINT or the supervisor's exit."""
    stop = Event()
    stop_on_supervisor_exit(stop)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    for line in ready_lines:
        click.echo(line)
    sys.stdout.flush()
    stop.wait()


def stop_on_supervisor_exit(stop: Event) -> None:
    """Set `stop` when the supervisor exits; does nothing if no supervisor started this process.

    The environment names the read end of a pipe. Only the supervisor holds its other end, which the operating
    system closes however the supervisor exits.
    """
    text = os.environ.get(SUPERVISOR_PIPE_ENV, "")
    if text.isdecimal():
        gevent.spawn(_wait_until_closed, int(text), stop)


def _wait_until_closed(descriptor: int, stop: Event) -> None:
    try:
        wait_read(descriptor)
    except OSError:
        return  # the descriptor is not open: this process has no supervisor
    stop.set()
