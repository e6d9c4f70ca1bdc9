"""The shared settings as one document, and what applies while it is unknown which version is in force.

This module alone defines, field by field, which changes contradict an older version (docs/agreement.md has
the table). `most_restrictive` combines versions so that none of them is violated, and `forbid_repeats` allows
for versions that the instance does not know yet.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import reduce
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, field
from msgspec.structs import replace

from tamarindfold.config import derive
from tamarindfold.config.model import (
    ClassConfig,
    PositiveInt,
    CounterConfig,
    Customers,
    Fleet,
    GatewayConfig,
    Instance,
    InstanceConfig,
    Introspection,
    NonNegativeMs,
    OwnConfig,
    Fraction,
    PlanConfig,
    Route,
    Safety,
    Section,
    Server,
)

LEASE_PART = 0.75  # of the window; the rest allows for clock drift and for applying a change
LOWEST_RATIO = 0.1  # by which a limit may be lowered while a lost instance may not know of it
# limits of a plan that are divided among the instances; 0: no limit
SUMMED_LIMITS = ("rate", "burst", "ceiling_rate", "ceiling_burst", "ceiling_slack", "open_limit")
_EFFECTS = ("unsafe", "keyed", "safe")  # from most to least restrictive
T = TypeVar("T")


class Terms(Section, frozen=True):
    """Parameters of the agreement itself."""

    window_ms: Annotated[float, Meta(ge=200)] = 2_000  # longest time for which instances may disagree
    # how long an instance without a lease keeps its share before it drops to the least share
    unled_ms: NonNegativeMs = 60_000
    least_share: Fraction = 0.001  # of each summed limit, for an instance that was without a lease for longer
    most_instances: Annotated[int, Meta(ge=1, le=1000)] = 350  # members and lost instances together

    @property
    def lease_ms(self) -> float:
        """Length of a lease, from the sending of the renewal requests that a majority confirmed."""
        return LEASE_PART * self.window_ms


class Document(Section, frozen=True):
    """All shared settings. The roster is kept apart, in state.State."""

    classes: Annotated[list[ClassConfig], Meta(min_length=1)]
    routes: Annotated[list[Route], Meta(min_length=1)]
    fleet: Fleet
    plans: list[PlanConfig] = field(default_factory=list)
    customers: Customers = Customers()
    safety: Safety = Safety()
    counter: CounterConfig | None = None
    max_attempts: PositiveInt = 3
    terms: Terms = Terms()


SHARED_SECTIONS = ("classes", "routes", "fleet", "plans", "customers", "safety", "counter")


def merged(local: InstanceConfig, document: Document, gateways: int, index: int) -> GatewayConfig:
    """The configuration of one instance: its own file and the shared document.

    Raises ValueError if they contradict each other.
    """
    fields = {name: getattr(local, name) for name in OwnConfig.__struct_fields__}
    fields["instance"] = replace(local.instance, gateways=gateways, index=index)
    fields["upstream"] = replace(local.upstream, max_attempts=document.max_attempts)
    config = GatewayConfig(**fields, **{name: getattr(document, name) for name in SHARED_SECTIONS})
    derive.check(config)
    return config


def check(document: Document) -> None:
    """Raise ValueError("path: reason") if no instance could apply the document."""
    if document.customers.width:
        raise ValueError("customers.width: every customer's quota is shared out among all instances; give 0")
    introspection = Introspection(url="http://127.0.0.1/", client_id="any")
    shared = {name: getattr(document, name) for name in SHARED_SECTIONS}
    if not document.plans:  # the registry has them; each instance reports whether it follows a registry
        shared["plans"] = [PlanConfig(name="any", rate=0, burst=0)]
        if document.customers.default_plan:
            raise ValueError("customers.default_plan: there are no plans here")
    derive.check(GatewayConfig(introspection=introspection, instance=Instance(), **shared))


def check_change(old: Document, new: Document) -> None:
    """Raise ValueError if a running instance could not change from the old document to the new one."""
    for section in ("classes", "plans"):
        before, after = ([part.name for part in getattr(document, section)] for document in (old, new))
        if after[: len(before)] != before:
            raise ValueError(f"{section}: {', '.join(before)} keep their places; new ones follow")
    if bool(old.fleet.feed) != bool(new.fleet.feed):
        raise ValueError("fleet: a running instance does not change between a feed and a list")
    if old.fleet.feed != new.fleet.feed:
        raise ValueError("fleet.feed: a running instance keeps its feed")
    if bool(old.plans) != bool(new.plans):
        raise ValueError("plans: a running instance does not change between a registry and its own plans")


# ---- combining versions that may be in force


def _lower_limit(a: float, b: float) -> float:
    """The lower of two limits, where 0 means no limit."""
    return min(a, b) if a and b else a or b


def _pairs(a: Sequence[T], b: Sequence[T], *names: str) -> Iterable[tuple[T, T | None]]:
    """Each part of `a` with the part of `b` that has the same values of these fields, if any."""
    known = {tuple(getattr(part, name) for name in names): part for part in b}
    return [(part, known.get(tuple(getattr(part, name) for name in names))) for part in a]


def _restrict_class(a: ClassConfig, b: ClassConfig | None) -> ClassConfig:
    """The more restrictive effect; a class that is keyed in two different groups counts as unsafe."""
    if b is None:
        return a
    effect = min(a.effect, b.effect, key=_EFFECTS.index)
    if effect == "keyed" and a.effect == b.effect and a.group != b.group:
        effect = "unsafe"
    keyed = a if a.effect == "keyed" else b
    window = min(a.window_ms, b.window_ms) if a.effect == b.effect else keyed.window_ms
    return replace(a, effect=effect, window_ms=window, group=keyed.group if effect == "keyed" else a.group)


def _restrict_plan(a: PlanConfig, b: PlanConfig | None) -> PlanConfig:
    if b is None:
        return a
    return replace(a, **{name: _lower_limit(getattr(a, name), getattr(b, name)) for name in SUMMED_LIMITS})


def _restrict_servers(a: list[Server], b: list[Server]) -> list[Server]:
    """The union of the drains: a server gets new requests only if both versions list it as ready."""
    return [
        replace(
            server,
            state="ready"
            if counterpart and (server.state, counterpart.state) == ("ready", "ready")
            else "draining",
        )
        for server, counterpart in _pairs(a, b, "address")
    ]


def _restrict(a: Document, b: Document) -> Document:
    """Settings that violate neither version."""
    safety_a, safety_b = a.safety, b.safety
    most_units = min(a.customers.most_units, b.customers.most_units)
    routes = [
        replace(
            route,
            scope=" ".join(sorted({*route.scope.split(), *counterpart.scope.split()}))
            if route.scope != counterpart.scope
            else route.scope,
            led_only=route.led_only or counterpart.led_only,
        )
        for route, counterpart in _pairs(a.routes, b.routes, "method", "path", "cls")
        if counterpart is not None
    ]
    return replace(
        a,
        classes=[
            _restrict_class(cls, counterpart) for cls, counterpart in _pairs(a.classes, b.classes, "name")
        ],
        plans=[_restrict_plan(plan, counterpart) for plan, counterpart in _pairs(a.plans, b.plans, "name")],
        routes=routes,
        fleet=replace(a.fleet, static=_restrict_servers(a.fleet.static, b.fleet.static)),
        customers=replace(
            a.customers, most_units=most_units, default_units=min(a.customers.default_units, most_units)
        ),
        safety=replace(
            safety_a,
            start_capacity=min(safety_a.start_capacity, safety_b.start_capacity),
            cold_ms=max(safety_a.cold_ms, safety_b.cold_ms),
            overload_ms=min(safety_a.overload_ms, safety_b.overload_ms),
            fall_multiple=min(safety_a.fall_multiple, safety_b.fall_multiple),
            drain_grace_ms=min(safety_a.drain_grace_ms, safety_b.drain_grace_ms),
            answer_grace_ms=min(safety_a.answer_grace_ms, safety_b.answer_grace_ms),
        ),
        # a quota counted in two counters at once could be used up in each, so the joint phase uses none
        counter=a.counter if a.counter == b.counter else None,
        max_attempts=min(a.max_attempts, b.max_attempts),
    )


def most_restrictive(documents: Sequence[Document]) -> Document:
    """Settings that violate none of these versions; fields that can't contradict are the first version's."""
    return reduce(_restrict, documents)


def needs_joint_phase(old: Document, new: Document) -> bool:
    """Whether an instance on the old version might do what the new one forbids.

    If so, a joint phase, in which the most restrictive of both applies, must precede the new version.
    """
    return most_restrictive([old, new]) != old


def compatible(old: Document, new: Document) -> bool:
    """Whether neither version contradicts the other, so that both may be in use at the same time."""
    return not needs_joint_phase(old, new) and not needs_joint_phase(new, old)


def forbid_repeats(document: Document) -> Document:
    """For an instance without a lease: an unknown version may have declared any class unsafe to repeat."""
    return replace(document, classes=[replace(cls, effect="unsafe") for cls in document.classes])


def lowest_ratio(old: Document, new: Document) -> float:
    """The lowest ratio of a new summed limit to the old one; 1 if none is lowered."""
    lowest = 1.0
    for old_plan, new_plan in _pairs(old.plans, new.plans, "name"):
        for name in SUMMED_LIMITS if new_plan is not None else ():
            before, after = getattr(old_plan, name), getattr(new_plan, name)
            if after and (not before or after < before):
                lowest = min(lowest, after / before if before else 0.0)
    return lowest


# ---- display


def flatten(document: Document) -> dict[str, Any]:
    """The document as a map from paths to values; list items are addressed by name, address or route."""
    values: dict[str, Any] = {}

    def walk(value: Any, path: str) -> None:
        if isinstance(value, dict):
            for key, part in value.items():
                walk(part, f"{path}.{key}" if path else key)
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for i, part in enumerate(value):
                key = (
                    part.get("name")
                    or part.get("address")
                    or " ".join(str(part[k]) for k in ("method", "path") if k in part)
                    or i
                )
                walk(part, f"{path}[{key}]")
        else:
            values[path] = value

    walk(msgspec.to_builtins(document), "")
    return values


def differences(old: Document, new: Document) -> list[str]:
    """One line for each value that changed."""
    before, after = flatten(old), flatten(new)
    return [
        f"{path}: {before.get(path, '(none)')} -> {after.get(path, '(none)')}"
        for path in dict.fromkeys([*before, *after])
        if before.get(path) != after.get(path)
    ]
