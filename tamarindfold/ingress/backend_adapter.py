"""The adapter for servers that use the gateway's own headers and whose number encodes their address."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import lru_cache

from tamarindfold.config.derive import backend_address
from tamarindfold.http1 import write
from tamarindfold.http1.number_pairs import parse_number_pairs
from tamarindfold.http1.responses import ResponseReader
from tamarindfold.ingress import headers as names
from tamarindfold.ingress.exchange import Exchange
from tamarindfold.interface import BackendEntry, Outcome, Settings


@lru_cache(maxsize=4096)
def _address_and_host(backend: int) -> tuple[tuple[str, int], bytes]:
    """The address of a server and the value of its Host header."""
    host, port = backend_address(backend)
    return (host, port), f"{host}:{port}".encode()


class TamarindBackendAdapter:
    """Implements `BackendAdapter` with the headers of ingress/headers.py."""

    needs_complete_request = False

    def __init__(
        self,
        settings: Callable[[], Settings],
        entry: Callable[[int], BackendEntry | None],
        log: Callable[..., None],
    ) -> None:
        """entry: the list's entry of a server, by its number."""
        self.settings, self.entry, self.log = settings, entry, log

    def address(self, backend: int) -> tuple[str, int]:
        return _address_and_host(backend)[0]

    def process_identity(self, backend: int) -> object:
        entry = self.entry(backend)  # the number is the address, which may pass to another process
        return None if entry is None else entry.up_since_ms

    def request(self, exchange: Exchange, attempt: int, backend: int, left_ms: float) -> bytes:
        cls = self.settings().classes[exchange.cls].name.encode()
        gateway_headers = [
            (names.REQUEST, exchange.name),
            (names.ATTEMPT, b"%d" % attempt),
            (names.CUSTOMER, b"%d" % exchange.customer),
            (names.PLAN, self.plan(exchange.plan)),
            (names.CLASS, cls),
            (names.UNITS, b"%g" % exchange.units),
            (names.TIME_LEFT, b"%d" % left_ms),
        ]
        return write.request(
            exchange.method,
            exchange.target,
            _address_and_host(backend)[1],
            exchange.headers + gateway_headers,
            exchange.body,
        )

    def plan(self, number: int) -> bytes:
        """The current name of a plan; plans may change while requests are open."""
        return self.settings().plans[number].name.encode()

    def outcome(self, reader: ResponseReader) -> Outcome:
        """A 5xx status is a server failure; anything else is an answer for the client."""
        if reader.status < 500:
            return Outcome.OK
        return Outcome.FULL if reader.status == 503 and reader.get(names.FULL) == b"1" else Outcome.ERROR

    def units(self, reader: ResponseReader) -> float:
        if (value := reader.get(names.UNITS)) is None:
            return 0.0
        try:
            units = float(value)
        except ValueError:
            units = math.nan
        if not 0 <= units <= self.settings().most_units:
            self.log("upstream.bad_units", value=repr(value))
            return 0.0
        return units

    def report(self, reader: ResponseReader) -> tuple[float, ...]:
        fields = self.settings().report_fields
        return parse_number_pairs(reader.get(names.LOAD), fields) if fields else ()
