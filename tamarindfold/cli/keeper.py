"""`keeper` runs one of the processes that keep the agreed settings."""

from __future__ import annotations

from pathlib import Path

import click

from tamarindfold.config.load import ConfigError, load


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--trust-disk",
    is_flag=True,
    help="Vote by this disk at once, though not all other keepers can be asked. Only where it is "
    "certain that it is neither old nor wiped, and another keeper is gone for good.",
)
def keeper(file: Path, trust_disk: bool) -> None:
    """Keep the agreed settings, with the other keepers, until SIGTERM."""
    from tamarindfold.cli import lifeline
    from tamarindfold.ingress.logs import logger
    from tamarindfold.keeper.config import KeeperConfig, check
    from tamarindfold.keeper.server import KeeperServer

    config = load(file, KeeperConfig, check)
    try:
        made = KeeperServer(config, logger(config.log_level, program="keeper", keeper=config.me), trust_disk)
        where = made.start()
    except (OSError, ValueError) as error:
        raise ConfigError(f"{file}: {error}") from error
    lifeline.until_stopped(f"listening on {where}")
    made.stop()
