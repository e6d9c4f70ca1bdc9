"""Attempts: connect, look once more, write, read, and tell truthfully how it went.

An attempt runs in the greenlet of its request, which would else only wait for it. How requests are worded
and what answers mean is the peers' (Peers).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from gevent import socket

from tamarindfold.http1.responses import HEAD_BYTES, BadResponse, ResponseReader
from tamarindfold.ingress.arrival import receive
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.exchange import Exchange, Served
from tamarindfold.ingress.pool import Connection, NoRoom, Pool
from tamarindfold.ingress.timers import Timers
from tamarindfold.interface import BackendEntry, Effect, Outcome


class Peers(Protocol):
    """What is spoken with the servers: no I/O."""

    whole: bool  # an attempt may have run only if its last byte was written; else from the first on

    def address(self, backend: int) -> tuple[str, int] | None:
        """Where a server is reached; None where it is not known any more."""

    def place(self, backend: int) -> object:
        """What tells the process that is reached under this number from any other."""

    def request(self, exchange: Exchange, attempt: int, backend: int, left_ms: float) -> bytes:
        """The bytes of an attempt."""

    def outcome(self, reader: ResponseReader) -> Outcome:
        """What a whole answer means."""

    def units(self, reader: ResponseReader) -> float:
        """What the request really took; 0 where the answer does not say."""

    def report(self, reader: ResponseReader) -> tuple[float, ...]:
        """The load report's values in the order of the settings; none where there is no good one."""


class Attempt:
    """One Send of the module."""

    __slots__ = (
        "backend",
        "came_ms",
        "connection",
        "cut",
        "entry",
        "exchange",
        "held",
        "number",
        "until",
        "wrote",
    )

    def __init__(
        self, exchange: Exchange, number: int, entry: BackendEntry | None, backend: int, until: float
    ) -> None:
        self.exchange, self.number, self.entry, self.backend = exchange, number, entry, backend
        self.until = until
        self.connection: Connection | None = None
        self.wrote, self.held = False, 0  # held: bytes of its answer
        self.came_ms = 0.0  # when the last bytes of its answer came
        self.cut: Outcome | None = None  # ended from here: its time is up, or the module called it off

    def end(self, how: Outcome) -> None:
        """Wake the attempt out of its wait; the connection is of no more use."""
        if self.cut is None:
            self.cut = how
            if self.connection is not None:
                with suppress(OSError):  # the other side was faster
                    self.connection.sock.shutdown(socket.SHUT_RDWR)

    def time_is_up(self) -> None:
        """Called when `until` has come."""
        self.end(Outcome.TIMEOUT)


