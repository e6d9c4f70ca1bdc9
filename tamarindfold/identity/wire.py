"""Encodes snapshots and deltas as signed protobuf messages."""

from __future__ import annotations

import hashlib

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from google.protobuf.message import DecodeError

from tamarindfold.identity.model import PlanFigures, PlanRow
from tamarindfold.identity.proto import registry_pb2 as pb
from tamarindfold.identity.tables import Columns, Credential, Customer, Delta, Snapshot

CHECKSUM_BYTES = 32
# Signed together with the checksum instead of the data, so that a large snapshot is hashed only once.
UPDATE_PURPOSE = b"tamarindfold update 1:"


class BadUpdate(ValueError):
    """Bytes that are not a valid update: malformed, truncated, altered or signed with another key."""


class Unchanged:
    """The registry's version, sent where there is nothing new for the follower."""

    __slots__ = ("diverged", "epoch", "version")

    def __init__(self, epoch: int, version: int, diverged: bool = False) -> None:
        """diverged: the follower's version is not in this registry's history (`other_past` on the wire)."""
        self.epoch, self.version, self.diverged = epoch, version, diverged


Body = Snapshot | Delta | Unchanged

_FIGURES = PlanFigures.__struct_fields__
_COLUMNS = {  # field of Columns: field of the protobuf message
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


def _encode_plan(row: PlanRow) -> pb.Plan:
    figures = {name: getattr(row.figures, name) for name in _FIGURES}
    return pb.Plan(name=row.plan, version=row.version, **figures)


def _decode_plan(plan: pb.Plan) -> PlanRow:
    return PlanRow(plan.name, plan.version, PlanFigures(**{name: getattr(plan, name) for name in _FIGURES}))


def sign_envelope(data: bytes, key: Ed25519PrivateKey, purpose: bytes) -> bytes:
    """Wrap data in a signed envelope.

    The purpose is signed too, so that an envelope made for one purpose is not accepted for another.
    """
    checksum = hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).digest()
    return pb.Envelope(
        update=data, checksum=checksum, signature=key.sign(purpose + checksum)
    ).SerializeToString()


def open_envelope(data: bytes, key: Ed25519PublicKey, purpose: bytes) -> bytes:
    """Verify an envelope and return its data; BadUpdate where it is malformed or its signature is wrong."""
    try:
        envelope = pb.Envelope.FromString(data)
        if hashlib.blake2b(envelope.update, digest_size=CHECKSUM_BYTES).digest() != envelope.checksum:
            raise BadUpdate("the checksum does not match: truncated or corrupted")
        key.verify(envelope.signature, purpose + envelope.checksum)
    except DecodeError as error:
        raise BadUpdate(f"not an envelope: {error}") from None
    except InvalidSignature:
        raise BadUpdate("signed with another key") from None
    return bytes(envelope.update)


def encode_update(body: Body, made_at_ms: float, key: Ed25519PrivateKey) -> bytes:
    """Encode an update and wrap it in a signed envelope."""
    update = pb.Update(made_at_ms=made_at_ms)
    match body:
        case Snapshot():
            update.snapshot.CopyFrom(
                pb.Snapshot(
                    epoch=body.epoch,
                    version=body.version,
                    chain=body.chain,
                    plans=[_encode_plan(row) for row in body.plans],
                    **{wire_name: getattr(body.columns, name) for name, wire_name in _COLUMNS.items()},
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
                    plans=[_encode_plan(row) for row in body.plans],
                    credentials=[
                        pb.Credential(
                            name=c.credential_id,
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
                pb.Unchanged(epoch=body.epoch, version=body.version, other_past=body.diverged)
            )
    return sign_envelope(update.SerializeToString(), key, UPDATE_PURPOSE)


def decode_update(data: bytes, key: Ed25519PublicKey) -> tuple[Body, float]:
    """Verify and decode an update; return it with the time at which it was made.

    BadUpdate where it is malformed or its signature is wrong.
    """
    try:
        update = pb.Update.FromString(open_envelope(data, key, UPDATE_PURPOSE))
    except DecodeError as error:
        raise BadUpdate(f"not an update: {error}") from None
    match update.WhichOneof("body"):
        case "snapshot":
            snapshot = update.snapshot
            columns = Columns(**{name: getattr(snapshot, wire_name) for name, wire_name in _COLUMNS.items()})
            plans = tuple(map(_decode_plan, snapshot.plans))
            return Snapshot(
                snapshot.epoch, snapshot.version, snapshot.chain, plans, columns
            ), update.made_at_ms
        case "delta":
            delta = update.delta
            return Delta(
                delta.epoch,
                delta.after,
                delta.version,
                delta.chain,
                delta.plans_before,
                tuple(map(_decode_plan, delta.plans)),
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
                    for c in delta.credentials
                ),
                tuple(Customer(c.number, c.plan, c.next_plan, c.change_at_ms) for c in delta.customers),
            ), update.made_at_ms
        case "unchanged":
            unchanged = update.unchanged
            return Unchanged(unchanged.epoch, unchanged.version, unchanged.other_past), update.made_at_ms
    raise BadUpdate("an update without a body")
