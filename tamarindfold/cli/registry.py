"""`registry` serves credentials and plans from a store to the gateways."""

from __future__ import annotations

from pathlib import Path

import click

from tamarindfold.config.load import ConfigError


@click.command()
@click.option("--store", type=click.Path(path_type=Path), required=True, help="File of the store.")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, type=click.IntRange(0, 65535))
def registry(store: Path, host: str, port: int) -> None:
    """Serve a store to gateways until SIGTERM."""
    from tamarindfold.cli import shutdown
    from tamarindfold.identity.files import private_key
    from tamarindfold.identity.store import Store, StoreError
    from tamarindfold.ingress.logs import logger
    from tamarindfold.registry.server import RegistryServer

    try:
        server = RegistryServer(
            Store(store), private_key(store), host, port, logger("info", program="registry")
        )
        address = server.start()
    except (StoreError, OSError, ValueError) as error:
        raise ConfigError(str(error)) from error
    shutdown.wait_until_stopped(f"listening on {address}")
    server.stop()
