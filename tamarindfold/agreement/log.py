"""The entries of the agreed log: what may be written there, each with a hash over its past.

An entry's number is the one fencing number: a place in the roster, a lease and a take-over are named by the
entry that gave them.
"""

from __future__ import annotations

import hashlib

import msgspec
from msgspec import Struct

from tamarindfold.agreement.document import Document

CHAIN_BYTES = 16
BEGINNING = bytes(CHAIN_BYTES)


class Entry(Struct, frozen=True):
    """One entry; body is encoded, so that the hash is over exactly what was agreed."""

    number: int
    past: bytes  # the chain of the entry before it
    body: bytes

    @property
    def chain(self) -> bytes:
        """The hash over this entry and all before it."""
        return hashlib.blake2b(
            self.past + self.number.to_bytes(8, "big") + self.body, digest_size=CHAIN_BYTES
        ).digest()


class _Body(Struct, frozen=True, tag=True):
    """What an entry says."""


class Proposed(_Body, frozen=True):
    """A version of the settings, made from version `base`; token names the proposal, sent once or often."""

    document: Document
    base: int
    author: str
    reason: str
    token: str
    at_ms: float
    first: tuple[str, ...] = ()  # names of the instances that are to have it before the others
    forced: bool = False  # in force whatever instances say


class JointBegan(_Body, frozen=True):
    """From here on each instance keeps to the old version and to this one."""

    version: int


class Begun(_Body, frozen=True):
    """The version is in force at the instances that are to have it first."""

    version: int


class InForce(_Body, frozen=True):
    """The version is in force."""

    version: int
    forced: bool = False


class Dropped(_Body, frozen=True):
    """The version, and those made from it, never come in force."""

    version: int
    reasons: tuple[str, ...]


class Newcomer(Struct, frozen=True):
    """Who wants a place: `life` names the process, `replaces` one that is certainly gone."""

    name: str
    life: str
    replaces: str = ""
    zone: int = 0


class Joined(_Body, frozen=True):
    """These have places in the roster, and act once that is settled."""

    newcomers: tuple[Newcomer, ...]


class Left(_Body, frozen=True):
    """These act no more: they said so, or whoever can know it did."""

    lives: tuple[str, ...]


class Lost(_Body, frozen=True):
    """These get no lease any more, but may act on what they had; versions: the oldest each may know."""

    lives: tuple[str, ...]
    versions: tuple[int, ...]


class Floored(_Body, frozen=True):
    """These act on the least share by now, and on no index."""

    lives: tuple[str, ...]


class Settled(_Body, frozen=True):
    """Every member has taken up all until `until`: shares grow, newcomers act."""

    until: int


Body = Proposed | JointBegan | Begun | InForce | Dropped | Joined | Left | Lost | Floored | Settled

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Body)


def entry(number: int, past: bytes, body: Body) -> Entry:
    """An entry that follows on a past."""
    return Entry(number, past, _encoder.encode(body))


def read(found: Entry) -> Body:
    """What an entry says; ValueError where it is no entry of this log."""
    try:
        return _decoder.decode(found.body)
    except msgspec.MsgspecError as error:
        raise ValueError(f"entry {found.number}: {error}") from None
