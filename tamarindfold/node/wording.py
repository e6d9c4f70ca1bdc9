"""The platform's words put to the seams of the ingress: answers to clients, attempts at backends."""

from __future__ import annotations

from collections.abc import Callable

from tamarindfold.http1.requests import Rejected
from tamarindfold.http1.responses import ResponseReader
from tamarindfold.ingress.exchange import Exchange, Failed, Final, Refused, Served
from tamarindfold.interface import Outcome, Why
from tamarindfold.platform import backends, words

_QUOTA = (Why.QUOTA, Why.OPEN)


class PlatformWords:
    """Words answers; refusals name a time to come back where the settings allow it."""

    def __init__(self, retry_after: bool) -> None:
        self.retry_after = retry_after

    def rejected(self, fault: Rejected, name: bytes = b"", keep_alive: bool = False) -> bytes:
        return words.rejected(fault.status, fault.detail, keep_alive)

    def final(self, answer: Final, name: bytes, keep_alive: bool, no_body: bool = False) -> bytes:
        match answer:
            case Served(_, _, body):
                return words.served(body, keep_alive)
            case Refused(retry_after_ms, why):
                return words.refused(why in _QUOTA, retry_after_ms if self.retry_after else None, keep_alive)
            case Failed(late):
                return words.failed(late, keep_alive)
        return b""


class Backends:
    """Words attempts and reads answers; an attempt counts once its last byte was written."""

    needs_complete_request = True

    def __init__(
        self,
        address: Callable[[int], tuple[str, int] | None],
        place: Callable[[int], object],
        fields: tuple[str, ...],
    ) -> None:
        self.address, self.process_identity, self.fields = address, place, fields

    def request(self, exchange: Exchange, attempt: int, backend: int, left_ms: float) -> bytes:
        return backends.attempt(exchange.method, exchange.target, exchange.name, exchange.body, left_ms)

    def outcome(self, reader: ResponseReader) -> Outcome:
        return backends.outcome(reader)

    def units(self, reader: ResponseReader) -> float:
        return 0.0

    def report(self, reader: ResponseReader) -> tuple[float, ...]:
        return backends.report(reader, self.fields)
