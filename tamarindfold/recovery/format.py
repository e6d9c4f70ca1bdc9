"""Encodes and decodes snapshots and journals: protobuf records in checksummed frames. No I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from google.protobuf.message import DecodeError

from tamarindfold.ds.durable import decode_frames, encode_frame
from tamarindfold.interface import CustomerSnapshot, Settings
from tamarindfold.recovery.proto import snapshot_pb2 as pb

VERSION = 1


class InvalidSnapshot(ValueError):
    """Bytes that are not a complete snapshot: truncated, corrupted, or of an unsupported format."""


@dataclass(frozen=True, slots=True)
class Header:
    """The metadata of a snapshot; see snapshot.proto."""

    configuration: bytes
    instance: int
    generation: int
    taken_at_ms: float
    last: bool
    plans: tuple[str, ...]
    unit_ms: tuple[float, ...]
    version: int = VERSION


@dataclass(slots=True)
class JournalEntries:
    """Decisions recorded after a snapshot was started.

    Rows are (customer, plan index, width, value): the value is the client's retry time in milliseconds for a
    refusal, and the number of units for units spent from a ceiling.
    """

    refusals: list[tuple[int, int, int, float]] = field(default_factory=list)
    spent: list[tuple[int, int, int, float]] = field(default_factory=list)
    at_ms: float = 0.0


def configuration_digest(settings: Settings, include_fleet: bool = True) -> bytes:
    """A digest of the settings that a snapshot depends on: the classes and, if included, the fleet's size."""
    parts = [f"{c.name}/{c.effect.value}/{c.aim_ms:g}" if include_fleet else c.name for c in settings.classes]
    parts.append(f"{settings.gateways}/{settings.index}" if include_fleet else "agreed")
    return hashlib.blake2b("\n".join(parts).encode(), digest_size=16).digest()


# ---- snapshots


def encode_header(header: Header) -> bytes:
    """The first frame of a snapshot."""
    return encode_frame(
        pb.Record(
            header=pb.Header(
                version=header.version,
                configuration=header.configuration,
                instance=header.instance,
                generation=header.generation,
                taken_at_ms=header.taken_at_ms,
                last=header.last,
                plans=header.plans,
                unit_ms=header.unit_ms,
            )
        ).SerializeToString()
    )


def encode_customers(rows: Sequence[CustomerSnapshot]) -> bytes:
    """A frame with some of the customers, one column per field."""
    return encode_frame(
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


def encode_end(count: int) -> bytes:
    """The last frame; a snapshot without it is incomplete."""
    return encode_frame(pb.Record(end=pb.End(customers=count)).SerializeToString())


def decode_snapshot(data: bytes) -> tuple[Header, list[CustomerSnapshot]]:
    """Decode a complete snapshot; InvalidSnapshot with the reason if that fails."""
    header: Header | None = None
    rows: list[CustomerSnapshot] = []
    ended = False
    for offset, body in decode_frames(data):
        if body is None or ended:
            raise InvalidSnapshot(f"truncated or corrupted at byte {offset}")
        try:
            record = pb.Record.FromString(body)
        except DecodeError as error:
            raise InvalidSnapshot(f"byte {offset}: {error}") from None
        kind = record.WhichOneof("kind")
        if (kind == "header") != (header is None):
            raise InvalidSnapshot(f"byte {offset}: expected one header, as the first record")
        if kind == "header":
            header = _decode_header(record.header)
        elif kind == "customers":
            rows += _decode_customers(record.customers, offset)
        elif kind == "end":
            if record.end.customers != len(rows):
                raise InvalidSnapshot(f"contains {len(rows)} customers, expected {record.end.customers}")
            ended = True
        else:
            raise InvalidSnapshot(f"byte {offset}: unknown record kind")
    if header is None or not ended:
        raise InvalidSnapshot("truncated: no end record")
    return header, rows


def _decode_header(message: pb.Header) -> Header:
    if message.version != VERSION:
        raise InvalidSnapshot(f"unsupported format version {message.version}, expected {VERSION}")
    return Header(
        message.configuration,
        message.instance,
        message.generation,
        message.taken_at_ms,
        message.last,
        tuple(message.plans),
        tuple(message.unit_ms),
    )


def _decode_customers(message: pb.Customers, offset: int) -> list[CustomerSnapshot]:
    rows, first_time = [], 0
    columns = (
        message.number,
        message.plan,
        message.width,
        message.appointments,
        message.end_of_queue_ms,
        message.answers,
        message.unit_sum,
        message.unit_squares,
        message.cap_tokens,
        message.at_ms,
    )
    if len({len(column) for column in columns}) != 1 or sum(message.appointments) != len(message.times):
        raise InvalidSnapshot(f"byte {offset}: columns differ in length")
    times = list(message.times)
    for (
        number,
        plan,
        width,
        count,
        end_of_queue_ms,
        answers,
        unit_sum,
        unit_squares,
        cap_tokens,
        at_ms,
    ) in zip(*columns, strict=True):
        appointments = times[first_time : first_time + count]
        rows.append(
            CustomerSnapshot(
                number,
                plan,
                width,
                appointments,
                end_of_queue_ms,
                answers,
                unit_sum,
                unit_squares,
                cap_tokens,
                at_ms,
            )
        )
        first_time += count
    return rows


# ---- journals


def encode_journal(entries: JournalEntries) -> bytes:
    """One frame of a journal."""
    refusals, spent = entries.refusals, entries.spent
    return encode_frame(
        pb.Journal(
            promised=[r[0] for r in refusals],
            promised_plan=[r[1] for r in refusals],
            promised_width=[r[2] for r in refusals],
            back_at_ms=[r[3] for r in refusals],
            spent=[r[0] for r in spent],
            spent_plan=[r[1] for r in spent],
            spent_width=[r[2] for r in spent],
            units=[r[3] for r in spent],
            at_ms=entries.at_ms,
        ).SerializeToString()
    )


def decode_journals(files: Iterable[bytes]) -> tuple[JournalEntries, bool]:
    """The entries of all valid frames of these files, and whether any file was truncated."""
    entries, truncated = JournalEntries(), False
    for data in files:
        for _, body in decode_frames(data):
            try:
                journal = pb.Journal.FromString(body) if body is not None else None
            except DecodeError:
                journal = None
            if journal is None:
                truncated = True
                break
            entries.refusals += zip(
                journal.promised,
                journal.promised_plan,
                journal.promised_width,
                journal.back_at_ms,
                strict=True,
            )
            entries.spent += zip(
                journal.spent, journal.spent_plan, journal.spent_width, journal.units, strict=True
            )
            entries.at_ms = max(entries.at_ms, journal.at_ms)
    return entries, truncated
