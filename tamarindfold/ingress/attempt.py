"""One attempt to have a server answer a request: its limits, and what has happened to it so far."""

from __future__ import annotations

from contextlib import suppress

from gevent import socket

from tamarindfold.ingress.exchange import Exchange
from tamarindfold.ingress.pool import Connection
from tamarindfold.interface import BackendEntry, Outcome


class AttemptNotSent(Exception):
    """The attempt was not sent, for a reason that says nothing about the server; it ends as MOOT."""


class Attempt:
    """One attempt, as started by a Send action of the decision module."""

    __slots__ = (
        "aborted_as",
        "backend",
        "connection",
        "deadline_ms",
        "end_arrived_ms",
        "entry",
        "exchange",
        "first_byte_ms",
        "number",
        "received_bytes",
        "sent",
        "write_until_ms",
    )

    def __init__(
        self,
        exchange: Exchange,
        number: int,
        entry: BackendEntry | None,
        backend: int,
        deadline_ms: float,
        write_until_ms: float,
    ) -> None:
        self.exchange, self.number, self.entry, self.backend = exchange, number, entry, backend
        self.deadline_ms, self.write_until_ms = deadline_ms, write_until_ms
        self.connection: Connection | None = None
        self.sent = False  # whether the request may have run
        self.received_bytes = 0
        self.first_byte_ms: float | None = None  # when the first byte of the request was written
        # when the bytes arrived that ended the attempt; None if anything else ended it
        self.end_arrived_ms: float | None = None
        self.aborted_as: Outcome | None = None  # TIMEOUT or CANCELLED once the gateway has ended the attempt

    def abort(self, outcome: Outcome) -> None:
        """Interrupt the attempt by shutting down its connection, which can't be used again."""
        if self.aborted_as is None:
            self.aborted_as = outcome
            if self.connection is not None:
                with suppress(OSError):  # already closed by the peer
                    self.connection.sock.shutdown(socket.SHUT_RDWR)

    def on_timeout(self) -> None:
        """Called by the timer at `deadline_ms`."""
        self.abort(Outcome.TIMEOUT)
