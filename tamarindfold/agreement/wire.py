"""Messages among keepers, instances and operators: MessagePack in signed envelopes, over HTTP/1.1.

POST /v1/keeper, /v1/renew, /v1/propose, /v1/command and /v1/look each take one message as the body. Keepers
and operators sign theirs with the fleet's key. An instance has no key: its requests are unsigned, and only
validated.

Messages are sent with their field names; `field(name=...)` keeps the sent name.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from msgspec import Struct, field

from tamarindfold.agreement.consensus import KeeperMessage
from tamarindfold.agreement.document import Document
from tamarindfold.agreement.reports import Report
from tamarindfold.identity.wire import BadUpdate, sign_envelope, open_envelope

PURPOSE_PREFIX = b"tamarindfold agreement 1:"
BODY_BYTES = 16 << 20  # largest message
T = TypeVar("T")


class MessageBatch(Struct, frozen=True):
    """Messages from one keeper to another, in order."""

    sender: int
    messages: tuple[KeeperMessage, ...] = field(name="said")


class Proposal(Struct, frozen=True):
    """An operator's proposal of a version; see log.Proposed for the fields."""

    document: Document
    base: int
    author: str
    reason: str
    token: str
    canaries: tuple[str, ...] = field(name="first", default=())


class OperatorCommand(Struct, frozen=True):
    """An operator's command.

    action: "force", "widen" or "drop" a version, or "retire" the instance `name`, which is gone for good.
    """

    action: str = field(name="what")
    version: int = 0
    name: str = ""
    author: str = ""


class OperatorReply(Struct, frozen=True):
    """The result of a proposal or a command. version: 0 if it was rejected, for `reason`."""

    version: int = 0
    reason: str = ""
    leader: int = -1  # the keeper that leads, as far as is known; -1: none
    retry: bool = field(name="again", default=False)  # the result is unknown; send it again


class KeeperStatus(Struct, frozen=True):
    """What one keeper knows, for operators. reports: with their ages at the time of the reply."""

    keeper: int
    leader: int
    recovered: bool = field(name="proven")
    certain: bool
    state: bytes
    reports: tuple[Report, ...]
    waits_for: str = ""


def pack(body: Struct, key: Ed25519PrivateKey, purpose: str = "") -> bytes:
    """Encode a message and sign it, together with the purpose that it is meant for."""
    return sign_envelope(msgspec.msgpack.encode(body), key, PURPOSE_PREFIX + purpose.encode())


def unpack(data: bytes, kind: type[T], key: Ed25519PublicKey, purpose: str = "") -> T:
    """Verify and decode a signed message. Raises BadUpdate if signature, purpose or content is wrong."""
    try:
        return msgspec.msgpack.decode(open_envelope(data, key, PURPOSE_PREFIX + purpose.encode()), type=kind)
    except msgspec.MsgspecError as error:
        raise BadUpdate(f"not a {kind.__name__}: {error}") from None


def unpack_unsigned(data: bytes, kind: type[T]) -> T:
    """Decode a message without an envelope. Raises BadUpdate if it is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise BadUpdate(f"not a {kind.__name__}: {error}") from None
