"""`registry` serves a store of keys and plans to the gateways."""

from __future__ import annotations

from pathlib import Path

import click

from tamarindfold.config.load import ConfigError


@click.command()
@click.option("--store", type=click.Path(path_type=Path), required=True, help="The store's file.")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, type=click.IntRange(0, 65535))
def registry(store: Path, host: str, port: int) -> None:
    """Serve a store to gateways until SIGTERM."""
    from tamarindfold.cli import lifeline
    from tamarindfold.identity.files import private_key
    from tamarindfold.identity.store import Store, StoreError
    from tamarindfold.ingress.logs import logger
    from tamarindfold.registry.server import RegistryServer

    try:
        made = RegistryServer(
            Store(store), private_key(store), host, port, logger("info", program="registry")
        )
        where = made.start()
    except (StoreError, OSError, ValueError) as error:
        raise ConfigError(str(error)) from error
    lifeline.until_stopped(f"listening on {where}")
    made.stop()
