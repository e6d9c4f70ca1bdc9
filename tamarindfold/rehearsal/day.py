"""A day as its YAML file holds it: the fleet, the load, what goes wrong and when. Times in milliseconds."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from tamarindfold.config.model import (
    PositiveInt,
    NonNegativeMs,
    PositiveFloat,
    NonNegativeFloat,
    Section,
    Identifier,
)
from tamarindfold.modelcheck.planted import LEASE_FAULTS
from tamarindfold.rehearsal.relay import LinkFault
from tamarindfold.standins.base import Fault

Part = Annotated[float, Meta(ge=0, le=1)]


class Servers(Section, frozen=True):
    """Tariff servers: how many, in how many zones and cells, and what each is (standins.tariff)."""

    count: PositiveInt
    zones: PositiveInt = 1
    cells: PositiveInt = 1
    like: dict[str, Any] = field(default_factory=dict)


class CounterParts(Section, frozen=True):
    """The counter's stand-ins."""

    parts: PositiveInt = 1
    like: dict[str, Any] = field(default_factory=dict)


class Tokens(Section, frozen=True):
    """The introspection stand-in; exp_in_ms bounds each token's life, after which the client gets another."""

    like: dict[str, Any] = field(default_factory=dict)
    exp_in_ms: NonNegativeMs = 0


class FleetList(Section, frozen=True):
    """The list of servers: how late it tells changes, and how late it notices a dead process."""

    delay_ms: NonNegativeMs = 100
    detect_ms: NonNegativeMs = 1_000


class Proxy(Section, frozen=True):
    """One proxy in front of the forward-auth fronts (standins.proxy)."""

    kind: Literal["nginx", "traefik", "caddy", "envoy"]
    like: dict[str, Any] = field(default_factory=dict)


class RegistryPart(Section, frozen=True):
    """Keys, customers and plans from a registry; each plan's first version."""

    plans: dict[str, dict[str, float]]


class Customers(Section, frozen=True, kw_only=True):
    """A group of customers of one plan that behave alike."""

    name: Identifier
    count: PositiveInt = 1
    plan: Identifier
    rate: PositiveFloat  # requests a second, each
    mix: dict[str, NonNegativeFloat]  # class to weight
    units: dict[int, NonNegativeFloat] = field(default_factory=lambda: {1: 1.0})  # units to weight
    spread: PositiveFloat = 1.0  # how evenly over the gateways: small is uneven
    through: Part = 0.0  # of the requests: by the proxies and the forward-auth front
    clients: Literal["library", "rude"] = "library"  # rude: tries again at once, whatever it was told


class Clients(Section, frozen=True):
    """How clients behave."""

    retries: Annotated[int, Meta(ge=0)] = 2
    patience_least: Part = 0.5  # of a class's deadline: how long a try is waited for, at least
    bad_tokens: Part = 0.0  # of requests: with a token that is no good
    most_open: PositiveInt = 2_000


class Event(Section, frozen=True):
    """One thing that happens. `target` names a process: server N, instance N, counter N, proxy N,
    tokens or fleet."""

    at_ms: NonNegativeMs
    do: Literal[
        "fault",
        "clear",
        "kill",
        "start",
        "drain",
        "ready",
        "remove",
        "stall",
        "surge",
        "rotate",
        "set_plan",
        "link",
        "heal",
        "wipe",
        "fill",
        "empty",
        "step",
        "propose",
    ]
    target: str = ""  # for link and heal: `instance 0 > keeper 1`, a `*` for all numbers
    fault: Fault | None = None
    for_ms: NonNegativeMs = 0
    factor: PositiveFloat = 1.0
    customers: str = ""  # for surge, rotate, set_plan: a group; empty: all
    plan: str = ""  # for set_plan: NAME@VERSION; it is in force lead_ms after it was committed
    lead_ms: NonNegativeMs = 1_500
    link: LinkFault | None = None  # for link
    changes: dict[str, Any] = field(default_factory=dict)  # for propose: sections of the agreed settings


class Judging(Section, frozen=True):
    """What the judge allows for its own clocks and for a busy machine."""

    slack_ms: NonNegativeMs = 150
    window_ms: NonNegativeMs = 0  # for settings that are agreed; 0: the window that they go by


class Day(Section, frozen=True):
    """The whole file. `gateway` is a gateway's configuration without what the run fills in."""

    name: Identifier
    seed: int
    duration_ms: PositiveFloat
    instances: PositiveInt
    gateway: dict[str, Any]
    servers: Servers
    customers: Annotated[list[Customers], Meta(min_length=1)]
    counter: CounterParts | None = None
    registry: RegistryPart | None = None
    proxies: list[Proxy] = field(default_factory=list)
    keepers: Annotated[int, Meta(ge=0, le=9)] = 0  # with any, the gateways' settings are agreed
    clocks: dict[str, tuple[float, float]] = field(default_factory=dict)  # ahead by ms, faster by part
    planted: dict[str, str] = field(default_factory=dict)  # process: a fault in it (modelcheck.planted)
    tokens: Tokens = Tokens()
    fleet: FleetList = FleetList()
    clients: Clients = Clients()
    events: list[Event] = field(default_factory=list)
    judging: Judging = Judging()


class ClassFacts(Struct, frozen=True):
    """What load and judge need of a class."""

    name: str
    effect: str
    deadline_ms: float
    aim_ms: float
    group: str
    window_ms: float
    method: str
    path: str


