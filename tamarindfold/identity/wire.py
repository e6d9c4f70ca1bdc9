"""Snapshots and changes as signed protobuf messages."""

from __future__ import annotations

import hashlib

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from google.protobuf.message import DecodeError

from tamarindfold.identity.model import PlanFigures, PlanRow
from tamarindfold.identity.proto import registry_pb2 as pb
from tamarindfold.identity.tables import Columns, Credential, Customer, Delta, Snapshot

CHECKSUM_BYTES = 32
SIGNED = b"tamarindfold update 1:"  # signed with the checksum: a large snapshot is gone through once only


class BadUpdate(ValueError):
    """Bytes that are no update of this registry: truncated, altered, or signed by another."""


class Unchanged:
    """Nothing new: the registry is at this version."""

    __slots__ = ("epoch", "other_past", "version")

    def __init__(self, epoch: int, version: int, other_past: bool = False) -> None:
        """other_past: what the follower holds is not of this registry's past."""
        self.epoch, self.version, self.other_past = epoch, version, other_past


Body = Snapshot | Delta | Unchanged

_FIGURES = PlanFigures.__struct_fields__
_COLUMNS = {
    "names": "names",
    "index": "index",
    "digests": "digests",
    "customers": "customers",
    "next_customers": "next_customers",
    "moved_at": "moved_at_ms",
    "from_ms": "from_ms",
    "ends_ms": "ends_ms",
    "flags": "flags",
    "customer_plans": "customer_plans",
    "customer_next": "customer_next",
    "customer_change": "customer_change_ms",
}


def _plan(row: PlanRow) -> pb.Plan:
    figures = {name: getattr(row.figures, name) for name in _FIGURES}
    return pb.Plan(name=row.plan, version=row.version, **figures)


def _plan_row(plan: pb.Plan) -> PlanRow:
    return PlanRow(plan.name, plan.version, PlanFigures(**{name: getattr(plan, name) for name in _FIGURES}))


def seal(data: bytes, key: Ed25519PrivateKey, purpose: bytes) -> bytes:
    """Data in a signed envelope; the purpose is signed too, so that no envelope passes for another kind."""
    checksum = hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).digest()
    return pb.Envelope(
        update=data, checksum=checksum, signature=key.sign(purpose + checksum)
    ).SerializeToString()


def unseal(data: bytes, key: Ed25519PublicKey, purpose: bytes) -> bytes:
    """What an envelope holds; BadUpdate where anything about it is wrong."""
    try:
        envelope = pb.Envelope.FromString(data)
        if hashlib.blake2b(envelope.update, digest_size=CHECKSUM_BYTES).digest() != envelope.checksum:
            raise BadUpdate("the checksum does not fit: truncated or corrupted")
        key.verify(envelope.signature, purpose + envelope.checksum)
    except DecodeError as error:
        raise BadUpdate(f"not an envelope: {error}") from None
    except InvalidSignature:
        raise BadUpdate("signed by another key") from None
    return bytes(envelope.update)


def write(body: Body, made_at_ms: float, key: Ed25519PrivateKey) -> bytes:
    """An update as an envelope."""
    update = pb.Update(made_at_ms=made_at_ms)
    match body:
        case Snapshot():
            update.snapshot.CopyFrom(
                pb.Snapshot(
                    epoch=body.epoch,
                    version=body.version,
                    chain=body.chain,
                    plans=[_plan(row) for row in body.plans],
                    **{sent: getattr(body.columns, ours) for ours, sent in _COLUMNS.items()},
                )
            )
        case Delta():
            update.delta.CopyFrom(
                pb.Delta(
                    epoch=body.epoch,
                    after=body.after,
                    version=body.version,
                    chain=body.chain,
                    plans_before=body.plans_before,
                    plans=[_plan(row) for row in body.plans],
                    credentials=[
                        pb.Credential(
                            name=c.name,
                            digest=c.digest,
                            customer=c.customer,
                            next_customer=c.next_customer,
                            moved_at_ms=c.moved_at_ms,
                            from_ms=c.from_ms,
                            ends_ms=c.ends_ms,
                            flags=c.flags,
                        )
                        for c in body.credentials
                    ],
                    customers=[
                        pb.Customer(
                            number=c.number, plan=c.plan, next_plan=c.next_plan, change_at_ms=c.change_at_ms
                        )
                        for c in body.customers
                    ],
                )
            )
        case Unchanged():
            update.unchanged.CopyFrom(
                pb.Unchanged(epoch=body.epoch, version=body.version, other_past=body.other_past)
            )
    return seal(update.SerializeToString(), key, SIGNED)


def read(data: bytes, key: Ed25519PublicKey) -> tuple[Body, float]:
    """The update in an envelope and when it was made; BadUpdate where anything about it is wrong."""
    try:
        update = pb.Update.FromString(unseal(data, key, SIGNED))
    except DecodeError as error:
        raise BadUpdate(f"not an update: {error}") from None
    match update.WhichOneof("body"):
        case "snapshot":
            s = update.snapshot
            columns = Columns(**{ours: getattr(s, sent) for ours, sent in _COLUMNS.items()})
            plans = tuple(map(_plan_row, s.plans))
            return Snapshot(s.epoch, s.version, s.chain, plans, columns), update.made_at_ms
        case "delta":
            d = update.delta
            return Delta(
                d.epoch,
                d.after,
                d.version,
                d.chain,
                d.plans_before,
                tuple(map(_plan_row, d.plans)),
                tuple(
                    Credential(
                        c.name,
                        c.digest,
                        c.customer,
                        c.next_customer,
                        c.moved_at_ms,
                        c.from_ms,
                        c.ends_ms,
                        c.flags,
                    )
                    for c in d.credentials
                ),
                tuple(Customer(c.number, c.plan, c.next_plan, c.change_at_ms) for c in d.customers),
            ), update.made_at_ms
        case "unchanged":
            u = update.unchanged
            return Unchanged(u.epoch, u.version, u.other_past), update.made_at_ms
    raise BadUpdate("an update with nothing in it")
