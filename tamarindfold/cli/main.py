"""The command and its subcommands. Invalid input ends with exit code 2 and one line on standard error."""

from __future__ import annotations

import sys

import click

from tamarindfold.cli import (
    call,
    fleet,
    keeper,
    keys,
    modelcheck,
    registry,
    rehearse,
    serve,
    settings,
    standin,
)
from tamarindfold.config.load import ConfigError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="tamarindfold")
def cli() -> None:
    """An API gateway that keeps quotas and priorities across a fleet of instances."""


cli.add_command(serve.serve)
cli.add_command(serve.check)
cli.add_command(standin.standin)
cli.add_command(rehearse.rehearse)
cli.add_command(rehearse.judge)
cli.add_command(rehearse.compare)
cli.add_command(keys.group)
cli.add_command(registry.registry)
cli.add_command(call.call)
cli.add_command(fleet.group)
cli.add_command(keeper.keeper)
cli.add_command(settings.group)
cli.add_command(modelcheck.group)


def main() -> None:
    """Run the command line; invalid input gives a one-line message and exit code 2."""
    try:
        cli(standalone_mode=False)
    except ConfigError as error:
        click.echo(f"tamarindfold: {error}", err=True)
        sys.exit(2)
    except click.ClickException as error:
        click.echo(f"tamarindfold: {error.format_message()}", err=True)
        sys.exit(2)
    except click.exceptions.Exit as error:
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(130)


if __name__ == "__main__":
    main()
