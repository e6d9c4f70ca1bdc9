"""Client connections: one greenlet each, requests read one after another, each answered once.

How a request is admitted and how answers are worded differ between fronts; the loop is here, once.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

import gevent
from gevent import socket
from gevent.event import Event

from tamarindfold.http1.requests import Rejected, Request, RequestReader
from tamarindfold.ingress.arrival import receive
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.exchange import Exchange, Failed, Final, Left
from tamarindfold.ingress.timers import Timers

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LINGER_S = 0.5  # after an answer that ends the connection early: read on this long, or the client loses it
OVERDUE_PART = 3.0  # the margin's part left when the answer is written without the module


class Bounds(Protocol):
    """A front's bounds for safety: bytes, counts, milliseconds."""

    @property
    def open_requests(self) -> int: ...
    @property
    def header_bytes(self) -> int: ...
    @property
    def header_count(self) -> int: ...
    @property
    def header_timeout_ms(self) -> float: ...
    @property
    def body_bytes(self) -> int: ...
    @property
    def body_timeout_ms(self) -> float: ...
    @property
    def idle_timeout_ms(self) -> float: ...
    @property
    def write_timeout_ms(self) -> float: ...
    @property
    def answer_margin_ms(self) -> float: ...


class Words(Protocol):
    """How a front words its answers."""

    def rejected(self, fault: Rejected, name: bytes = b"", keep_alive: bool = False) -> bytes:
        """A request that was not taken."""

    def final(self, answer: Final, name: bytes, keep_alive: bool, no_body: bool = False) -> bytes:
        """The module's final answer."""


