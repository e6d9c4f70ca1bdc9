"""Finds credentials whose use is suspicious. No I/O; each finding carries its evidence."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from netaddr import IPNetwork, IPSet

from tamarindfold.identity.model import AnyChange, Move, SetPlan
from tamarindfold.identity.state import RegistryState

UNUSED_AFTER_MS = 90 * 86_400_000.0
HAND_OVER_GRACE_MS = 3_600_000.0  # after a transfer; by then the new owner's tills are in use
PLAN_CHANGE_WINDOW_MS = 30 * 86_400_000.0
SUSPICIOUS_PLAN_CHANGES = 3  # within the window


@dataclass(frozen=True, slots=True)
class Finding:
    """A suspicion: its kind, the credential or customer concerned, and the evidence."""

    kind: str
    subject: str
    evidence: dict[str, Any]


def audit(
    state: RegistryState,
    log: Iterable[tuple[int, float, AnyChange]],
    uses: Sequence[tuple[str, str, float, float, int]],
    now_ms: float,
) -> list[Finding]:
    """Return all findings, sorted by subject.

    log: version, time and change of each entry. uses: credential, network, first and last time, requests.
    """
    found = [
        *_check_networks(state, uses, now_ms),
        *_check_unused(state, uses, now_ms),
        *_check_history(log, uses, now_ms),
    ]
    return sorted(found, key=lambda f: (f.subject, f.kind))


def _check_networks(
    state: RegistryState, uses: Sequence[tuple[str, str, float, float, int]], now_ms: float
) -> Iterable[Finding]:
    """Find use from another customer's networks, or from those of several customers."""
    customer_networks = {
        row.name: IPSet([IPNetwork(n) for n in row.networks])
        for row in state.customers_by_number
        if row.networks
    }
    for credential in dict.fromkeys(use[0] for use in uses):
        row = state.credentials.get(credential)
        if row is None:
            yield Finding("unknown", credential, {"reason": "used, but not in the registry"})
            continue
        owner = state.customers_by_number[row.customer_at(now_ms) - 1].name
        used_from: dict[str, list[str]] = {}
        for _, network, first, last, requests in (use for use in uses if use[0] == credential):
            for customer, networks in customer_networks.items():
                if IPNetwork(network) in networks:
                    used_from.setdefault(customer, []).append(
                        f"{network}: {requests} requests, {first:.0f} to {last:.0f}"
                    )
        if len(used_from) > 1:
            yield Finding("two_networks", credential, {"owner": owner, "used_from": used_from})
        elif used_from and owner not in used_from:
            yield Finding("foreign_network", credential, {"owner": owner, "used_from": used_from})


def _check_unused(
    state: RegistryState, uses: Sequence[tuple[str, str, float, float, int]], now_ms: float
) -> Iterable[Finding]:
    """Find active credentials that have not been used for a long time."""
    last_use: dict[str, float] = {}
    for credential, _, _, at_ms, _ in uses:
        last_use[credential] = max(last_use.get(credential, 0.0), at_ms)
    for row in state.credentials.values():
        since = last_use.get(row.credential, max(row.issued_ms, row.from_ms))
        if row.state_at(now_ms) == "active" and now_ms - since > UNUSED_AFTER_MS:
            yield Finding(
                "unused",
                row.credential,
                {
                    "active_since_ms": row.from_ms or row.issued_ms,
                    "last_use_ms": last_use.get(row.credential),
                    "days": int((now_ms - since) / 86_400_000),
                },
            )


def _check_history(
    log: Iterable[tuple[int, float, AnyChange]],
    uses: Sequence[tuple[str, str, float, float, int]],
    now_ms: float,
) -> Iterable[Finding]:
    """Find credentials still used from the old networks after a transfer, and frequent plan changes."""
    plans: dict[str, list[tuple[float, str]]] = {}
    moves: dict[str, Move] = {}
    for _, at_ms, change in log:
        if isinstance(change, Move):
            moves[change.credential] = change
        elif isinstance(change, SetPlan):
            plans.setdefault(change.customer, []).append((at_ms, f"{change.plan}@{change.plan_version}"))
    for credential, move in moves.items():
        still_from = [
            (network, last)
            for name, network, first, last, _ in uses
            if name == credential and first < move.at_ms and last > move.at_ms + HAND_OVER_GRACE_MS
        ]
        if still_from:
            yield Finding(
                "used_after_hand_over",
                credential,
                {"handed_to": move.customer, "at_ms": move.at_ms, "still_from": dict(still_from)},
            )
    for customer, changes in plans.items():
        recent = [change for change in changes if change[0] > now_ms - PLAN_CHANGE_WINDOW_MS]
        if len(recent) >= SUSPICIOUS_PLAN_CHANGES:
            yield Finding("plan_jumps", customer, {"changes": [f"{at:.0f}: {plan}" for at, plan in recent]})
