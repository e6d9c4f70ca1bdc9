"""Derives the decision module's settings from a configuration, and checks its sections for consistency."""

from __future__ import annotations

from dataclasses import fields
from ipaddress import IPv4Address, ip_network
from typing import Any

from tamarindfold.config.addresses import split_address
from tamarindfold.config.model import GatewayConfig
from tamarindfold.interface import BackendEntry, BackendState, Effect, Group, Plan, RequestClass, Settings


def backend_id(host: str, port: int) -> int:
    """The numeric id of a backend: its IPv4 address and port."""
    return int(IPv4Address(host)) << 16 | port


def backend_address(backend: int) -> tuple[str, int]:
    """The address and port of a backend id."""
    return str(IPv4Address(backend >> 16)), backend & 0xFFFF


_PLAN_FIELDS = tuple(f.name for f in fields(Plan) if f.name not in ("name", "version"))
# Used until the plans of the registry are known; no request is accepted before that.
PLACEHOLDER_PLAN = Plan(0, 0, name="none")


def plan(source: Any, name: str, version: int = 0) -> Plan:
    """A plan from an object with the same field names, such as a configuration section or registry record."""
    return Plan(**{key: getattr(source, key) for key in _PLAN_FIELDS}, name=name, version=version)


def settings(config: GatewayConfig) -> Settings:
    """The decision module's settings for this gateway."""
    counter = config.counter
    return Settings(
        gateways=config.instance.gateways,
        index=config.instance.index,
        zone=config.instance.zone,
        classes=tuple(
            RequestClass(
                c.aim_ms,
                c.deadline_ms,
                c.worth,
                Effect(c.effect),
                Group(c.group),
                c.window_ms,
                c.late_worth,
                c.name,
            )
            for c in config.classes
        ),
        plans=tuple(plan(p, p.name) for p in config.plans) or (PLACEHOLDER_PLAN,),
        max_attempts=config.upstream.max_attempts,
        start_capacity=config.safety.start_capacity,
        cold_ms=config.safety.cold_ms,
        fall_multiple=config.safety.fall_multiple,
        overload_ms=config.safety.overload_ms,
        drain_grace_ms=config.safety.drain_grace_ms,
        answer_grace_ms=config.safety.answer_grace_ms,
        tick_ms=1.0,
        most_units=config.customers.most_units,
        marks_retry=True,
        cancel=True,
        counter=counter is not None,
        counter_timeout_ms=counter.timeout_ms if counter else 0.0,
        counter_price=counter.price if counter else 0.0,
    )


def static_entries(config: GatewayConfig) -> list[BackendEntry]:
    """The servers of the static list."""
    states = {"ready": BackendState.READY, "draining": BackendState.DRAINING}
    return [
        BackendEntry(
            backend_id(*split_address(s.address, f"fleet.static[{i}].address")),
            states[s.state],
            s.zone,
            s.kind,
            s.cell,
            s.size,
        )
        for i, s in enumerate(config.fleet.static)
    ]


def _check_unique(names: list[str], key: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"{key}: {name!r} is given twice")


def _check_networks(texts: list[str], key: str) -> None:
    for i, text in enumerate(texts):
        try:
            ip_network(text)
        except ValueError as error:
            raise ValueError(f"{key}[{i}]: {error}") from None


def fronts(config: GatewayConfig) -> list[str]:
    """The fronts to serve: those configured, else `proxy`, and `forward-auth` if it has a section."""
    if config.fronts is not None:
        return list(config.fronts)
    return ["proxy", "forward-auth"] if config.forward is not None else ["proxy"]


def check(config: GatewayConfig) -> None:
    """ValueError if sections of the configuration contradict each other."""
    if config.instance.index >= config.instance.gateways:
        raise ValueError(
            f"instance.index: {config.instance.index} is not below instance.gateways "
            f"({config.instance.gateways})"
        )
    classes, plans = [c.name for c in config.classes], [p.name for p in config.plans]
    _check_unique(classes, "classes")
    _check_unique(plans, "plans")
    _check_unique([f"{r.method} {r.path}" for r in config.routes], "routes")
    for i, route in enumerate(config.routes):
        if route.cls not in classes:
            raise ValueError(f"routes[{i}].class: {route.cls!r} is not one of {', '.join(classes)}")
    for i, cls in enumerate(config.classes):
        if cls.effect == "keyed" and not cls.window_ms:
            raise ValueError(f"classes[{i}].window_ms: effect keyed needs the time for which keys are kept")
        if cls.deadline_ms <= config.limits.answer_margin_ms:
            raise ValueError(f"classes[{i}].deadline_ms: must be above limits.answer_margin_ms")
    customers = config.customers
    if customers.default_plan and customers.default_plan not in plans:
        raise ValueError(f"customers.default_plan: {customers.default_plan!r} is not in {', '.join(plans)}")
    if customers.default_units > customers.most_units:
        raise ValueError("customers.default_units: must not be above customers.most_units")
    if customers.width > config.instance.gateways:
        raise ValueError("customers.width: must not be above instance.gateways")
    if bool(config.fleet.static) == bool(config.fleet.feed):
        raise ValueError("fleet: give either a static list or a feed")
    if config.fleet.feed:
        split_address(config.fleet.feed, "fleet.feed")
    for i, part in enumerate(config.counter.parts if config.counter else []):
        split_address(part, f"counter.parts[{i}]")
    config.introspection.secret()
    if config.identity is not None:
        split_address(config.identity.registry, "identity.registry")
        if config.plans:
            raise ValueError("plans: the registry defines them; give either plans or identity")
    elif not config.plans:
        raise ValueError("plans: at least one is required without identity")
    front_names = fronts(config)
    if len(set(front_names)) < len(front_names):
        raise ValueError("fronts: one is given twice")
    if ("forward-auth" in front_names) != (config.forward is not None):
        raise ValueError("fronts: forward-auth and a section `forward` require each other")
    if config.forward is not None:
        _check_networks(config.forward.trusted, "forward.trusted")
        if config.forward.most_deciding > config.forward.most_permits:
            raise ValueError("forward.most_deciding: must not be above forward.most_permits")
    _check_networks([n.network for n in config.networks], "networks")
    _check_unique([n.network for n in config.networks], "networks")
    static_entries(config)
    settings(config)
