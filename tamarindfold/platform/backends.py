"""The protocol between an ingress and the platform's backends: attempts, responses, load reports; no I/O."""

from __future__ import annotations

from tamarindfold.http1 import write
from tamarindfold.http1.number_pairs import parse_number_pairs
from tamarindfold.http1.responses import ResponseReader
from tamarindfold.interface import Outcome
from tamarindfold.platform import wire_names


def attempt(method: str, target: bytes, call_id: bytes, body: bytes, left_ms: float) -> bytes:
    """Encode an attempt; left_ms is the time for which the gateway will wait for its response."""
    headers = ((wire_names.CALL_ID, call_id), (wire_names.BUDGET, b"%.3f" % (left_ms / 1000)))
    return write.request(method, target, wire_names.HOST, headers, body)


def outcome(reader: ResponseReader) -> Outcome:
    """The outcome that a complete response means."""
    if reader.status == 200:
        return Outcome.OK
    rejected = reader.status in (503, 504) and reader.get(wire_names.REJECTED) == b"1"
    return Outcome.FULL if rejected else Outcome.ERROR


def report(reader: ResponseReader, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The load report's values in the order of `fields`; empty if the report is missing or invalid."""
    return parse_number_pairs(reader.get(wire_names.LOAD_REPORT), fields) if fields else ()
