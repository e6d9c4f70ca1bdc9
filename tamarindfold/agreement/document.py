"""The agreed settings as one document, and what an instance does that cannot know which version is in force.

What contradicts what is said here, field by field, and nowhere else (docs/agreement.md has it as a table):
`narrowest` keeps to several versions at once, `cautious` to versions that nobody has heard of yet.
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
    Count,
    CounterConfig,
    Customers,
    Fleet,
    GatewayConfig,
    Instance,
    InstanceConfig,
    Introspection,
    Ms,
    OwnConfig,
    Part,
    PlanConfig,
    Route,
    Safety,
    Section,
    Server,
)

LEASE_PART = 0.75  # of the window; the rest is for drift of the clocks and for taking a change up
LEAST_PART = 0.1  # a figure is lowered to this part at most while an instance is away that may not know it
SUMMED = ("rate", "burst", "ceiling_rate", "ceiling_burst", "ceiling_slack", "open_limit")  # 0: no limit
_EFFECTS = ("unsafe", "keyed", "safe")  # from the narrowest to the widest
T = TypeVar("T")


class Terms(Section, frozen=True):
    """What the agreement itself goes by."""

    window_ms: Annotated[float, Meta(ge=200)] = 2_000  # no contradiction lasts longer
    unled_ms: Ms = 60_000  # without a lease an instance acts on its share for so long, then on the least
    least_share: Part = 0.001  # of every sum: what one that was away for longer may still act on
    most_instances: Annotated[int, Meta(ge=1, le=1000)] = 350  # members, and those that are away

    @property
    def lease_ms(self) -> float:
        """How long after it asked a majority an instance may act on what it was told."""
        return LEASE_PART * self.window_ms


class Document(Section, frozen=True):
    """All that the instances agree on, but the roster."""

    classes: Annotated[list[ClassConfig], Meta(min_length=1)]
    routes: Annotated[list[Route], Meta(min_length=1)]
    fleet: Fleet
    plans: list[PlanConfig] = field(default_factory=list)
    customers: Customers = Customers()
    safety: Safety = Safety()
    counter: CounterConfig | None = None
    max_attempts: Count = 3
    terms: Terms = Terms()


SHARED = ("classes", "routes", "fleet", "plans", "customers", "safety", "counter")


def merged(local: InstanceConfig, document: Document, gateways: int, index: int) -> GatewayConfig:
    """What one instance is, by its own file and what is agreed; ValueError where they don't go together."""
    own = {name: getattr(local, name) for name in OwnConfig.__struct_fields__}
    own["instance"] = replace(local.instance, gateways=gateways, index=index)
    own["upstream"] = replace(local.upstream, max_attempts=document.max_attempts)
    made = GatewayConfig(**own, **{name: getattr(document, name) for name in SHARED})
    derive.check(made)
    return made


def check(document: Document) -> None:
    """ValueError("place: reason") for what no instance could apply."""
    if document.customers.width:
        raise ValueError("customers.width: every customer's quota is shared out among all instances; give 0")
    look = Introspection(url="http://127.0.0.1/", client_id="any")
    bare = {name: getattr(document, name) for name in SHARED}
    if not document.plans:  # the registry has them: each instance says whether it follows one
        bare["plans"] = [PlanConfig(name="any", rate=0, burst=0)]
        if document.customers.default_plan:
            raise ValueError("customers.default_plan: there are no plans here")
    derive.check(GatewayConfig(introspection=look, instance=Instance(), **bare))


def check_after(old: Document, new: Document) -> None:
    """ValueError where a running instance that holds the old could not go over to the new."""
    for what in ("classes", "plans"):
        had, has = ([part.name for part in getattr(document, what)] for document in (old, new))
        if has[: len(had)] != had:
            raise ValueError(f"{what}: {', '.join(had)} keep their places; new ones follow")
    if bool(old.fleet.feed) != bool(new.fleet.feed):
        raise ValueError("fleet: a running instance does not change between a feed and a list")
    if old.fleet.feed != new.fleet.feed:
        raise ValueError("fleet.feed: a running instance keeps its feed")
    if bool(old.plans) != bool(new.plans):
        raise ValueError("plans: a running instance does not change between a registry and its own plans")


# ---- what may be in force


def _least(a: float, b: float) -> float:
    """The lower of two limits; 0 is none."""
    return min(a, b) if a and b else a or b


def _pairs(a: Sequence[T], b: Sequence[T], *names: str) -> Iterable[tuple[T, T | None]]:
    known = {tuple(getattr(part, name) for name in names): part for part in b}
    return [(part, known.get(tuple(getattr(part, name) for name in names))) for part in a]