def classes(day: Day) -> dict[str, ClassFacts]:
    """The day's classes with a route to each; ValueError where one has none."""
    out = {}
    for cls in day.gateway.get("classes", []):
        route = next((r for r in day.gateway.get("routes", []) if r["class"] == cls["name"]), None)
        if route is None:
            raise ValueError(f"gateway.routes: no route leads to class {cls['name']!r}")
        out[cls["name"]] = ClassFacts(
            cls["name"],
            cls["effect"],
            cls["deadline_ms"],
            cls["aim_ms"],
            cls.get("group", "all"),
            cls.get("window_ms", 0.0),
            route["method"],
            route["path"],
        )
    return out


def customer_names(day: Day) -> list[tuple[str, str]]:
    """All customers of a day with their plans."""
    return [(f"{group.name}-{i}", group.plan) for group in day.customers for i in range(group.count)]


def plan_figures(day: Day) -> dict[str, dict[str, Any]]:
    """What each plan grants, by the name under which the gateways send it on."""
    if day.registry is not None:
        return {f"{name}@1": figures for name, figures in day.registry.plans.items()}
    return {plan["name"]: plan for plan in day.gateway.get("plans", [])}


def fits(pattern: str, who: str) -> bool:
    """Whether a pattern names a process: itself, `*`, or its kind with `*` for the number."""
    return pattern in (who, "*") or (pattern.endswith(" *") and who.startswith(pattern[:-1]))


def process(event: Event) -> tuple[str, int]:
    """The kind and number of the process an event is about."""
    kind, _, number = event.target.partition(" ")
    return kind, int(number or 0)


def check(day: Day) -> None:
    """ValueError("place: reason") where parts of a day contradict each other."""
    known = classes(day)
    plans = list(plan_figures(day))
    most = {
        "server": day.servers.count,
        "instance": day.instances,
        "tokens": 1,
        "fleet": 1,
        "counter": day.counter.parts if day.counter else 0,
        "registry": 1 if day.registry else 0,
        "proxy": len(day.proxies),
        "keeper": day.keepers,
    }
    known_processes = [f"keeper {k}" for k in range(day.keepers)] + [
        f"instance {i}" for i in range(day.instances)
    ]
    for what in ("clocks", "planted"):
        for who in getattr(day, what):
            if who not in known_processes or not day.keepers:
                raise ValueError(f"{what}: {who!r} is no keeper or instance of an agreed fleet")
    for who, fault in day.planted.items():
        if fault not in LEASE_FAULTS:
            raise ValueError(f"planted[{who}]: {fault!r} is not one of {', '.join(LEASE_FAULTS)}")
    if day.proxies and "forward" not in day.gateway:
        raise ValueError("proxies: need a section gateway.forward")
    for i, group in enumerate(day.customers):
        if group.plan + ("@1" if day.registry else "") not in plans:
            raise ValueError(f"customers[{i}].plan: {group.plan!r} is not one of {', '.join(plans)}")
        for cls in group.mix:
            if cls not in known:
                raise ValueError(f"customers[{i}].mix: {cls!r} is not one of {', '.join(known)}")
        if group.through and not day.proxies:
            raise ValueError(f"customers[{i}].through: there are no proxies")
        if not group.mix or not sum(group.mix.values()) or not sum(group.units.values()):
            raise ValueError(f"customers[{i}]: mix and units need weights above 0")
    for i, event in enumerate(day.events):
        where = f"events[{i}]"
        if event.do in ("surge", "rotate", "set_plan"):
            if event.customers and event.customers not in [g.name for g in day.customers]:
                raise ValueError(f"{where}.customers: no group {event.customers!r}")
            if event.do != "surge" and day.registry is None:
                raise ValueError(f"{where}: {event.do} needs a registry")
            if event.do == "set_plan" and event.plan not in plans:
                raise ValueError(f"{where}.plan: {event.plan!r} is not one of {', '.join(plans)}")
            if event.do != "set_plan" and not event.for_ms:
                raise ValueError(f"{where}.for_ms: needed with {event.do}")
            continue
        if event.do in ("link", "heal", "wipe", "fill", "empty", "step", "propose") and not day.keepers:
            raise ValueError(f"{where}.do: {event.do} needs keepers")
        if (event.do == "link") != (event.link is not None):
            raise ValueError(f"{where}.link: goes with `do: link`, and only with it")
        if event.do == "propose":
            continue
        if event.do in ("link", "heal"):
            near, _, far = event.target.partition(" > ")
            if not any(fits(near, who) for who in known_processes) or not any(
                fits(far, who) for who in known_processes if who.startswith("keeper")
            ):
                raise ValueError(f"{where}.target: no link {event.target!r}")
            continue
        kind, _, number = event.target.partition(" ")
        if kind not in most or (number and not number.isdecimal()) or int(number or 0) >= most[kind]:
            raise ValueError(f"{where}.target: no process {event.target!r}")
        if event.do in ("drain", "ready", "remove") and kind != "server":
            raise ValueError(f"{where}.target: only a server can {event.do}")
        mortal = ("server", "instance", "registry", "keeper")
        if event.do in ("kill", "start", "stall") and kind not in mortal:
            raise ValueError(f"{where}.target: {event.do} is for any of: {', '.join(mortal)}")
        if event.do in ("fill", "empty") and kind != "keeper":
            raise ValueError(f"{where}.target: {event.do} is for a keeper")
        if event.do == "wipe" and kind not in ("keeper", "instance"):
            raise ValueError(f"{where}.target: wipe is for a keeper or an instance")
        if event.do == "step" and event.target not in day.clocks:
            raise ValueError(f"{where}.target: only a clock of its own (clocks) can be stepped")
        if (event.do == "fault") != (event.fault is not None):
            raise ValueError(f"{where}.fault: goes with `do: fault`, and only with it")
        if event.do == "stall" and not event.for_ms:
            raise ValueError(f"{where}.for_ms: needed with {event.do}")
