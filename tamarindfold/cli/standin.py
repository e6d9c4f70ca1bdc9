"""`standin NAME` runs one stand-in until SIGTERM; its first line of output says where it is."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from tamarindfold.config.load import ConfigError, convert, read_yaml

NAMES = ("tariff", "tokens", "counter", "fleet", "proxy")


def make(name: str, data: Any, where: str) -> Any:
    """A stand-in from plain values; ConfigError where they don't fit."""
    from tamarindfold.standins.counter import CounterServer, CounterStandinConfig
    from tamarindfold.standins.fleet import FleetConfig, FleetServer
    from tamarindfold.standins.proxy import ProxyConfig, ProxyServer
    from tamarindfold.standins.tariff import TariffConfig, TariffServer
    from tamarindfold.standins.tokens import TokensConfig, TokenServer

    try:
        match name:
            case "tariff":
                return TariffServer(convert(data, TariffConfig, where))
            case "tokens":
                return TokenServer(convert(data, TokensConfig, where))
            case "counter":
                return CounterServer(convert(data, CounterStandinConfig, where))
            case "proxy":
                return ProxyServer(convert(data, ProxyConfig, where))
        return FleetServer(convert(data, FleetConfig, where))
    except ValueError as error:
        if isinstance(error, ConfigError):
            raise
        raise ConfigError(f"{where}: {error}") from error


@click.command()
@click.argument("name", type=click.Choice(NAMES))
@click.option("--config", "file", type=click.Path(path_type=Path), help="YAML; without it all defaults hold.")
def standin(name: str, file: Path | None) -> None:
    """Run a stand-in for an outside system; POST /faults to its admin port injects a fault."""
    import msgspec

    from tamarindfold.cli import lifeline

    data = read_yaml(file) if file else {}
    made = make(name, data or {}, str(file or name))
    try:
        made.start()
    except OSError as error:
        raise ConfigError(f"{file or name}: port: {error}") from error
    ready = {"address": made.address, "admin": made.admin_address, "at_ms": made.clock()}
    lifeline.until_stopped(msgspec.json.encode(ready).decode())
    made.stop()
