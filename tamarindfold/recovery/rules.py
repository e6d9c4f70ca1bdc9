"""Decides whether a snapshot is taken, and what a restarted instance makes of it and its journals. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from tamarindfold.interface import CustomerSnapshot, StateRestored, Settings
from tamarindfold.recovery.format import Entries, Header

IDLE_MS = 60_000.0  # a full ceiling is worth a row for this long: a restart would empty it
SAME_MS = 0.01  # a promise that stands in the snapshot and the journal both


def refusal(
    header: Header, now: float, configuration: bytes, instance: int, max_age_ms: float, ahead_ms: float
) -> str:
    """Why a snapshot is not taken; empty where it is."""
    if header.configuration != configuration:
        return "of another configuration"
    if header.instance != instance:
        return f"of instance {header.instance}"
    if header.taken_at_ms > now + ahead_ms:
        return f"from the future, by {header.taken_at_ms - now:.0f} ms: the clock stepped back"
    if header.taken_at_ms < now - max_age_ms:
        return f"too old, {(now - header.taken_at_ms) / 1000:.0f} s"
    return ""


def keeps(row: CustomerSnapshot, settings: Settings, now: float) -> bool:
    """Whether a customer is still worth a row: a promise lies ahead, or a ceiling is not full again."""
    if row.end_of_queue_ms > now:
        return True
    plan = settings.plans[row.plan] if 0 <= row.plan < len(settings.plans) else None
    if plan is None or not plan.ceiling_rate:
        return False
    cap = plan.ceiling_burst / row.width
    refilled = row.cap_tokens + (now - row.at_ms) / 1000 * plan.ceiling_rate / row.width
    return refilled < cap or now - row.at_ms < IDLE_MS


def restore(
    header: Header, rows: Sequence[CustomerSnapshot], entries: Entries, plans: Sequence[str], now: float
) -> StateRestored:
    """Snapshot and journals as one, in the places that the plans have now.

    A journal begins before its snapshot is taken, so the two overlap: a promise counts once, a draw from a
    ceiling may count twice, which keeps the ceiling.
    """
    places = {name: place for place, name in enumerate(plans)}
    moved = [places.get(name, -1) for name in header.plans]
    known: dict[int, CustomerSnapshot] = {}
    for row in rows:
        if row.plan < len(moved) and moved[row.plan] >= 0:
            row.plan = moved[row.plan]
            known[row.customer] = row

    def entry(customer: int, plan: int, width: int) -> CustomerSnapshot | None:
        place = moved[plan] if plan < len(moved) else -1
        if place < 0:
            return None
        # one that the snapshot did not know had nothing of its ceiling: it began as a restarted one does
        return known.setdefault(customer, CustomerSnapshot(customer, place, width, [], 0.0, at_ms=now))

    promised: dict[int, list[float]] = {}
    for customer, plan, width, back_at in entries.promised:
        if entry(customer, plan, width) is not None:
            promised.setdefault(customer, []).append(back_at)
    for customer, times in promised.items():
        row = known[customer]
        row.appointments = merge(row.appointments, times)
        row.end_of_queue_ms = max(row.end_of_queue_ms, *times)
    for customer, plan, width, units in entries.spent:
        if (drawn := entry(customer, plan, width)) is not None:
            drawn.cap_tokens -= units
    return StateRestored(list(known.values()), list(header.unit_ms))


def merge(a: Sequence[float], b: Sequence[float]) -> list[float]:
    """Two lists of appointments as one, in order, each once."""
    out: list[float] = []
    for time in sorted([*a, *b]):
        if not out or time - out[-1] > SAME_MS:
            out.append(time)
    return out
