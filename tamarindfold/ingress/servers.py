"""What the gateway speaks with its own kind of servers: addresses in their numbers, headers of its own."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import lru_cache

from tamarindfold.config.derive import backend_address
from tamarindfold.http1 import write
from tamarindfold.http1.figures import figures
from tamarindfold.http1.responses import ResponseReader
from tamarindfold.ingress import headers as names
from tamarindfold.ingress.exchange import Exchange
from tamarindfold.interface import Outcome, Settings


@lru_cache(maxsize=4096)
def _server(backend: int) -> tuple[tuple[str, int], bytes]:
    """Address of a server, and how a Host header names it."""
    host, port = backend_address(backend)
    return (host, port), f"{host}:{port}".encode()


class Servers:
    """Words requests and reads answers (see ingress/headers.py)."""

    whole = False

    def __init__(self, settings: Callable[[], Settings], log: Callable[..., None]) -> None:
        self.settings, self.log = settings, log

    def address(self, backend: int) -> tuple[str, int]:
        return _server(backend)[0]

    def place(self, backend: int) -> object:
        return None  # the number is the address; a process that starts anew there closes what it had

    def request(self, exchange: Exchange, attempt: int, backend: int, left_ms: float) -> bytes:
        cls = self.settings().classes[exchange.cls].name.encode()
        own = [
            (names.REQUEST, exchange.name),
            (names.ATTEMPT, b"%d" % attempt),
            (names.CUSTOMER, b"%d" % exchange.customer),
            (names.PLAN, self.plan(exchange.plan)),
            (names.CLASS, cls),
            (names.UNITS, b"%g" % exchange.units),
            (names.TIME_LEFT, b"%d" % left_ms),
        ]
        return write.request(
            exchange.method, exchange.target, _server(backend)[1], exchange.headers + own, exchange.body
        )

    def plan(self, number: int) -> bytes:
        """A plan's name: plans may change while requests are open."""
        return self.settings().plans[number].name.encode()

    def outcome(self, reader: ResponseReader) -> Outcome:
        """5xx is the server's failure, all else its answer to the client."""
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
        return figures(reader.get(names.LOAD), fields) if fields else ()
