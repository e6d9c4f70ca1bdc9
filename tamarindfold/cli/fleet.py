"""`fleet up` runs the programs of a fleet file on this machine; `fleet check` prints their start order."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import click

from tamarindfold.config.load import load

FILE = click.argument("file", type=click.Path(path_type=Path))


@click.group(name="fleet")
def group() -> None:
    """Run the programs of a fleet on one machine."""


@group.command()
@FILE
@click.option("--seconds", type=click.FloatRange(min=0.1), help="Stop after this time.")
def up(file: Path, seconds: float | None) -> None:
    """Start all programs, restart those that end, and stop them on SIGTERM.

    Exit code 0: all ran and stopped as they should; 1: some did not.
    """
    import gevent
    import msgspec

    from tamarindfold.supervisor.driver import FleetFile, Supervisor, validate_fleet_file

    fleet = load(file, FleetFile, validate_fleet_file)
    if seconds is not None:
        fleet = msgspec.structs.replace(fleet, up_ms=seconds * 1000)
    supervisor = Supervisor(fleet, lambda line: click.echo(line))
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, supervisor.stop_requested.set)
    sys.exit(0 if supervisor.run() else 1)


@group.command()
@FILE
def check(file: Path) -> None:
    """Validate a fleet file and print the start order of its programs."""
    from tamarindfold.supervisor.driver import FleetFile, build_policy, validate_fleet_file

    start_policy = build_policy(load(file, FleetFile, validate_fleet_file))
    for name in start_policy.order:
        after = ", ".join(start_policy.states[name].spec.after)
        click.echo(f"{name}{f' after {after}' if after else ''}")
