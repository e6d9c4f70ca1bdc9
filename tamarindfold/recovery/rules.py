"""Decides whether a snapshot is used, and merges it with its journals into the restored state. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from tamarindfold.interface import CustomerSnapshot, StateRestored, Settings
from tamarindfold.recovery.format import Header, JournalEntries

# A customer with a full ceiling is saved for this long: one that is not saved restarts with an empty ceiling.
FULL_CEILING_KEEP_MS = 60_000.0
SAME_TIME_MS = 0.01  # tolerance for a retry time that is in both the snapshot and the journal


def rejection_reason(
    header: Header, now: float, configuration: bytes, instance: int, max_age_ms: float, ahead_ms: float
) -> str:
    """Why a snapshot cannot be used; empty if it can."""
    if header.configuration != configuration:
        return "written under another configuration"
    if header.instance != instance:
        return f"written by instance {header.instance}"
    if header.taken_at_ms > now + ahead_ms:
        return f"dated {header.taken_at_ms - now:.0f} ms in the future: the clock was set back"
    if header.taken_at_ms < now - max_age_ms:
        return f"too old: {(now - header.taken_at_ms) / 1000:.0f} s"
    return ""


def is_worth_saving(row: CustomerSnapshot, settings: Settings, now: float) -> bool:
    """Whether a customer has a future retry time, or a ceiling that is not full or was used recently."""
    if row.end_of_queue_ms > now:
        return True
    plan = settings.plans[row.plan] if 0 <= row.plan < len(settings.plans) else None
    if plan is None or not plan.ceiling_rate:
        return False
    cap = plan.ceiling_burst / row.width
    refilled = row.cap_tokens + (now - row.at_ms) / 1000 * plan.ceiling_rate / row.width
    return refilled < cap or now - row.at_ms < FULL_CEILING_KEEP_MS


def merge_state(
    header: Header,
    rows: Sequence[CustomerSnapshot],
    entries: JournalEntries,
    plans: Sequence[str],
    now: float,
) -> StateRestored:
    """Merge a snapshot and its journals, with plan indexes translated to those of the current plans.

    A journal starts before its snapshot is written, so the two overlap: a retry time counts once; units spent
    from a ceiling may count twice, which never exceeds the ceiling.
    """
    indexes = {name: index for index, name in enumerate(plans)}
    current_index = [indexes.get(name, -1) for name in header.plans]  # -1: the plan no longer exists
    merged: dict[int, CustomerSnapshot] = {}
    for row in rows:
        if row.plan < len(current_index) and current_index[row.plan] >= 0:
            row.plan = current_index[row.plan]
            merged[row.customer] = row

    def find_or_add(customer: int, plan: int, width: int) -> CustomerSnapshot | None:
        index = current_index[plan] if plan < len(current_index) else -1
        if index < 0:
            return None
        # a customer missing from the snapshot starts with an empty ceiling, as after any restart
        return merged.setdefault(customer, CustomerSnapshot(customer, index, width, [], 0.0, at_ms=now))

    retry_times: dict[int, list[float]] = {}
    for customer, plan, width, retry_at in entries.refusals:
        if find_or_add(customer, plan, width) is not None:
            retry_times.setdefault(customer, []).append(retry_at)
    for customer, times in retry_times.items():
        row = merged[customer]
        row.appointments = merge_times(row.appointments, times)
        row.end_of_queue_ms = max(row.end_of_queue_ms, *times)
    for customer, plan, width, units in entries.spent:
        if (spender := find_or_add(customer, plan, width)) is not None:
            spender.cap_tokens -= units
    return StateRestored(list(merged.values()), list(header.unit_ms))


def merge_times(a: Sequence[float], b: Sequence[float]) -> list[float]:
    """Merge two lists of retry times in order, without duplicates."""
    merged: list[float] = []
    for time in sorted([*a, *b]):
        if not merged or time - merged[-1] > SAME_TIME_MS:
            merged.append(time)
    return merged