class Upstream:
    """Carries out Send and Cancel."""

    def __init__(
        self,
        core: Core,
        pool: Pool,
        timers: Timers,
        peers: Peers,
        clock: Callable[[], float],
        trust_ms: float = math.inf,
        most_held: float = math.inf,
    ) -> None:
        """trust_ms: what must not run twice goes on a kept connection if none broke for so long; most_held:
        bytes of all answers that are being read."""
        self.trust_ms, self.most_held = trust_ms, most_held
        self.held = self.peak = 0  # bytes of answers in hand, and the most there were
        self.core, self.pool, self.timers, self.peers, self.clock = core, pool, timers, peers, clock
        self.running: dict[tuple[int, int], Attempt] = {}
        self.counts = {how.name.lower(): 0 for how in Outcome} | {"no_room": 0}

    def start(
        self, exchange: Exchange, number: int, entry: BackendEntry | None, backend: int, timeout_ms: float
    ) -> None:
        """Hand an attempt to its request's greenlet; its outcome comes by Core.attempt_ended."""
        until = min(exchange.give_up_ms, self.clock() + timeout_ms if timeout_ms > 0 else math.inf)
        attempt = Attempt(exchange, number, entry, backend, until)
        self.running[exchange.number, number] = attempt
        exchange.work(attempt)

    def cancel(self, request: int, number: int) -> None:
        """Stop waiting; the connection is closed, since its answer will never be read."""
        if (attempt := self.running.get((request, number))) is not None:
            attempt.end(Outcome.CANCELLED)

    def forget(self, attempt: Attempt) -> None:
        """An attempt that somebody else carried out has ended."""
        self.running.pop((attempt.exchange.number, attempt.number), None)

    def run(self, attempt: Attempt) -> None:
        """Carry out an attempt; comes back when its outcome has been told."""
        started = self.clock()
        exchange = attempt.exchange
        timer = self.timers.at(attempt.until, attempt.time_is_up)
        try:
            outcome = self._outcome(attempt)
        except (OSError, BadResponse):
            outcome = Outcome.RESET if attempt.wrote else Outcome.CONNECT_FAILED
        finally:
            self.timers.off(timer)
            del self.running[exchange.number, attempt.number]
            self.held -= attempt.held
        served, units = None, 0.0
        report: tuple[float, ...] = ()
        connection = attempt.connection
        if connection is None or not connection.reader.complete:
            if attempt.cut is not None:
                outcome = self._cut_short(attempt, outcome)
            if connection is not None:
                if connection.used and outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
                    self.pool.broke_at = self.clock()
                self.pool.close(connection)
        else:
            reader = connection.reader
            if outcome is Outcome.OK:
                served = Served(reader.status, reader.headers, reader.body)
                units = self.peers.units(reader)
            report = self.peers.report(reader)
            # cut: shut down from here, whatever still came; elsewhere: the list changed while it was in use
            if attempt.cut is not None or connection.place != self.peers.place(attempt.backend):
                self.pool.close(connection)
            else:
                self.pool.give_back(connection)
        self.counts[outcome.name.lower()] += 1
        ended = self.clock()
        if attempt.cut is None and attempt.came_ms:  # this process may have read it late
            ended = max(started, min(ended, attempt.came_ms))
        self.core.attempt_ended(
            exchange, attempt.number, attempt.backend, outcome, ended - started, served, units, report
        )

    @staticmethod
    def _cut_short(attempt: Attempt, outcome: Outcome) -> Outcome:
        """What an attempt ended from here comes to: one that was not written never ran."""
        if attempt.wrote:
            assert attempt.cut is not None
            return attempt.cut
        return Outcome.MOOT if attempt.cut is Outcome.CANCELLED else outcome

    def _outcome(self, attempt: Attempt) -> Outcome:
        exchange, hindrance = attempt.exchange, self.core.hindrance
        if attempt.cut is not None or hindrance(exchange, attempt.entry):
            return Outcome.MOOT
        try:
            attempt.connection = connection = self._connection(attempt)
        except NoRoom:  # this gateway's own bound says nothing of the server
            return Outcome.MOOT
        if attempt.cut is not None:
            return Outcome.CONNECT_FAILED
        if not connection.used and (  # connecting took its time
            hindrance(exchange, attempt.entry) or connection.place != self.peers.place(attempt.backend)
        ):
            connection.reader.complete = connection.reader.reusable = True  # nothing was asked on it
            return Outcome.MOOT
        if not self._write(attempt, connection):
            return Outcome.CONNECT_FAILED
        sock, reader = connection.sock, connection.reader
        while not reader.complete:
            data, attempt.came_ms = receive(sock, 65536, self.clock)
            if data:
                self._hold(attempt, len(data))
                reader.feed(data)
            elif attempt.cut is not None or not reader.end():
                return Outcome.RESET
        return self.peers.outcome(reader)

    def _hold(self, attempt: Attempt, size: int) -> None:
        """Guards the memory against endless answers and many large ones: what goes too far is dropped."""
        attempt.held += size
        self.held += size
        self.peak = max(self.peak, self.held)
        if self.held > self.most_held or attempt.held > self.pool.answer_bytes + HEAD_BYTES:
            self.counts["no_room"] += 1
            raise BadResponse("the answers in hand are over the bound")

    def _connection(self, attempt: Attempt) -> Connection:
        """An idle connection, but a new one for what must not run twice, unless kept ones prove good.

        A server may close an idle connection in the very moment it is used again; whether it had read the
        request by then nobody can tell. A new connection has no such moment, but costs both sides work.
        """
        backend = attempt.backend
        unsafe = self.core.gateway.settings.classes[attempt.exchange.cls].effect is Effect.UNSAFE
        if not unsafe or self.clock() - self.pool.broke_at >= self.trust_ms:
            idle = self.pool.take(backend)
            if idle is not None:
                return idle
        address = self.peers.address(backend)
        if address is None:
            raise ConnectionRefusedError("the server is gone")
        place = self.peers.place(backend)  # while it connects the list may change
        made = self.pool.connect(backend, address, (attempt.until - self.clock()) / 1000)
        made.place = place
        return made

    def _write(self, attempt: Attempt, connection: Connection) -> bool:
        """Write the request; False where it can't have run: where not a byte of it, or not all of it, was
        taken. Where the first byte counts, what the server may have answered before it closed is read."""
        exchange, whole = attempt.exchange, self.peers.whole
        connection.reader.begin(exchange.method == "HEAD")
        data = self.peers.request(
            exchange, attempt.number, attempt.backend, max(0.0, attempt.until - self.clock())
        )
        sock = connection.sock
        try:
            sent = sock.send(data)
        except OSError:
            return False
        if sent < len(data):
            rest = memoryview(data)
            if not whole:
                attempt.wrote = True
            try:
                while sent < len(data):
                    sent += sock.send(rest[sent:])
            except OSError:
                if whole:
                    return False
                # RFC 9112 section 9.5: read what there is
        attempt.wrote = True
        exchange.written += 1
        return True
