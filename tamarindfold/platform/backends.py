"""What is spoken with the platform's backends: attempts worded, answers told apart; no I/O."""

from __future__ import annotations

from tamarindfold.http1 import write
from tamarindfold.http1.number_pairs import parse_number_pairs
from tamarindfold.http1.responses import ResponseReader
from tamarindfold.interface import Outcome
from tamarindfold.platform import names


def attempt(method: str, target: bytes, name: bytes, body: bytes, left_ms: float) -> bytes:
    """An attempt's bytes; left_ms: how long its answer will be waited for."""
    own = ((names.CALL_ID, name), (names.BUDGET, b"%.3f" % (left_ms / 1000)))
    return write.request(method, target, names.HOST, own, body)


def outcome(reader: ResponseReader) -> Outcome:
    """What a whole answer means."""
    if reader.status == 200:
        return Outcome.OK
    turned_away = reader.status in (503, 504) and reader.get(names.REJECTED) == b"1"
    return Outcome.FULL if turned_away else Outcome.ERROR


def report(reader: ResponseReader, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The load report in the settings' order; none where it can't be read."""
    return parse_number_pairs(reader.get(names.LOAD_REPORT), fields) if fields else ()
