"""Snapshots and journals as bytes and back: protobuf records in checksummed frames. No I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from google.protobuf.message import DecodeError

from tamarindfold.ds.durable import frame, frames
from tamarindfold.interface import CustomerSnapshot, Settings
from tamarindfold.recovery.proto import snapshot_pb2 as pb

VERSION = 1


class BadSnapshot(ValueError):
    """Bytes that are no whole snapshot: torn, altered, or of another format."""


@dataclass(frozen=True, slots=True)
class Header:
    """What a snapshot says of itself."""

    configuration: bytes
    instance: int
    generation: int
    taken_at_ms: float
    last: bool
    plans: tuple[str, ...]
    unit_ms: tuple[float, ...]
    version: int = VERSION


@dataclass(slots=True)
class Entries:
    """What was promised and spent after a snapshot was begun. Rows: customer, plan's place, width, and
    when to come back in milliseconds, or units."""

    promised: list[tuple[int, int, int, float]] = field(default_factory=list)
    spent: list[tuple[int, int, int, float]] = field(default_factory=list)
    at_ms: float = 0.0


def configuration(settings: Settings, shape: bool = True) -> bytes:
    """A digest of what a snapshot's contents mean something under: the classes and the fleet's shape."""
    words = [f"{c.name}/{c.effect.value}/{c.aim_ms:g}" if shape else c.name for c in settings.classes]
    words.append(f"{settings.gateways}/{settings.index}" if shape else "agreed")
    return hashlib.blake2b("\n".join(words).encode(), digest_size=16).digest()


# ---- snapshots


def header(made: Header) -> bytes:
    """The first frame."""
    return frame(
        pb.Record(
            header=pb.Header(
                version=made.version,
                configuration=made.configuration,
                instance=made.instance,
                generation=made.generation,
                taken_at_ms=made.taken_at_ms,
                last=made.last,
                plans=made.plans,
                unit_ms=made.unit_ms,
            )
        ).SerializeToString()
    )


def customers(rows: Sequence[CustomerSnapshot]) -> bytes:
    """A frame of some customers."""
    return frame(
        pb.Record(
            customers=pb.Customers(
                number=[r.customer for r in rows],
                plan=[r.plan for r in rows],
                width=[r.width for r in rows],
                appointments=[len(r.appointments) for r in rows],
                times=[t for r in rows for t in r.appointments],
                end_of_queue_ms=[r.end_of_queue_ms for r in rows],
                answers=[r.answers for r in rows],
                unit_sum=[r.unit_sum for r in rows],
                unit_squares=[r.unit_squares for r in rows],
                cap_tokens=[r.cap_tokens for r in rows],
                at_ms=[r.at_ms for r in rows],
            )
        ).SerializeToString()
    )


def end(count: int) -> bytes:
    """The last frame: without it a snapshot is torn."""
    return frame(pb.Record(end=pb.End(customers=count)).SerializeToString())


def read(data: bytes) -> tuple[Header, list[CustomerSnapshot]]:
    """A whole snapshot; BadSnapshot says what is wrong with it."""
    found: Header | None = None
    rows: list[CustomerSnapshot] = []
    ended = False
    for at, body in frames(data):
        if body is None or ended:
            raise BadSnapshot(f"torn or altered at byte {at}")
        try:
            record = pb.Record.FromString(body)
        except DecodeError as error:
            raise BadSnapshot(f"byte {at}: {error}") from None
        kind = record.WhichOneof("kind")
        if (kind == "header") != (found is None):
            raise BadSnapshot(f"byte {at}: no header first, or a second one")
        if kind == "header":
            found = _header(record.header)
        elif kind == "customers":
            rows += _customers(record.customers, at)
        elif kind == "end":
            if record.end.customers != len(rows):
                raise BadSnapshot(f"{len(rows)} customers of {record.end.customers}")
            ended = True
        else:
            raise BadSnapshot(f"byte {at}: a record of an unknown kind")
    if found is None or not ended:
        raise BadSnapshot("no end: torn")
    return found, rows


def _header(h: pb.Header) -> Header:
    if h.version != VERSION:
        raise BadSnapshot(f"version {h.version} of the format, known is {VERSION}")
    return Header(
        h.configuration, h.instance, h.generation, h.taken_at_ms, h.last, tuple(h.plans), tuple(h.unit_ms)
    )


def _customers(c: pb.Customers, at: int) -> list[CustomerSnapshot]:
    rows, first = [], 0
    columns = (
        c.number,
        c.plan,
        c.width,
        c.appointments,
        c.end_of_queue_ms,
        c.answers,
        c.unit_sum,
        c.unit_squares,
        c.cap_tokens,
        c.at_ms,
    )
    if len({len(column) for column in columns}) != 1 or sum(c.appointments) != len(c.times):
        raise BadSnapshot(f"byte {at}: columns of different lengths")
    times = list(c.times)
    for number, plan, width, count, queue, answers, total, squares, cap, when in zip(*columns, strict=True):
        own = times[first : first + count]
        rows.append(CustomerSnapshot(number, plan, width, own, queue, answers, total, squares, cap, when))
        first += count
    return rows


# ---- journals


def journal(entries: Entries) -> bytes:
    """A frame of a journal."""
    p, s = entries.promised, entries.spent
    return frame(
        pb.Journal(
            promised=[r[0] for r in p],
            promised_plan=[r[1] for r in p],
            promised_width=[r[2] for r in p],
            back_at_ms=[r[3] for r in p],
            spent=[r[0] for r in s],
            spent_plan=[r[1] for r in s],
            spent_width=[r[2] for r in s],
            units=[r[3] for r in s],
            at_ms=entries.at_ms,
        ).SerializeToString()
    )


def read_journals(files: Iterable[bytes]) -> tuple[Entries, bool]:
    """All that whole frames of these files say, and whether one of them was cut short."""
    found, torn = Entries(), False
    for data in files:
        for _, body in frames(data):
            try:
                j = pb.Journal.FromString(body) if body is not None else None
            except DecodeError:
                j = None
            if j is None:
                torn = True
                break
            found.promised += zip(j.promised, j.promised_plan, j.promised_width, j.back_at_ms, strict=True)
            found.spent += zip(j.spent, j.spent_plan, j.spent_width, j.units, strict=True)
            found.at_ms = max(found.at_ms, j.at_ms)
    return found, torn
