"""`fleet up` keeps the programs of a file running; `fleet check` says in which order."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import click

from tamarindfold.config.load import load

FILE = click.argument("file", type=click.Path(path_type=Path))


@click.group(name="fleet")
def group() -> None:
    """Run a fleet's programs on one machine."""


@group.command()
@FILE
@click.option("--seconds", type=click.FloatRange(min=0.1), help="End after this time.")
def up(file: Path, seconds: float | None) -> None:
    """Start everything, keep it running, stop it on SIGTERM. Exit 0: all in good order."""
    import gevent
    import msgspec

    from tamarindfold.supervisor.driver import FleetFile, Supervisor, validate_fleet_file

    found = load(file, FleetFile, validate_fleet_file)
    if seconds is not None:
        found = msgspec.structs.replace(found, up_ms=seconds * 1000)
    supervisor = Supervisor(found, lambda line: click.echo(line))
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, supervisor.stop_requested.set)
    sys.exit(0 if supervisor.run() else 1)


@group.command()
@FILE
def check(file: Path) -> None:
    """Validate a fleet's file and print the order of its programs."""
    from tamarindfold.supervisor.driver import FleetFile, build_policy, validate_fleet_file

    made = build_policy(load(file, FleetFile, validate_fleet_file))
    for name in made.order:
        after = ", ".join(made.states[name].spec.after)
        click.echo(f"{name}{f' after {after}' if after else ''}")
