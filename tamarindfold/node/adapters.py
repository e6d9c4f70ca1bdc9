"""Adapters that plug the platform's protocols into the ingress: client responses and backend attempts."""

from __future__ import annotations

from collections.abc import Callable

from tamarindfold.http1.requests import Rejected
from tamarindfold.http1.responses import ResponseReader
from tamarindfold.ingress.exchange import Exchange, Failed, Final, Refused, Served
from tamarindfold.interface import Outcome, Why
from tamarindfold.platform import backends, responses

_QUOTA_REASONS = (Why.QUOTA, Why.OPEN)


class PlatformResponses:
    """Encodes responses to clients; refusals carry a retry-after header if the settings allow it."""

    def __init__(self, retry_after: bool) -> None:
        self.retry_after = retry_after

    def rejected(self, fault: Rejected, name: bytes = b"", keep_alive: bool = False) -> bytes:
        return responses.rejected(fault.status, fault.detail, keep_alive)

    def final(self, answer: Final, name: bytes, keep_alive: bool, no_body: bool = False) -> bytes:
        match answer:
            case Served(_, _, body):
                return responses.served(body, keep_alive)
            case Refused(retry_after_ms, why):
                return responses.refused(
                    why in _QUOTA_REASONS, retry_after_ms if self.retry_after else None, keep_alive
                )
            case Failed(late):
                return responses.failed(late, keep_alive)
        return b""


class PlatformBackends:
    """Encodes attempts and interprets responses; an attempt may have run once its last byte was written."""

    needs_complete_request = True

    def __init__(
        self,
        address: Callable[[int], tuple[str, int] | None],
        process_identity: Callable[[int], object],
        fields: tuple[str, ...],
    ) -> None:
        """fields: the names of the load report's values in the order of the settings."""
        self.address, self.process_identity, self.fields = address, process_identity, fields

    def request(self, exchange: Exchange, attempt: int, backend: int, left_ms: float) -> bytes:
        return backends.attempt(exchange.method, exchange.target, exchange.name, exchange.body, left_ms)

    def outcome(self, reader: ResponseReader) -> Outcome:
        return backends.outcome(reader)

    def units(self, reader: ResponseReader) -> float:
        return 0.0

    def report(self, reader: ResponseReader) -> tuple[float, ...]:
        return backends.report(reader, self.fields)
