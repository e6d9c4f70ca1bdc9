"""Runs attempts: connects to a server, checks once more that the request may be sent, writes it, reads the
response and reports the outcome.

An attempt runs in the greenlet of its request, which would otherwise only wait. How requests are encoded and
responses are interpreted is up to a `BackendAdapter`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from gevent import socket
from gevent.socket import wait_write

from tamarindfold.http1.responses import MAX_HEAD_BYTES, BadResponse, ResponseReader
from tamarindfold.ingress.arrival import receive
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.exchange import Exchange, Served
from tamarindfold.ingress.pool import Connection, ConnectionLimitReached, Pool
from tamarindfold.ingress.timers import Timers
from tamarindfold.interface import BackendEntry, Effect, Outcome


class BackendAdapter(Protocol):
    """Encodes requests for the servers and interprets their responses. No I/O."""

    # True: an attempt can have run only if all of it was written; False: from its first byte on.
    needs_complete_request: bool

    def address(self, backend: int) -> tuple[str, int] | None:
        """The address of a server; None if it is no longer known."""

    def process_identity(self, backend: int) -> object:
        """A value that distinguishes the process now behind this server number from any other one."""

    def request(self, exchange: Exchange, attempt: int, backend: int, left_ms: float) -> bytes:
        """The request bytes of an attempt."""

    def outcome(self, reader: ResponseReader) -> Outcome:
        """The outcome that a complete response means."""

    def units(self, reader: ResponseReader) -> float:
        """The units that the request actually used; 0 if the response does not say."""

    def report(self, reader: ResponseReader) -> tuple[float, ...]:
        """The values of the load report in the order of the settings; empty without a valid report."""


class WriteLimitReached(Exception):
    """The attempt's `write_until_ms` passed before its request could be written."""


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


