"""`keeper` runs one replica of the consensus group that stores the shared settings."""

from __future__ import annotations

from pathlib import Path

import click

from tamarindfold.config.load import ConfigError, load


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--trust-disk",
    is_flag=True,
    help="Vote at once, without waiting until all other keepers have been asked. Use this only if another "
    "keeper is permanently lost and the data on this disk is certainly neither outdated nor wiped.",
)
def keeper(file: Path, trust_disk: bool) -> None:
    """Run a keeper, a replica of the shared settings, until SIGTERM."""
    from tamarindfold.cli import shutdown
    from tamarindfold.ingress.logs import logger
    from tamarindfold.keeper.config import KeeperConfig, check
    from tamarindfold.keeper.server import KeeperServer

    config = load(file, KeeperConfig, check)
    try:
        server = KeeperServer(
            config, logger(config.log_level, program="keeper", keeper=config.me), trust_disk
        )
        address = server.start()
    except (OSError, ValueError) as error:
        raise ConfigError(f"{file}: {error}") from error
    shutdown.wait_until_stopped(f"listening on {address}")
    server.stop()
