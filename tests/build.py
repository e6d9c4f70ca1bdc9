"""Builders of settings, gateways and events for tests of the decision module."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from tamarindfold import Gateway
from tamarindfold.interface import (
    AttemptEnded,
    BackendEntry,
    BackendState,
    Effect,
    FleetUpdate,
    Group,
    ListKind,
    Outcome,
    Plan,
    RequestArrived,
    RequestClass,
    Settings,
)

SAFE = RequestClass(1500, 6000, 3, Effect.SAFE)
KEYED = RequestClass(1000, 4000, 5, Effect.KEYED, Group.CELL, 3000)
KEYED_ALL = RequestClass(1000, 4000, 5, Effect.KEYED, Group.ALL, 3000)
UNSAFE = RequestClass(3000, 8000, 9, Effect.UNSAFE)
OPEN = Plan(0, 0)
START = 1000.0


def settings(**changes: Any) -> Settings:
    base = Settings(
        gateways=2,
        index=0,
        classes=(SAFE, KEYED, KEYED_ALL, UNSAFE),
        plans=(OPEN,),
        max_attempts=3,
        start_capacity=0.2,
        cold_ms=10_000,
        fall_multiple=2,
        overload_ms=3000,
        drain_grace_ms=250,
        max_retry_after_ms=500,
        most_units=4,
        tick_ms=2,
        cancel=True,
    )
    return replace(base, **changes)


def fleet(
    *ids: int, state: BackendState = BackendState.READY, kind: ListKind = ListKind.FULL, up: float = 0.0
) -> FleetUpdate:
    return FleetUpdate(kind, [BackendEntry(i, state, cell=i % 2, up_since_ms=up) for i in ids])


def gateway(*ids: int, seed: int = 7, **changes: Any) -> Gateway:
    """A gateway with these backends; 1 to 4 by default."""
    gateway = Gateway(settings(**changes), seed)
    gateway.handle(START, fleet(*(ids or (1, 2, 3, 4))))
    return gateway


def request(
    number: int,
    cls: int = 0,
    customer: int = 9,
    plan: int = 0,
    units: float = 1.0,
    width: int = 2,
    left: float = 4000.0,
    retry: bool = False,
) -> RequestArrived:
    return RequestArrived(number, customer, plan, cls, units, 0, width, left, retry)


def ended(
    number: int,
    backend: int,
    outcome: Outcome = Outcome.OK,
    attempt: int = 0,
    took: float = 100.0,
    units: float = 0.0,
) -> AttemptEnded:
    return AttemptEnded(number, attempt, backend, outcome, took, outcome is Outcome.OK, None, units)