def _class(a: ClassConfig, b: ClassConfig | None) -> ClassConfig:
    """The narrower effect; keyed twice over differing groups is as good as not keyed."""
    if b is None:
        return a
    effect = min(a.effect, b.effect, key=_EFFECTS.index)
    if effect == "keyed" and a.effect == b.effect and a.group != b.group:
        effect = "unsafe"
    keyed = a if a.effect == "keyed" else b
    window = min(a.window_ms, b.window_ms) if a.effect == b.effect else keyed.window_ms
    return replace(a, effect=effect, window_ms=window, group=keyed.group if effect == "keyed" else a.group)


def _plan(a: PlanConfig, b: PlanConfig | None) -> PlanConfig:
    if b is None:
        return a
    return replace(a, **{name: _least(getattr(a, name), getattr(b, name)) for name in SUMMED})


def _servers(a: list[Server], b: list[Server]) -> list[Server]:
    """The union of the drains: what either does not list as ready gets nothing new."""
    return [
        replace(
            one, state="ready" if other and (one.state, other.state) == ("ready", "ready") else "draining"
        )
        for one, other in _pairs(a, b, "address")
    ]


def _two(a: Document, b: Document) -> Document:
    safe_a, safe_b = a.safety, b.safety
    most_units = min(a.customers.most_units, b.customers.most_units)
    routes = [
        replace(
            one,
            scope=" ".join(sorted({*one.scope.split(), *other.scope.split()}))
            if one.scope != other.scope
            else one.scope,
            led_only=one.led_only or other.led_only,
        )
        for one, other in _pairs(a.routes, b.routes, "method", "path", "cls")
        if other is not None
    ]
    return replace(
        a,
        classes=[_class(one, other) for one, other in _pairs(a.classes, b.classes, "name")],
        plans=[_plan(one, other) for one, other in _pairs(a.plans, b.plans, "name")],
        routes=routes,
        fleet=replace(a.fleet, static=_servers(a.fleet.static, b.fleet.static)),
        customers=replace(
            a.customers, most_units=most_units, default_units=min(a.customers.default_units, most_units)
        ),
        safety=replace(
            safe_a,
            start_capacity=min(safe_a.start_capacity, safe_b.start_capacity),
            cold_ms=max(safe_a.cold_ms, safe_b.cold_ms),
            overload_ms=min(safe_a.overload_ms, safe_b.overload_ms),
            fall_multiple=min(safe_a.fall_multiple, safe_b.fall_multiple),
            drain_grace_ms=min(safe_a.drain_grace_ms, safe_b.drain_grace_ms),
            answer_grace_ms=min(safe_a.answer_grace_ms, safe_b.answer_grace_ms),
        ),
        # totals that are counted in two places let a quota pass twice: nobody counts meanwhile
        counter=a.counter if a.counter == b.counter else None,
        max_attempts=min(a.max_attempts, b.max_attempts),
    )


def narrowest(documents: Sequence[Document]) -> Document:
    """What is allowed by each of these versions; figures that contradict nothing are the first one's."""
    return reduce(_two, documents)


def needs_joint(old: Document, new: Document) -> bool:
    """Whether some instance on the old would do what the new forbids: the narrower of both goes between."""
    return narrowest([old, new]) != old


def harmless(old: Document, new: Document) -> bool:
    """Whether instances may stay on different ones of the two: nothing in them contradicts."""
    return not needs_joint(old, new) and not needs_joint(new, old)


def cautious(document: Document) -> Document:
    """For an instance without a lease: a version it has not heard of may call any class unsafe to repeat."""
    return replace(document, classes=[replace(cls, effect="unsafe") for cls in document.classes])


def lowered(old: Document, new: Document) -> float:
    """The least part that a summed figure keeps from one version to another; 1 where none is lowered."""
    part = 1.0
    for one, other in _pairs(old.plans, new.plans, "name"):
        for name in SUMMED if other is not None else ():
            before, after = getattr(one, name), getattr(other, name)
            if after and (not before or after < before):
                part = min(part, after / before if before else 0.0)
    return part


# ---- for a person


def flat(document: Document) -> dict[str, Any]:
    """The document as place to value, lists by the names of their parts."""
    out: dict[str, Any] = {}

    def walk(value: Any, place: str) -> None:
        if isinstance(value, dict):
            for key, part in value.items():
                walk(part, f"{place}.{key}" if place else key)
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for i, part in enumerate(value):
                key = (
                    part.get("name")
                    or part.get("address")
                    or " ".join(str(part[k]) for k in ("method", "path") if k in part)
                    or i
                )
                walk(part, f"{place}[{key}]")
        else:
            out[place] = value

    walk(msgspec.to_builtins(document), "")
    return out


def differences(old: Document, new: Document) -> list[str]:
    """Lines that say what changed."""
    before, after = flat(old), flat(new)
    return [
        f"{place}: {before.get(place, '(none)')} -> {after.get(place, '(none)')}"
        for place in dict.fromkeys([*before, *after])
        if before.get(place) != after.get(place)
    ]