class Listener:
    """What the connections of one front share."""

    def __init__(self, limits: Bounds, core: Core, words: Words, timers: Timers,
                 clock: Callable[[], float], log: Callable[..., None]) -> None:
        self.limits, self.core, self.words = limits, core, words
        self.timers, self.clock, self.log = timers, clock, log
        self.stopping = False  # each answer says that its connection ends
        self.done = False  # connections that had an answer are not read any more
        self.connection: Callable[[Any, socket.socket, str], ClientConnection] = ClientConnection
        self.held = 0  # requests taken and not yet answered
        self.idle: dict[socket.socket, float] = {}  # connections without a request, and since when
        self.counts = dict.fromkeys(("connections", "requests", "rejected", "full", "overdue"), 0)

    def serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """One client connection, from accept to close."""
        self.counts["connections"] += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = self.connection(self, sock, address[0])
        try:
            connection.run()
        except OSError:
            pass  # the client is gone
        finally:
            connection.close()

    def stop(self) -> None:
        """Take nothing new: idle connections end, the others after their answer."""
        self.stopping = self.done = True
        for sock in list(self.idle):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class ClientConnection:
    """One client connection: requests read one after another, each answered once."""

    def __init__(self, front: Listener, sock: socket.socket, peer: str) -> None:
        limits = front.limits
        self.front, self.sock, self.limits, self.peer = front, sock, limits, peer
        self.reader = RequestReader(limits.header_bytes, limits.header_count, limits.body_bytes)
        self.watcher: Any = None  # tells, while an answer is awaited, that the client left
        self.exchange: Exchange | None = None
        self.left = self.late = self.answered = False
        self.ahead = False  # more came before the answer was written
        self.accepted_ms = front.clock()
        self.request = Request()
        self.began_ms = self.came_ms = 0.0  # when the first, the last bytes of the message came

    def close(self) -> None:
        if self.watcher is not None:
            self.watcher.stop()
            self.watcher.close()
        self.sock.close()

    def run(self) -> None:
        """Read, answer, and so on until one side is done."""
        front = self.front
        while True:
            try:
                request = self._next()
                if request is None:
                    return
                front.counts["requests"] += 1
                front.held += 1
                try:
                    self._respond(request)
                finally:
                    front.held -= 1
            except Rejected as fault:
                front.counts["rejected"] += 1
                self._last_words(front.words.rejected(fault))
                return
            if self.left:
                return
            self.answered = True
            if not self.keep:
                if self.ahead:
                    self._linger()
                return

    def _respond(self, request: Request) -> None:
        """Answer one request; Rejected where it is owed nothing but the reason."""
        self.request = request
        answer = self._answer(request)
        if self.left:
            return
        sent = self.sock.send(answer)
        if sent < len(answer):
            self.sock.settimeout(self.limits.write_timeout_ms / 1000)
            self.sock.sendall(memoryview(answer)[sent:])
            self.sock.settimeout(None)

    @property
    def keep(self) -> bool:
        """Whether the connection stays after this answer: a gateway that stops says so with the answer."""
        return self.request.keep_alive and not self.front.stopping

    # ---- reading

    def _next(self) -> Request | None:
        """The next whole request; None where the client is done. Each phase has a time of its own."""
        reader, front = self.reader, self.front
        if reader.ready:
            return reader.ready.popleft()
        self.late = False
        began = front.clock()
        timer = front.timers.at(began + self.phase_ms(0), self._too_late)
        phase = continued = 0  # 0 idle, 1 header, 2 body
        try:
            while not reader.ready:
                if reader.wants_continue and not continued:
                    continued = 1
                    self.sock.sendall(CONTINUE)
                if not phase:
                    if (front.done and self.answered) or reader.closing:
                        return None
                    front.idle[self.sock] = began
                try:
                    data, self.came_ms = receive(self.sock, 65536, front.clock)
                except TimeoutError:
                    data = b""
                if self.late and phase:
                    if (request := self._without_body()) is not None:
                        return request
                    raise Rejected(408, "the request took too long to come")
                if not data or self.late:
                    return None
                if not phase:
                    front.idle.pop(self.sock, None)
                    self.began_ms = self.came_ms
                reader.feed(data)
                if not reader.ready and (now_in := 2 if reader.in_body else 1) > phase:
                    phase = now_in
                    front.timers.off(timer)
                    timer = front.timers.at(front.clock() + self.phase_ms(phase), self._too_late)
        finally:
            front.timers.off(timer)
            if not phase:
                front.idle.pop(self.sock, None)
        return reader.ready.popleft()

    def phase_ms(self, phase: int) -> float:
        """How long each phase may take: idle, header, body."""
        limits = self.limits
        return (limits.idle_timeout_ms, limits.header_timeout_ms, limits.body_timeout_ms)[phase]

    def _without_body(self) -> Request | None:
        """The request of which only the body is missing, where it can be answered without."""
        return None

    def _too_late(self) -> None:
        """Called when a phase's time is up: wakes the reader and leaves the socket whole for an answer."""
        self.late = True
        gevent.get_hub().cancel_wait(self.sock._read_event, TimeoutError())

    def _last_words(self, answer: bytes) -> None:
        """Answer and close; what the client still sends is read for a moment, or a reset eats the answer."""
        self.sock.settimeout(LINGER_S)
        self.sock.sendall(answer)
        self._linger()

    def _linger(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(LINGER_S, False), suppress(OSError):
            while self.sock.recv(65536):
                pass

    # ---- answering

    def _answer(self, request: Request) -> bytes:
        entered = self._enter(request, self.peer)
        return entered if isinstance(entered, bytes) else self._decided(entered)

    def _enter(self, request: Request, peer: str) -> Exchange | bytes:
        """The request ready for the module, or the answer where it does not come that far; Rejected."""
        raise NotImplementedError

    def _decided(self, exchange: Exchange) -> bytes:
        """Hand the request to the module and wait for its answer, or for the client to leave."""
        front = self.front
        self.exchange = exchange
        self.ahead = False
        self._watch()
        sender = front.core.sender
        assert sender is not None
        # the module answers in time; should it not, the client still gets its one answer
        overdue = exchange.deadline_ms - self.limits.answer_margin_ms / OVERDUE_PART
        try:
            front.core.arrive(exchange)
            while exchange.todo or exchange.final is None:
                if exchange.todo:
                    sender.run(exchange.todo.pop(0))
                elif not self._wait(exchange, overdue):
                    front.counts["overdue"] += 1
                    front.log("request.overdue", request=exchange.name.decode())
                    front.core.withdraw(exchange, Failed(True))
        finally:
            self.watcher.stop()
            self.exchange = None
            if exchange.final is None:  # this greenlet is being ended
                front.core.withdraw(exchange, Left())
        assert exchange.final is not None
        return front.words.final(exchange.final, exchange.name, self.keep, exchange.method == "HEAD")

    def _wait(self, exchange: Exchange, until: float) -> bool:
        """Wait for an attempt to carry out or for the answer; False where neither came."""
        if exchange.woken is None:
            exchange.woken = Event()
        exchange.woken.clear()
        woken: bool = exchange.woken.wait(max(0.0, until - self.front.clock()) / 1000)
        return woken

    def _watch(self) -> None:
        if self.watcher is None:
            self.watcher = gevent.get_hub().loop.io(self.sock.fileno(), 1)
        self.watcher.start(self._something_came)

    def _something_came(self) -> None:
        """Called by the loop: the client left, or sent its next request ahead of time."""
        self.watcher.stop()
        try:
            if self.sock._sock.recv(1, socket.MSG_PEEK):
                self.ahead = True  # read when its turn comes
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        self.left = True
        if self.exchange is not None:
            self.front.core.withdraw(self.exchange, Left())
