"""`standin NAME` runs a stand-in until SIGTERM; its first line of output is JSON with its addresses."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from tamarindfold.config.load import ConfigError, convert, read_yaml

NAMES = ("tariff", "tokens", "counter", "fleet", "proxy")


def create_standin(name: str, data: Any, source: str) -> Any:
    """Create a stand-in from decoded YAML. Raises ConfigError, which names the source, on invalid data."""
    from tamarindfold.standins.counter import CounterServer, CounterStandinConfig
    from tamarindfold.standins.fleet import FleetConfig, FleetServer
    from tamarindfold.standins.proxy import ProxyConfig, ProxyServer
    from tamarindfold.standins.tariff import TariffConfig, TariffServer
    from tamarindfold.standins.tokens import TokensConfig, TokenServer

    try:
        match name:
            case "tariff":
                return TariffServer(convert(data, TariffConfig, source))
            case "tokens":
                return TokenServer(convert(data, TokensConfig, source))
            case "counter":
                return CounterServer(convert(data, CounterStandinConfig, source))
            case "proxy":
                return ProxyServer(convert(data, ProxyConfig, source))
        return FleetServer(convert(data, FleetConfig, source))
    except ValueError as error:
        if isinstance(error, ConfigError):
            raise
        raise ConfigError(f"{source}: {error}") from error


@click.command()
@click.argument("name", type=click.Choice(NAMES))
@click.option(
    "--config",
    "file",
    type=click.Path(path_type=Path),
    help="YAML file; by default, all settings have their defaults.",
)
def standin(name: str, file: Path | None) -> None:
    """Run a stand-in for an outside system.

    POST /faults on its admin port injects a fault, DELETE /faults ends all faults.
    """
    import msgspec

    from tamarindfold.cli import shutdown

    data = read_yaml(file) if file else {}
    server = create_standin(name, data or {}, str(file or name))
    try:
        server.start()
    except OSError as error:
        raise ConfigError(f"{file or name}: port: {error}") from error
    ready = {"address": server.address, "admin": server.admin_address, "at_ms": server.clock()}
    shutdown.wait_until_stopped(msgspec.json.encode(ready).decode())
    server.stop()
