"""`serve` runs one gateway; `check` validates its configuration and prints a summary."""

from __future__ import annotations

import gc
from pathlib import Path

import click

from tamarindfold.config import derive
from tamarindfold.config.load import ConfigError, convert, load, read_yaml
from tamarindfold.config.model import GatewayConfig, InstanceConfig

FILE = click.argument("file", type=click.Path(path_type=Path))


def read_config(path: Path) -> GatewayConfig | InstanceConfig:
    """Read and validate a configuration.

    An instance whose settings come from keepers has only its own part in the file (InstanceConfig).
    """
    data = read_yaml(path)
    if isinstance(data, dict) and "agreement" in data:
        return convert(data, InstanceConfig, str(path))
    return load(path, GatewayConfig, derive.check)


@click.command()
@FILE
def serve(file: Path) -> None:
    """Run one gateway until SIGTERM; it then completes its open requests and exits with code 0."""
    config = read_config(file)
    from tamarindfold.cli import shutdown
    from tamarindfold.ingress.logs import logger
    from tamarindfold.ingress.managed import ManagedIngress, NoAgreedSettings
    from tamarindfold.ingress.server import Ingress

    managed: ManagedIngress | None = None
    if isinstance(config, InstanceConfig):
        log = logger(config.log.level, instance=config.agreement.name)
        try:
            managed = ManagedIngress(config, log)
            ingress = managed.create()
        except (OSError, ValueError, NoAgreedSettings) as error:
            raise ConfigError(f"{file}: agreement: {error}") from error
    else:
        log = logger(config.log.level, instance=config.instance.index)
        try:
            ingress = Ingress(config, log)
        except (OSError, ValueError) as error:
            raise ConfigError(f"{file}: identity: {error}") from error
    try:
        host, port = ingress.start()
    except OSError as error:
        raise ConfigError(f"{file}: listen: {config.listen.host}:{config.listen.port}: {error}") from error
    gc.collect()
    gc.freeze()  # objects created so far live until exit, so the collector can skip them
    gc.set_threshold(50_000, 20, 20)
    lines = [f"listening on {host}:{port}"]
    if ingress.forward_listener is not None and config.forward is not None:
        lines.append(f"forward-auth on {config.forward.host}:{ingress.forward_listener.server_port}")
    if ingress.admin is not None:
        lines.append(f"admin on {ingress.admin.host}:{ingress.admin.port}")
    shutdown.wait_until_stopped(*lines)
    if not ingress.stop():
        log("ingress.stopped_with_requests_held", held=ingress.in_flight)
    if managed is not None:
        managed.leave()  # only now, since it must not act after it has left


@click.command()
@FILE
def check(file: Path) -> None:
    """Validate a configuration and print a summary of the gateway."""
    config = read_config(file)
    if isinstance(config, InstanceConfig):
        click.echo(
            f"instance {config.agreement.name}: settings, servers and index from the keepers "
            f"{', '.join(config.agreement.keepers)}"
        )
        return
    instance = config.instance
    click.echo(
        f"gateway {instance.index} of {instance.gateways}, listening on "
        f"{config.listen.host}:{config.listen.port or '(chosen by the system)'}"
    )
    if (section := config.forward) is not None:
        chooser = "the gateway" if section.form == "report" else "the proxy"
        click.echo(
            f"forward authentication on {section.host}:{section.port or '(chosen by the system)'} for "
            f"{', '.join(section.trusted)}; {chooser} chooses the server; "
            f"decision within {section.decide_ms:g} ms"
        )
    for cls in config.classes:
        routes = ", ".join(f"{r.method} {r.path}" for r in config.routes if r.cls == cls.name) or "no route"
        idempotency = (
            f", repeats dropped for {cls.window_ms:g} ms by {cls.group}" if cls.effect == "keyed" else ""
        )
        click.echo(
            f"class {cls.name}: {cls.effect}{idempotency}, latency target {cls.aim_ms:g} ms, deadline "
            f"{cls.deadline_ms:g} ms, worth {cls.worth:g}, if the "
            f"token cannot be checked: {cls.unchecked}; {routes}"
        )
    width = config.customers.width or instance.gateways
    for plan in config.plans:
        quota = f"{plan.rate:g} units/s, burst {plan.burst:g}" if plan.rate else "no quota"
        ceiling = (
            f", ceiling {plan.ceiling_rate:g} units/s, burst {plan.ceiling_burst:g}"
            if plan.ceiling_rate
            else ""
        )
        slice_rate = plan.rate / width
        click.echo(
            f"plan {plan.name}: {quota}{ceiling}; initial slice of this gateway: {slice_rate:g} units/s"
        )
    if config.identity is not None:
        click.echo(f"plans, customers and keys: from the registry at {config.identity.registry}")
    click.echo(
        f"tokens: checked at {config.introspection.url}, cached for {config.introspection.max_age_ms:g} ms"
    )
    click.echo(
        "counter: "
        + (
            f"{', '.join(config.counter.parts)}, timeout {config.counter.timeout_ms:g} ms"
            if config.counter
            else "none"
        )
    )
    servers = config.fleet.feed or ", ".join(server.address for server in config.fleet.static)
    click.echo(f"servers: {servers}; at most {config.upstream.max_attempts} attempts per request")
