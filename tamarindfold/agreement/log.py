"""The entries of the replicated log, linked by a hash chain.

Entry numbers serve as fencing tokens: an instance's place in the roster, its lease and any takeover are
identified by the number of the entry that granted them.

Class names and field names are part of the stored format. Where a Python name differs from it, `tag=` or
`field(name=...)` gives the stored name.
"""

from __future__ import annotations

import hashlib

import msgspec
from msgspec import Struct, field

from tamarindfold.agreement.document import Document

CHAIN_BYTES = 16
EMPTY_CHAIN = bytes(CHAIN_BYTES)


class Entry(Struct, frozen=True):
    """One log entry. The body is kept encoded, so that the hash covers exactly the bytes that were agreed."""

    number: int
    previous_chain: bytes = field(name="past")  # chain hash of the previous entry
    body: bytes

    @property
    def chain(self) -> bytes:
        """The hash over this entry and all entries before it."""
        return hashlib.blake2b(
            self.previous_chain + self.number.to_bytes(8, "big") + self.body, digest_size=CHAIN_BYTES
        ).digest()


class _Body(Struct, frozen=True, tag=True):
    """The decoded content of an entry."""


class Proposed(_Body, frozen=True):
    """A new version of the settings was proposed, made from version `base`.

    `token` identifies the proposal, so that a client may send it again without creating a second version.
    """

    document: Document
    base: int
    author: str
    reason: str
    token: str
    at_ms: float
    canaries: tuple[str, ...] = field(name="first", default=())  # names of instances that apply it first
    forced: bool = False  # comes into force without waiting for the instances


class JointPhaseStarted(_Body, frozen=True, tag="JointBegan"):
    """From this entry on, instances obey both the version in force and this one."""

    version: int


class CanaryStarted(_Body, frozen=True, tag="Begun"):
    """The version takes effect on its canary instances."""

    version: int


class InForce(_Body, frozen=True):
    """The version takes effect on all instances."""

    version: int
    forced: bool = False


class Dropped(_Body, frozen=True):
    """The version, and the queued versions made from it, will never be in force."""

    version: int
    reasons: tuple[str, ...]


class Newcomer(Struct, frozen=True):
    """A process that asks for a place. `replaces` is an earlier incarnation that is known to have ended."""

    name: str
    incarnation: str = field(name="life")
    replaces: str = ""
    zone: int = 0


class Joined(_Body, frozen=True):
    """These processes have a place in the roster, and become active with the next RosterSettled."""

    newcomers: tuple[Newcomer, ...]


class Left(_Body, frozen=True):
    """These incarnations have stopped acting, by their own report or an operator's."""

    incarnations: tuple[str, ...] = field(name="lives")


class Lost(_Body, frozen=True):
    """These incarnations get no more leases, but may still act on the share they had.

    `versions` gives, for each of them, the oldest version that it may still be acting on.
    """

    incarnations: tuple[str, ...] = field(name="lives")
    versions: tuple[int, ...]


class ShareReduced(_Body, frozen=True, tag="Floored"):
    """These lost incarnations now act on the least share only, and no longer occupy an index."""

    incarnations: tuple[str, ...] = field(name="lives")


class RosterSettled(_Body, frozen=True, tag="Settled"):
    """Every member has applied the log up to entry `until`: shares may grow and newcomers become active."""

    until: int


Body = (
    Proposed
    | JointPhaseStarted
    | CanaryStarted
    | InForce
    | Dropped
    | Joined
    | Left
    | Lost
    | ShareReduced
    | RosterSettled
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Body)


def make_entry(number: int, previous_chain: bytes, body: Body) -> Entry:
    """Encode `body` as the entry that follows the one with this chain hash."""
    return Entry(number, previous_chain, _encoder.encode(body))


def decode_body(entry: Entry) -> Body:
    """Decode an entry's body. Raises ValueError if it is not a known kind of entry."""
    try:
        return _decoder.decode(entry.body)
    except msgspec.MsgspecError as error:
        raise ValueError(f"entry {entry.number}: {error}") from None
