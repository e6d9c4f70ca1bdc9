"""Runs attempts: connects to a server, checks once more that the request may be sent, writes it, reads the
response and reports the outcome.

An attempt runs in the greenlet of its request, which would otherwise only wait. How requests are encoded and
responses are interpreted is up to a `BackendAdapter`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress

from gevent.socket import wait_write

from tamarindfold.ds.memory import MemoryBudget
from tamarindfold.http1.responses import MAX_HEAD_BYTES, BadResponse
from tamarindfold.ingress.arrival import receive
from tamarindfold.ingress.attempt import Attempt, AttemptNotSent
from tamarindfold.ingress.backend_protocol import BackendAdapter
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.exchange import Exchange, Served
from tamarindfold.ingress.pool import Connection, ConnectionLimitReached, Pool
from tamarindfold.ingress.timers import Timers
from tamarindfold.interface import BackendEntry, Effect, Outcome

READ_BYTES = 16_384
ALWAYS_READ_BYTES = 65_536  # of a response: there is room for a usual one, whatever clients take
ANSWER_COPIES = 2  # of a response in memory: as it is read, and as it is answered


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
        memory: MemoryBudget | None = None,
    ) -> None:
        """reuse_after_break_ms: non-idempotent requests use idle connections if none broke for this long.

        max_held_bytes: bound on the memory of all responses that are being read, which is part of `memory`.
        """
        self.reuse_after_break_ms, self.max_held_bytes = reuse_after_break_ms, max_held_bytes
        self.held_bytes = self.peak_held_bytes = 0  # of all responses that are being read
        self.memory_budget = memory or MemoryBudget()
        self.memory = self.memory_budget.account()
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
        except (AttemptNotSent, ConnectionLimitReached):
            outcome = Outcome.MOOT
        except (OSError, BadResponse):
            outcome = Outcome.RESET if attempt.sent else Outcome.CONNECT_FAILED
        finally:
            self.timers.cancel(timer)
            del self.running[exchange.number, attempt.number]
            if attempt.received_bytes:
                self._hold(-attempt.received_bytes)
        served, units = None, 0.0
        report: tuple[float, ...] = ()
        connection = attempt.connection
        if connection is not None and connection.reader.complete:
            reader = connection.reader
            report = self.backends.report(reader)
            if outcome is Outcome.OK:
                served = Served(reader.status, reader.headers, reader.body)
                units = self.backends.units(reader)
        elif attempt.aborted_as is not None:
            outcome = self._aborted_outcome(attempt, outcome)
        if connection is not None:
            self._release(attempt, connection, outcome)
        self.counts[outcome.name.lower()] += 1
        self.core.attempt_ended(
            exchange,
            attempt.number,
            attempt.backend,
            outcome,
            self._ended_at(attempt, started) - started,
            served,
            units,
            report,
            attempt.first_byte_ms,
        )

    def _ended_at(self, attempt: Attempt, started: float) -> float:
        """When the attempt ended; this process may have read the bytes that ended it late."""
        now = self.clock()
        if attempt.aborted_as is not None or attempt.end_arrived_ms is None:
            return now
        return max(started, min(now, attempt.end_arrived_ms))

    def _release(self, attempt: Attempt, connection: Connection, outcome: Outcome) -> None:
        """Return the connection to the pool, or close it if it can't be used again."""
        if not connection.reader.complete:
            if connection.used and outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
                self.pool.last_broken_ms = self.clock()
            self.pool.close(connection)
        elif attempt.aborted_as is not None or self._is_replaced(attempt, connection):
            self.pool.close(connection)  # an abort shuts it down, even if the response was complete
        else:
            self.pool.release(connection)
            connection.reader.discard()  # the response was taken

    def _is_replaced(self, attempt: Attempt, connection: Connection) -> bool:
        """Whether another process is now behind the server's number than at the connection's other end."""
        return connection.process_identity != self.backends.process_identity(attempt.backend)

    @staticmethod
    def _aborted_outcome(attempt: Attempt, outcome: Outcome) -> Outcome:
        """The outcome of an aborted attempt; one that was not sent can't have run."""
        if attempt.sent:
            assert attempt.aborted_as is not None
            return attempt.aborted_as
        return Outcome.MOOT if attempt.aborted_as is Outcome.CANCELLED else outcome

    def _execute(self, attempt: Attempt) -> Outcome:
        """Connect, write the request and read the response.

        Raises AttemptNotSent or ConnectionLimitReached if this gateway did not send the request, OSError or
        BadResponse if the attempt failed.
        """
        if attempt.aborted_as is not None:
            raise AttemptNotSent
        self._require_sendable(attempt)
        attempt.connection = connection = self._connection(attempt)
        if attempt.aborted_as is not None:
            return Outcome.CONNECT_FAILED
        if not connection.used:  # connecting took time
            self._check_new_connection(attempt, connection)
        self._write(attempt, connection)
        return self._read(attempt, connection)

    def _require_sendable(self, attempt: Attempt) -> None:
        """Raise AttemptNotSent if the attempt must not be sent any more."""
        if self.core.reason_not_to_send(attempt.exchange, attempt.entry, attempt.write_until_ms):
            raise AttemptNotSent

    def _require_writable(self, attempt: Attempt, connection: Connection) -> None:
        """Raise AttemptNotSent if a wait has changed whether the attempt may be written on its connection."""
        self._require_sendable(attempt)
        if self._is_replaced(attempt, connection):
            raise AttemptNotSent

    def _check_new_connection(self, attempt: Attempt, connection: Connection) -> None:
        try:
            self._require_writable(attempt, connection)
        except AttemptNotSent:
            connection.reader.complete = connection.reader.reusable = True  # nothing was sent on it: keep it
            raise

    def _read(self, attempt: Attempt, connection: Connection) -> Outcome:
        """Read the response and return the outcome that it means."""
        sock, reader = connection.sock, connection.reader
        while not reader.complete:
            attempt.end_arrived_ms = None  # a connection that breaks ends the attempt when it breaks
            data, attempt.end_arrived_ms = receive(sock, READ_BYTES, self.clock)
            if data:
                reader.feed(data)
                if not reader.complete:  # more has to be waited for
                    self._account(attempt, len(data))
                    connection.turn.spend(len(data))
            elif attempt.aborted_as is not None or not reader.end():
                return Outcome.RESET
        return self.backends.outcome(reader)

    def _account(self, attempt: Attempt, size: int) -> None:
        """Count received bytes; BadResponse if one response or the sum of all exceeds its memory bound."""
        attempt.received_bytes += size
        self._hold(size)
        if (
            self.memory.size > self.max_held_bytes
            or attempt.received_bytes > self.pool.answer_bytes + MAX_HEAD_BYTES
            or (attempt.received_bytes > ALWAYS_READ_BYTES and not self.memory_budget.make_room())
        ):
            self.counts["no_room"] += 1
            raise BadResponse("responses exceed the memory bound")

    def _hold(self, size: int) -> None:
        self.held_bytes += size
        if self.held_bytes > self.peak_held_bytes:
            self.peak_held_bytes = self.held_bytes
        self.memory.resize(self.held_bytes * ANSWER_COPIES)

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
        return self._connect(attempt)

    def _connect(self, attempt: Attempt) -> Connection:
        """A new connection to the attempt's server, waited for no longer than the attempt may be written."""
        backend = attempt.backend
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
                raise AttemptNotSent from None
            raise
        connection.process_identity = process_identity
        return connection

    def _write(self, attempt: Attempt, connection: Connection) -> None:
        """Write the request. Raises OSError or AttemptNotSent if it can't have run.

        That is the case if no byte was sent or, where the server needs the complete request, not all of it.
        Otherwise a connection that breaks during the write is still read: the server may have answered
        before it closed.
        """
        connection.reader.begin(attempt.exchange.method == "HEAD")
        rest = self._write_first_bytes(attempt, connection)
        if self.backends.needs_complete_request:
            self._write_rest(attempt, connection, rest, attempt.write_until_ms)
        else:
            attempt.sent = True
            with suppress(OSError):  # RFC 9112 section 9.5: read the response that may have been sent
                self._write_rest(attempt, connection, rest, math.inf)
        attempt.sent = True
        attempt.exchange.written += 1

    def _write_first_bytes(self, attempt: Attempt, connection: Connection) -> memoryview:
        """Write what the socket takes at once and return the rest.

        The checks before this call hold for this moment only, so they are repeated after any wait.
        """
        exchange = attempt.exchange
        while True:
            now = self.clock()
            left_ms = max(0.0, attempt.deadline_ms - now)
            data = self.backends.request(exchange, attempt.number, attempt.backend, left_ms)
            attempt.first_byte_ms = now
            try:
                return memoryview(data)[connection.sock._sock.send(data) :]  # never waits
            except BlockingIOError:  # unread bytes of an earlier request fill the buffer
                self._wait_until_writable(attempt, connection)
            if attempt.aborted_as is not None:
                raise ConnectionAbortedError("ended while the server read nothing")
            self._require_writable(attempt, connection)

    def _wait_until_writable(self, attempt: Attempt, connection: Connection) -> None:
        """Wait until the socket takes bytes, was shut down, or the attempt is too late."""
        left_ms = attempt.write_until_ms - self.clock()
        with suppress(TimeoutError):
            wait_write(connection.sock.fileno(), None if left_ms == math.inf else max(0.0, left_ms) / 1000)

    def _write_rest(
        self, attempt: Attempt, connection: Connection, rest: memoryview, limit_ms: float
    ) -> None:
        """Write what the socket did not take at once; AttemptNotSent if that takes until limit_ms."""
        sock = connection.sock
        while rest:
            left_ms = limit_ms - self.clock()
            if left_ms <= 0:
                raise AttemptNotSent
            sock.settimeout(None if left_ms == math.inf else left_ms / 1000)
            with suppress(TimeoutError):
                rest = rest[sock.send(rest) :]
        sock.settimeout(None)
