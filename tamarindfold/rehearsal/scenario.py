"""A scenario as its YAML file describes it: fleet, load and timed events. Times in milliseconds."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from tamarindfold.config.model import (
    Identifier,
    NonNegativeFloat,
    NonNegativeMs,
    PositiveFloat,
    PositiveInt,
    Section,
)
from tamarindfold.modelcheck.planted import LEASE_FAULTS
from tamarindfold.rehearsal.relay import LinkFault
from tamarindfold.standins.base import Fault

Ratio = Annotated[float, Meta(ge=0, le=1)]


class ServerOptions(Section, frozen=True):
    """The backends: how many, over how many zones and cells. like: options of each one (standins.tariff)."""

    count: PositiveInt
    zones: PositiveInt = 1
    cells: PositiveInt = 1
    like: dict[str, Any] = field(default_factory=dict)


class CounterOptions(Section, frozen=True):
    """The counter stand-ins. parts: number of partitions, one process each. like: options of each process."""

    parts: PositiveInt = 1
    like: dict[str, Any] = field(default_factory=dict)


class TokenOptions(Section, frozen=True):
    """The introspection stand-in. exp_in_ms: lifetime of a token, after which it is replaced; 0: no limit."""

    like: dict[str, Any] = field(default_factory=dict)
    exp_in_ms: NonNegativeMs = 0


class ServerListOptions(Section, frozen=True):
    """The server list. delay_ms: delay of each update. detect_ms: time until a dead server is removed."""

    delay_ms: NonNegativeMs = 100
    detect_ms: NonNegativeMs = 1_000


class ProxyOptions(Section, frozen=True):
    """One proxy in front of the forward-auth fronts. like: its options (standins.proxy)."""

    kind: Literal["nginx", "traefik", "caddy", "envoy"]
    like: dict[str, Any] = field(default_factory=dict)


class RegistryOptions(Section, frozen=True):
    """A registry with keys, customers and plans. plans: the limits of each plan's first version, by name."""

    plans: dict[str, dict[str, float]]


class CustomerGroup(Section, frozen=True, kw_only=True):
    """Customers of one plan that behave alike."""

    name: Identifier
    count: PositiveInt = 1
    plan: Identifier
    rate: PositiveFloat  # requests per second of each customer
    mix: dict[str, NonNegativeFloat]  # class to weight
    units: dict[int, NonNegativeFloat] = field(default_factory=lambda: {1: 1.0})  # units to weight
    spread: PositiveFloat = 1.0  # shape of the distribution over gateways; smaller values are less even
    through: Ratio = 0.0  # ratio of requests sent through the proxies
    clients: Literal["library", "rude"] = "library"  # rude: retries at once, ignoring retry-after


class ClientOptions(Section, frozen=True):
    """Client behaviour."""

    retries: Annotated[int, Meta(ge=0)] = 2
    patience_least: Ratio = 0.5  # shortest client time-out, as a ratio of the class's deadline
    bad_tokens: Ratio = 0.0  # ratio of requests that carry an invalid token
    most_open: PositiveInt = 2_000  # maximum number of open calls; further ones are skipped


class ScenarioEvent(Section, frozen=True):
    """A timed event. target: a process (`server N`, `instance N`, `counter N`, `proxy N`, `keeper N`,
    `tokens`, `fleet` or `registry`)."""

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
    target: str = ""  # of link and heal: `instance 0 > keeper 1`, where `*` stands for all numbers
    fault: Fault | None = None
    for_ms: NonNegativeMs = 0
    factor: PositiveFloat = 1.0
    customers: str = ""  # group that surge, rotate and set_plan apply to; empty: all
    plan: str = ""  # of set_plan: NAME@VERSION, in force lead_ms after the commit
    lead_ms: NonNegativeMs = 1_500
    link: LinkFault | None = None  # of link
    changes: dict[str, Any] = field(default_factory=dict)  # of propose: sections of the agreed settings


