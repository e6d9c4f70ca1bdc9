"""What keepers, instances and operators send each other: signed envelopes around MessagePack, over HTTP/1.1.

POST /v1/keeper, /v1/renew, /v1/propose, /v1/command and /v1/look, each with one envelope as its body. Keepers
and operators sign with the fleet's key; an instance has none, and what it sends is only checked.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from msgspec import Struct

from tamarindfold.agreement.consensus import Said
from tamarindfold.agreement.document import Document
from tamarindfold.agreement.reports import Report
from tamarindfold.identity.wire import BadUpdate, seal, unseal

PURPOSE = b"tamarindfold agreement 1:"
BODY_BYTES = 16 << 20
T = TypeVar("T")


class Batch(Struct, frozen=True):
    """What one keeper tells another in one go."""

    sender: int
    said: tuple[Said, ...]


class Propose(Struct, frozen=True):
    """See log.Proposed."""

    document: Document
    base: int
    author: str
    reason: str
    token: str
    first: tuple[str, ...] = ()


class Command(Struct, frozen=True):
    """An operator's word: force or widen or drop a version, or say that an instance is gone for good."""

    what: str
    version: int = 0
    name: str = ""
    author: str = ""


class Told(Struct, frozen=True):
    """What came of a proposal or a command. leader: who leads, as far as is known; -1: nobody."""

    version: int = 0
    reason: str = ""
    leader: int = -1
    again: bool = False  # nothing is known of what came of it: ask again with the same token


class Look(Struct, frozen=True):
    """What is agreed, for a person. reports: see agreement.reports, ages at the moment of the answer."""

    keeper: int
    leader: int
    proven: bool
    certain: bool
    state: bytes
    reports: tuple[Report, ...]
    waits_for: str = ""


def pack(body: Struct, key: Ed25519PrivateKey, said_to: str = "") -> bytes:
    """A message in an envelope; said_to: what it is for, signed with it."""
    return seal(msgspec.msgpack.encode(body), key, PURPOSE + said_to.encode())


def unpack(data: bytes, kind: type[T], key: Ed25519PublicKey, said_to: str = "") -> T:
    """The message in an envelope; BadUpdate where anything about it is wrong."""
    try:
        return msgspec.msgpack.decode(unseal(data, key, PURPOSE + said_to.encode()), type=kind)
    except msgspec.MsgspecError as error:
        raise BadUpdate(f"not a {kind.__name__}: {error}") from None


def plain(data: bytes, kind: type[T]) -> T:
    """A message without an envelope; BadUpdate where it is none."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise BadUpdate(f"not a {kind.__name__}: {error}") from None
