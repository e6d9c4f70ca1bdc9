"""`serve` runs one gateway, `check` says what it would be."""

from __future__ import annotations

import gc
from pathlib import Path

import click

from tamarindfold.config import derive
from tamarindfold.config.load import ConfigError, convert, load, read_yaml
from tamarindfold.config.model import GatewayConfig, InstanceConfig

FILE = click.argument("file", type=click.Path(path_type=Path))


def read(path: Path) -> GatewayConfig | InstanceConfig:
    """A gateway's configuration, checked; of an instance with agreed settings, what is its own."""
    data = read_yaml(path)
    if isinstance(data, dict) and "agreement" in data:
        return convert(data, InstanceConfig, str(path))
    return load(path, GatewayConfig, derive.check)


@click.command()
@FILE
def serve(file: Path) -> None:
    """Run one gateway until SIGTERM; it then finishes what it holds and exits 0."""
    config = read(file)
    from tamarindfold.cli import lifeline
    from tamarindfold.ingress.managed import ManagedIngress, NoAgreedSettings
    from tamarindfold.ingress.logs import logger
    from tamarindfold.ingress.server import Ingress

    agreed: ManagedIngress | None = None
    if isinstance(config, InstanceConfig):
        log = logger(config.log.level, instance=config.agreement.name)
        try:
            agreed = ManagedIngress(config, log)
            ingress = agreed.create()
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
    gc.freeze()  # what is here now stays: the collector need not look at it again
    gc.set_threshold(50_000, 20, 20)
    lines = [f"listening on {host}:{port}"]
    if ingress.forward_listener is not None and config.forward is not None:
        lines.append(f"forward-auth on {config.forward.host}:{ingress.forward_listener.server_port}")
    if ingress.admin is not None:
        lines.append(f"admin on {ingress.admin.host}:{ingress.admin.port}")
    lifeline.until_stopped(*lines)
    if not ingress.stop():
        log("ingress.stopped_with_requests_held", held=ingress.in_flight)
    if agreed is not None:
        agreed.leave()  # it acts no more, and may say so


@click.command()
@FILE
def check(file: Path) -> None:
    """Validate a configuration and print what the gateway would be."""
    config = read(file)
    if isinstance(config, InstanceConfig):
        click.echo(
            f"instance {config.agreement.name}: settings, servers and its place as agreed by "
            f"{', '.join(config.agreement.keepers)}"
        )
        return
    instance = config.instance
    click.echo(
        f"gateway {instance.index} of {instance.gateways}, listening on "
        f"{config.listen.host}:{config.listen.port or '(chosen by the system)'}"
    )
    if (section := config.forward) is not None:
        chooses = "the gateway" if section.form == "report" else "the proxy"
        click.echo(
            f"forward authentication on {section.host}:{section.port or '(chosen by the system)'} for "
            f"{', '.join(section.trusted)}; {chooses} chooses the server; "
            f"decided within {section.decide_ms:g} ms"
        )
    for cls in config.classes:
        routes = ", ".join(f"{r.method} {r.path}" for r in config.routes if r.cls == cls.name) or "no route"
        keyed = f", repeats dropped for {cls.window_ms:g} ms by {cls.group}" if cls.effect == "keyed" else ""
        click.echo(
            f"class {cls.name}: {cls.effect}{keyed}, wanted in {cls.aim_ms:g} ms, given up after "
            f"{cls.deadline_ms:g} ms, worth {cls.worth:g}, token unchecked: {cls.unchecked}; {routes}"
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
        click.echo(f"plan {plan.name}: {quota}{ceiling}; a slice here starts at {slice_rate:g} units/s")
    if config.identity is not None:
        click.echo(f"plans, customers and keys: from the registry at {config.identity.registry}")
    click.echo(f"tokens: checked at {config.introspection.url}, kept {config.introspection.max_age_ms:g} ms")
    click.echo(
        "counter: "
        + (
            f"{', '.join(config.counter.parts)}, given up after {config.counter.timeout_ms:g} ms"
            if config.counter
            else "none"
        )
    )
    servers = config.fleet.feed or ", ".join(server.address for server in config.fleet.static)
    click.echo(f"servers: {servers}; at most {config.upstream.max_attempts} attempts a request")