class JudgeOptions(Section, frozen=True):
    """Tolerances for clock differences and scheduling delays on a busy machine."""

    slack_ms: NonNegativeMs = 150
    # how long an old version may be used after a newer one; 0: the window of the settings themselves
    window_ms: NonNegativeMs = 0


class Scenario(Section, frozen=True):
    """A scenario file. gateway: a gateway's configuration without the parts that the run fills in."""

    name: Identifier
    seed: int
    duration_ms: PositiveFloat
    instances: PositiveInt
    gateway: dict[str, Any]
    servers: ServerOptions
    customers: Annotated[list[CustomerGroup], Meta(min_length=1)]
    counter: CounterOptions | None = None
    registry: RegistryOptions | None = None
    proxies: list[ProxyOptions] = field(default_factory=list)
    keepers: Annotated[int, Meta(ge=0, le=9)] = 0  # above 0: the gateways' settings are agreed
    clocks: dict[str, tuple[float, float]] = field(default_factory=dict)  # process: offset in ms, drift ratio
    planted: dict[str, str] = field(default_factory=dict)  # process: planted fault (modelcheck.planted)
    tokens: TokenOptions = TokenOptions()
    fleet: ServerListOptions = ServerListOptions()
    clients: ClientOptions = ClientOptions()
    events: list[ScenarioEvent] = field(default_factory=list)
    judging: JudgeOptions = JudgeOptions()


class ClassInfo(Struct, frozen=True):
    """The properties of a request class that the load generator and the judge need, with a route to it."""

    name: str
    effect: str
    deadline_ms: float
    aim_ms: float
    group: str
    window_ms: float
    method: str
    path: str


