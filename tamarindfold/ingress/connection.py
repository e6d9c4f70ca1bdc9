"""Client connections: one greenlet each, requests read one after another, each answered once.

How a request is admitted and how answers are worded differ between fronts; the loop is here, once.

Who owns what, and in which order:
- A connection counts from its acceptance on (`Listener.clients`), not from when its greenlet begins.
- Only its greenlet reads for requests, and only its greenlet ends it. Timers, a front that stops and one that
  needs room `hurry` it: it looks at the socket once more without waiting and takes what lies there; what does
  not was never read, and the client may send it once more.
- While a request waits, whoever is about to write its first byte to a server looks at the client's socket
  first (`look`), as the loop does when something comes there; between that look and the write nothing yields.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

import gevent
from gevent import socket
from gevent.event import Event
from gevent.pool import Pool as GreenletPool
from gevent.server import StreamServer

from tamarindfold.http1.requests import Rejected, Request, RequestReader
from tamarindfold.ingress.arrival import receive
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.exchange import Exchange, Failed, Final, ClientLeft
from tamarindfold.ingress.timers import Timers

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LINGER_S = 0.5  # after an answer that ends the connection early: read on this long, or the client loses it
OVERDUE_PART = 3.0  # the margin's part left when the answer is written without the module
READ_BYTES, LOOKS = 65_536, 16  # of a read; reads of one look: more than a client's socket holds unread


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
    def ahead_bytes(self) -> int: ...
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

    def __init__(
        self,
        limits: Bounds,
        core: Core,
        words: Words,
        timers: Timers,
        clock: Callable[[], float],
        log: Callable[..., None],
        connections: int,
    ) -> None:
        """connections: so many are accepted at the most."""
        self.limits, self.core, self.words = limits, core, words
        self.timers, self.clock, self.log = timers, clock, log
        self.stopping = False  # each answer says that its connection ends
        self.done = False  # nothing is waited for any more: what lies on a socket is taken, and no more
        self.connection: Callable[[Any, socket.socket, str], ClientConnection] = ClientConnection
        self.clients = GreenletPool(connections)  # from acceptance to close
        self.held = 0  # requests taken and not yet answered
        self.reading: dict[ClientConnection, None] = {}  # connections that wait for a request or for its rest
        self.idle: dict[ClientConnection, float] = {}  # those of them without a byte of it, and since when
        self.counts = dict.fromkeys(
            ("connections", "requests", "rejected", "full", "overdue", "ahead", "ahead_full"), 0
        )

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

    def end_idle(self) -> None:
        """End the idle connections that had an answer; those whose next request has come serve it first."""
        for connection in [c for c in self.idle if c.answered]:
            connection.hurry()

    def stop(self, server: StreamServer) -> None:
        """Take nothing new. First each connection looks at its socket for the last time, so that idle ones
        give up their places; then what waits in the accept queue is taken, since closing the listener
        would reset it: those find `done` when they begin. No yield but for a full `clients`."""
        self.stopping = self.done = True
        if server.closed:
            return
        for connection in list(self.reading):
            connection.hurry()
        server.stop_accepting()
        while True:
            try:
                accepted = server.do_read()
            except ConnectionAbortedError:
                continue  # that one left while it waited
            except OSError as error:  # no descriptor for it: closing resets it
                self.log("front.queue_left", reason=str(error))
                break
            if accepted is None:
                break
            server.do_handle(*accepted)
        server.close()


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
        self.early: list[bytes] = []  # of it, what is kept for the next request, and when the last came
        self.early_bytes, self.early_ms = 0, 0.0
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
        try:
            sent = self.sock._sock.send(answer)
        except BlockingIOError:
            sent = 0  # earlier answers were not read: this one has no more time for it than any other
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
        if reader.closing:
            return None
        self.late = front.done
        began = front.clock()
        timer = front.timers.schedule(began + self.phase_ms(0), self.hurry)
        phase = continued = 0  # 0 idle, 1 header, 2 body
        front.reading[self] = None
        front.idle[self] = began
        try:
            while not reader.ready:
                if reader.wants_continue and not continued:
                    continued = 1
                    self.sock.sendall(CONTINUE)
                data = self._more()
                if not data:
                    if not self.late or not phase:
                        return None
                    if (request := self._without_body()) is not None:
                        return request
                    raise Rejected(408, "the request took too long to come")
                if not phase:
                    front.idle.pop(self, None)
                    self.began_ms = self.came_ms
                reader.feed(data)
                if not reader.ready and (now_in := 2 if reader.in_body else 1) > phase:
                    phase = now_in
                    self.late = front.done
                    front.timers.cancel(timer)
                    timer = front.timers.schedule(front.clock() + self.phase_ms(phase), self.hurry)
        finally:
            front.timers.cancel(timer)
            front.reading.pop(self, None)
            front.idle.pop(self, None)
        return reader.ready.popleft()

    def _more(self) -> bytes:
        """More of what the client sends; empty where it ended, or where none lies there in a hurry."""
        if self.early:
            data, self.came_ms = b"".join(self.early), self.early_ms
            self.early, self.early_bytes = [], 0
            return data
        while not self.late:
            try:
                data, self.came_ms = receive(self.sock, READ_BYTES, self.front.clock)
                return data
            except TimeoutError:
                pass  # a hurry; one that is over by now, since bytes came in that very turn, is none
        try:
            data, self.came_ms = receive(self.sock._sock, READ_BYTES, self.front.clock)
        except BlockingIOError:
            return b""
        return data

    def phase_ms(self, phase: int) -> float:
        """How long each phase may take: idle, header, body."""
        limits = self.limits
        return (limits.idle_timeout_ms, limits.header_timeout_ms, limits.body_timeout_ms)[phase]

    def _without_body(self) -> Request | None:
        """The request of which only the body is missing, where it can be answered without."""
        return None

    def hurry(self) -> None:
        """Called when a phase's time is up, or when the front wants an end: wakes the reader for a last look,
        and leaves the socket whole for an answer."""
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

    def unread(self) -> bool:
        """Whether bytes lie on the socket that its greenlet has not come to read."""
        try:
            return bool(self.sock._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

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
        self._watch(exchange)
        sender = front.core.sender
        assert sender is not None
        # the module answers in time; should it not, the client still gets its one answer
        overdue = exchange.deadline_ms - self.limits.answer_margin_ms / OVERDUE_PART
        try:
            front.core.submit(exchange)
            while exchange.pending_attempts or exchange.final is None:
                if exchange.pending_attempts:
                    sender.run(exchange.pending_attempts.pop(0))
                elif not self._wait(exchange, overdue):
                    front.counts["overdue"] += 1
                    front.log("request.overdue", request=exchange.name.decode())
                    front.core.withdraw(exchange, Failed(True))
        finally:
            self._unwatch(exchange)
            if exchange.final is None:  # this greenlet is being ended
                front.core.withdraw(exchange, ClientLeft())
        assert exchange.final is not None
        return front.words.final(exchange.final, exchange.name, self.keep, exchange.method == "HEAD")

    def _wait(self, exchange: Exchange, until: float) -> bool:
        """Wait for an attempt to carry out or for the answer; False where neither came."""
        if exchange.wakeup is None:
            exchange.wakeup = Event()
        exchange.wakeup.clear()
        woken: bool = exchange.wakeup.wait(max(0.0, until - self.front.clock()) / 1000)
        return woken

    def _watch(self, exchange: Exchange) -> None:
        """From here on the client's leaving ends this request."""
        self.exchange, self.ahead = exchange, False
        exchange.check_client = self.look
        if self.watcher is None:
            self.watcher = gevent.get_hub().loop.io(self.sock.fileno(), 1)
        self.watcher.start(self.look)

    def _unwatch(self, exchange: Exchange) -> None:
        self.watcher.stop()
        self.exchange = exchange.check_client = None

    def look(self) -> None:
        """Take what lies on the client's socket; an end or a reset, also behind bytes: the client has left.

        Called by the loop when something came, and before the first byte of each attempt. What came ahead of
        its time is kept for its turn, if there will be one; beyond a bound the rest stays on the socket, and
        an end behind it is seen only when that is read.
        """
        try:
            for _ in range(LOOKS):
                if self.early_bytes > self.limits.ahead_bytes:
                    self.front.counts["ahead_full"] += 1
                    self.watcher.stop()
                    return
                data, came_ms = receive(self.sock._sock, READ_BYTES, self.front.clock)
                if not data:
                    break
                self.front.counts["ahead"] += not self.ahead
                self.ahead = True
                if self.keep:
                    self.early.append(data)
                    self.early_bytes, self.early_ms = self.early_bytes + len(data), came_ms
            else:
                return  # a flood: the loop comes again for the rest
        except BlockingIOError:
            return  # nothing there, or nothing more: the loop tells when something comes
        except OSError:
            pass
        self.left = True
        self.watcher.stop()
        if self.exchange is not None:
            self.front.core.withdraw(self.exchange, ClientLeft())