class Upstream:
    """Executes Send and Cancel actions."""

    def __init__(
        self,
        core: Core,
        pool: Pool,
        timers: Timers,
        backends: BackendAdapter,
        clock: Callable[[], float],
        reuse_after_break_ms: float = math.inf,
        max_held_bytes: float = math.inf,
    ) -> None:
        """reuse_after_break_ms: non-idempotent requests use idle connections if none broke for this long.

        max_held_bytes: bound on the total of all responses that are being read.
        """
        self.reuse_after_break_ms, self.max_held_bytes = reuse_after_break_ms, max_held_bytes
        self.held_bytes = self.peak_held_bytes = 0  # of all responses that are being read
        self.core, self.pool, self.timers, self.backends, self.clock = core, pool, timers, backends, clock
        self.running: dict[tuple[int, int], Attempt] = {}
        self.counts = {outcome.name.lower(): 0 for outcome in Outcome} | {"no_room": 0}

    def start(
        self,
        exchange: Exchange,
        number: int,
        entry: BackendEntry | None,
        backend: int,
        timeout_ms: float,
        write_until_ms: float = math.inf,
    ) -> None:
        """Queue an attempt for its request's greenlet; the outcome is reported by `Core.attempt_ended`.

        write_until_ms: if the request can't be written by then, it is not sent.
        """
        deadline_ms = min(exchange.give_up_ms, self.clock() + timeout_ms if timeout_ms > 0 else math.inf)
        attempt = Attempt(exchange, number, entry, backend, deadline_ms, write_until_ms)
        self.running[exchange.number, number] = attempt
        exchange.add_attempt(attempt)

    def cancel(self, request: int, number: int) -> None:
        """Abort an attempt; its connection is closed, since the response will not be read."""
        if (attempt := self.running.get((request, number))) is not None:
            attempt.abort(Outcome.CANCELLED)

    def forget(self, attempt: Attempt) -> None:
        """Remove an attempt that was not run here, such as one that a proxy carried out."""
        self.running.pop((attempt.exchange.number, attempt.number), None)

    def run(self, attempt: Attempt) -> None:
        """Run an attempt; returns after its outcome has been reported."""
        started = self.clock()
        exchange = attempt.exchange
        timer = self.timers.schedule(attempt.deadline_ms, attempt.on_timeout)
        try:
            outcome = self._execute(attempt)
        except WriteLimitReached:
            outcome = Outcome.MOOT
        except (OSError, BadResponse):
            outcome = Outcome.RESET if attempt.sent else Outcome.CONNECT_FAILED
        finally:
            self.timers.cancel(timer)
            del self.running[exchange.number, attempt.number]
            self.held_bytes -= attempt.received_bytes
        served, units = None, 0.0
        report: tuple[float, ...] = ()
        connection = attempt.connection
        if connection is None or not connection.reader.complete:
            if attempt.aborted_as is not None:
                outcome = self._aborted_outcome(attempt, outcome)
            if connection is not None:
                if connection.used and outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
                    self.pool.last_broken_ms = self.clock()
                self.pool.close(connection)
        else:
            reader = connection.reader
            if outcome is Outcome.OK:
                served = Served(reader.status, reader.headers, reader.body)
                units = self.backends.units(reader)
            report = self.backends.report(reader)
            # An aborted attempt has shut its connection down, even if the response was complete.
            # The server may also have been replaced during the attempt.
            if (
                attempt.aborted_as is not None
                or connection.process_identity != self.backends.process_identity(attempt.backend)
            ):
                self.pool.close(connection)
            else:
                self.pool.release(connection)
        self.counts[outcome.name.lower()] += 1
        ended = self.clock()
        if attempt.aborted_as is None and attempt.end_arrived_ms is not None:  # this process may read late
            ended = max(started, min(ended, attempt.end_arrived_ms))
        self.core.attempt_ended(
            exchange,
            attempt.number,
            attempt.backend,
            outcome,
            ended - started,
            served,
            units,
            report,
            attempt.first_byte_ms,
        )

    @staticmethod
    def _aborted_outcome(attempt: Attempt, outcome: Outcome) -> Outcome:
        """The outcome of an aborted attempt; one that was not sent can't have run."""
        if attempt.sent:
            assert attempt.aborted_as is not None
            return attempt.aborted_as
        return Outcome.MOOT if attempt.aborted_as is Outcome.CANCELLED else outcome

    def _execute(self, attempt: Attempt) -> Outcome:
        """Connect, write the request and read the response; OSError, BadResponse or WriteLimitReached."""
        if attempt.aborted_as is not None or self._reason_not_to_send(attempt):
            return Outcome.MOOT
        try:
            attempt.connection = connection = self._connection(attempt)
        except ConnectionLimitReached:  # a limit of this gateway; not the server's failure
            return Outcome.MOOT
        if attempt.aborted_as is not None:
            return Outcome.CONNECT_FAILED
        if not connection.used and not self._may_write(attempt, connection):  # connecting took time
            connection.reader.complete = connection.reader.reusable = True  # nothing was sent on it: keep it
            return Outcome.MOOT
        if (failed := self._write(attempt, connection)) is not None:
            return failed
        sock, reader = connection.sock, connection.reader
        while not reader.complete:
            attempt.end_arrived_ms = None  # a connection that breaks ends the attempt when it breaks
            data, attempt.end_arrived_ms = receive(sock, 65536, self.clock)
            if data:
                self._account(attempt, len(data))
                reader.feed(data)
            elif attempt.aborted_as is not None or not reader.end():
                return Outcome.RESET
        return self.backends.outcome(reader)

    def _reason_not_to_send(self, attempt: Attempt) -> str:
        return self.core.reason_not_to_send(attempt.exchange, attempt.entry, attempt.write_until_ms)

    def _may_write(self, attempt: Attempt, connection: Connection) -> bool:
        """Whether the first byte may still be written on this connection; a wait may have changed that."""
        return not self._reason_not_to_send(
            attempt
        ) and connection.process_identity == self.backends.process_identity(attempt.backend)

    def _account(self, attempt: Attempt, size: int) -> None:
        """Count received bytes; BadResponse if one response or the sum of all exceeds its memory bound."""
        attempt.received_bytes += size
        self.held_bytes += size
        self.peak_held_bytes = max(self.peak_held_bytes, self.held_bytes)
        if (
            self.held_bytes > self.max_held_bytes
            or attempt.received_bytes > self.pool.answer_bytes + MAX_HEAD_BYTES
        ):
            self.counts["no_room"] += 1
            raise BadResponse("responses exceed the memory bound")

    def _connection(self, attempt: Attempt) -> Connection:
        """A connection to the attempt's server: an idle one if possible, else a new one.

        Non-idempotent requests use idle ones only if none broke for `reuse_after_break_ms`. A server may
        close an idle connection just as it is used again, and then nobody can tell whether it had read the
        request. New connections do not have this race, but cost both sides work.
        """
        backend = attempt.backend
        non_idempotent = self.core.gateway.settings.classes[attempt.exchange.cls].effect is Effect.UNSAFE
        if not non_idempotent or self.clock() - self.pool.last_broken_ms >= self.reuse_after_break_ms:
            idle = self.pool.acquire_idle(backend)
            if idle is not None:
                return idle
        address = self.backends.address(backend)
        if address is None:
            raise ConnectionRefusedError("the server is no longer listed")
        process_identity = self.backends.process_identity(backend)  # may change while connecting
        now = self.clock()
        write_left_ms = attempt.write_until_ms - now
        timeout_ms = min(attempt.deadline_ms - now, self.pool.connect_timeout_ms)
        try:
            connection = self.pool.connect(backend, address, min(timeout_ms, write_left_ms) / 1000)
        except TimeoutError:
            if write_left_ms < timeout_ms:  # no sign of a fault: the server did not get the usual time
                raise WriteLimitReached from None
            raise
        connection.process_identity = process_identity
        return connection

    def _write(self, attempt: Attempt, connection: Connection) -> Outcome | None:
        """Write the request; None, or the outcome if it can't have run.

        That is the case if no byte was sent or, where the server needs the complete request, not all of it.
        Otherwise a connection that breaks during the write is still read: the server may have answered
        before it closed.
        """
        exchange, needs_complete_request = attempt.exchange, self.backends.needs_complete_request
        connection.reader.begin(exchange.method == "HEAD")
        while True:
            now = self.clock()
            left_ms = max(0.0, attempt.deadline_ms - now)
            data = self.backends.request(exchange, attempt.number, attempt.backend, left_ms)
            attempt.first_byte_ms = now
            try:
                sent = connection.sock._sock.send(data)  # never waits: the checks hold for now only
                break
            except BlockingIOError:  # unread bytes of an earlier request fill the buffer
                self._wait_until_writable(attempt, connection)
            except OSError:
                return Outcome.CONNECT_FAILED
            if attempt.aborted_as is not None:
                return Outcome.CONNECT_FAILED
            if not self._may_write(attempt, connection):
                return Outcome.MOOT
        if not needs_complete_request:
            attempt.sent = True
        try:
            self._write_rest(attempt, connection, memoryview(data)[sent:])
        except OSError:
            if needs_complete_request:
                return Outcome.CONNECT_FAILED
            # RFC 9112 section 9.5: read the response that may have been sent
        attempt.sent = True
        exchange.written += 1
        return None

    def _wait_until_writable(self, attempt: Attempt, connection: Connection) -> None:
        """Wait until the socket takes bytes, was shut down, or the attempt is too late."""
        left_ms = attempt.write_until_ms - self.clock()
        with suppress(TimeoutError):
            wait_write(connection.sock.fileno(), None if left_ms == math.inf else max(0.0, left_ms) / 1000)

    def _write_rest(self, attempt: Attempt, connection: Connection, rest: memoryview) -> None:
        """Write what the socket's buffer did not take at once; raises OSError or WriteLimitReached.

        Where the server needs the complete request, the attempt counts from its last byte.
        """
        sock = connection.sock
        limit_ms = attempt.write_until_ms if self.backends.needs_complete_request else math.inf
        while rest:
            left_ms = limit_ms - self.clock()
            if left_ms <= 0:
                raise WriteLimitReached
            sock.settimeout(None if left_ms == math.inf else left_ms / 1000)
            with suppress(TimeoutError):
                rest = rest[sock.send(rest) :]
        sock.settimeout(None)