def routed_classes(scenario: Scenario) -> dict[str, ClassInfo]:
    """The request classes by name, each with a route to it; ValueError if a class has no route."""
    out = {}
    for cls in scenario.gateway.get("classes", []):
        route = next((r for r in scenario.gateway.get("routes", []) if r["class"] == cls["name"]), None)
        if route is None:
            raise ValueError(f"gateway.routes: no route leads to class {cls['name']!r}")
        out[cls["name"]] = ClassInfo(
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


def customers_with_plans(scenario: Scenario) -> list[tuple[str, str]]:
    """The names of all customers, each with its plan."""
    return [(f"{group.name}-{i}", group.plan) for group in scenario.customers for i in range(group.count)]


def plan_limits(scenario: Scenario) -> dict[str, dict[str, Any]]:
    """The limits of each plan, by the plan name that gateways send to backends."""
    if scenario.registry is not None:
        return {f"{name}@1": limits for name, limits in scenario.registry.plans.items()}
    return {plan["name"]: plan for plan in scenario.gateway.get("plans", [])}


def matches_process(pattern: str, name: str) -> bool:
    """Whether a pattern matches a process: its name, `*`, or its kind followed by ` *`."""
    return pattern in (name, "*") or (pattern.endswith(" *") and name.startswith(pattern[:-1]))


def parse_target(event: ScenarioEvent) -> tuple[str, int]:
    """The kind and the number of the process that an event is about."""
    kind, _, number = event.target.partition(" ")
    return kind, int(number or 0)


def check(scenario: Scenario) -> None:
    """Raise ValueError("place: reason") if parts of a scenario contradict each other."""
    known_classes = routed_classes(scenario)
    plans = list(plan_limits(scenario))
    process_counts = {
        "server": scenario.servers.count,
        "instance": scenario.instances,
        "tokens": 1,
        "fleet": 1,
        "counter": scenario.counter.parts if scenario.counter else 0,
        "registry": 1 if scenario.registry else 0,
        "proxy": len(scenario.proxies),
        "keeper": scenario.keepers,
    }
    managed_processes = [f"keeper {k}" for k in range(scenario.keepers)] + [
        f"instance {i}" for i in range(scenario.instances)
    ]
    for section in ("clocks", "planted"):
        for name in getattr(scenario, section):
            if name not in managed_processes or not scenario.keepers:
                raise ValueError(f"{section}: {name!r} is not a keeper or instance of a fleet with keepers")
    for name, fault in scenario.planted.items():
        if fault not in LEASE_FAULTS:
            raise ValueError(f"planted[{name}]: {fault!r} is not one of {', '.join(LEASE_FAULTS)}")
    if scenario.proxies and "forward" not in scenario.gateway:
        raise ValueError("proxies: need a section gateway.forward")
    for i, group in enumerate(scenario.customers):
        if group.plan + ("@1" if scenario.registry else "") not in plans:
            raise ValueError(f"customers[{i}].plan: {group.plan!r} is not one of {', '.join(plans)}")
        for cls in group.mix:
            if cls not in known_classes:
                raise ValueError(f"customers[{i}].mix: {cls!r} is not one of {', '.join(known_classes)}")
        if group.through and not scenario.proxies:
            raise ValueError(f"customers[{i}].through: there are no proxies")
        if not group.mix or not sum(group.mix.values()) or not sum(group.units.values()):
            raise ValueError(f"customers[{i}]: mix and units need weights above 0")
    for i, event in enumerate(scenario.events):
        where = f"events[{i}]"
        if event.do in ("surge", "rotate", "set_plan"):
            if event.customers and event.customers not in [g.name for g in scenario.customers]:
                raise ValueError(f"{where}.customers: no group {event.customers!r}")
            if event.do != "surge" and scenario.registry is None:
                raise ValueError(f"{where}: {event.do} needs a registry")
            if event.do == "set_plan" and event.plan not in plans:
                raise ValueError(f"{where}.plan: {event.plan!r} is not one of {', '.join(plans)}")
            if event.do != "set_plan" and not event.for_ms:
                raise ValueError(f"{where}.for_ms: required with {event.do}")
            continue
        if event.do in ("link", "heal", "wipe", "fill", "empty", "step", "propose") and not scenario.keepers:
            raise ValueError(f"{where}.do: {event.do} needs keepers")
        if (event.do == "link") != (event.link is not None):
            raise ValueError(f"{where}.link: required with `do: link`, and allowed only with it")
        if event.do == "propose":
            continue
        if event.do in ("link", "heal"):
            near, _, far = event.target.partition(" > ")
            if not any(matches_process(near, name) for name in managed_processes) or not any(
                matches_process(far, name) for name in managed_processes if name.startswith("keeper")
            ):
                raise ValueError(f"{where}.target: no link {event.target!r}")
            continue
        kind, _, number = event.target.partition(" ")
        if (
            kind not in process_counts
            or (number and not number.isdecimal())
            or int(number or 0) >= process_counts[kind]
        ):
            raise ValueError(f"{where}.target: no process {event.target!r}")
        if event.do in ("drain", "ready", "remove") and kind != "server":
            raise ValueError(f"{where}.target: {event.do} applies to servers only")
        killable = ("server", "instance", "registry", "keeper")
        if event.do in ("kill", "start", "stall") and kind not in killable:
            raise ValueError(f"{where}.target: {event.do} applies to any of: {', '.join(killable)}")
        if event.do in ("fill", "empty") and kind != "keeper":
            raise ValueError(f"{where}.target: {event.do} applies to keepers only")
        if event.do == "wipe" and kind not in ("keeper", "instance"):
            raise ValueError(f"{where}.target: wipe applies to keepers and instances only")
        if event.do == "step" and event.target not in scenario.clocks:
            raise ValueError(f"{where}.target: step applies only to processes listed under clocks")
        if (event.do == "fault") != (event.fault is not None):
            raise ValueError(f"{where}.fault: required with `do: fault`, and allowed only with it")
        if event.do == "stall" and not event.for_ms:
            raise ValueError(f"{where}.for_ms: required with {event.do}")
