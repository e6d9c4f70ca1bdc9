"""Resolves a credential to its customer and plan at a given time. No I/O, no clock."""

from __future__ import annotations

import hmac
from dataclasses import dataclass

from tamarindfold.identity import keys
from tamarindfold.identity.tables import REVOKED, Credential, Tables


@dataclass(slots=True)
class ResolvedCredential:
    """A valid credential's customer (number) and plan (index) in force, and when its validity ends."""

    customer: int
    plan: int
    credential_id: int
    until_ms: float


@dataclass(frozen=True, slots=True)
class Denied:
    """Why a credential is not accepted."""

    reason: str
    unknown: bool = False  # not in this instance's tables, though the registry may already have it


def _resolve(tables: Tables, row: Credential, now_ms: float, skew_ms: float) -> ResolvedCredential | Denied:
    """Check a credential's validity and find its customer and plan.

    The validity period is extended by the clock skew at both ends, so that a client whose clock differs from
    this instance's is not refused. Revocations and transfers take effect without that tolerance.
    """
    if row.flags & REVOKED:
        return Denied("the credential was revoked")
    if now_ms + skew_ms < row.from_ms:
        return Denied("the credential is not good yet")
    if now_ms >= row.ends_ms + skew_ms:
        return Denied("the credential has ended")
    number = row.next_customer if now_ms >= row.moved_at_ms else row.customer
    owner = tables.customer(number)
    if owner is None:
        return Denied("the credential's customer is not known here")
    plan = owner.next_plan if now_ms >= owner.change_at_ms else owner.plan
    if plan >= len(tables.plans):
        return Denied("the customer's plan is not known here")
    return ResolvedCredential(number, plan, row.credential_id, row.ends_ms + skew_ms)


def by_key(
    tables: Tables, text: str, pepper: bytes, now_ms: float, skew_ms: float
) -> ResolvedCredential | Denied:
    """Resolve an API key."""
    try:
        key_id, secret = keys.parse(text)
    except keys.BadKey as error:
        return Denied(str(error))
    row = tables.credential(key_id)
    # Constant-time comparison, done also where the id is unknown: the time taken reveals nothing.
    matches = hmac.compare_digest(keys.digest(pepper, secret), row.digest if row is not None else bytes(16))
    if row is None or not matches:
        return Denied("no such credential", unknown=row is None)
    return _resolve(tables, row, now_ms, skew_ms)


def by_client(tables: Tables, client_id: str, now_ms: float, skew_ms: float) -> ResolvedCredential | Denied:
    """Resolve an OAuth client by the client id that introspection reports."""
    credential_id, digest = keys.hash_client_id(client_id)
    row = tables.credential(credential_id)
    if row is None or row.digest != digest:
        return Denied("the token's client is not registered", unknown=row is None)
    return _resolve(tables, row, now_ms, skew_ms)


def is_still_valid(tables: Tables, resolved: ResolvedCredential, now_ms: float, skew_ms: float) -> bool:
    """Whether a credential that was valid still is; checked before further attempts."""
    row = tables.credential(resolved.credential_id)
    return row is not None and isinstance(_resolve(tables, row, now_ms, skew_ms), ResolvedCredential)
