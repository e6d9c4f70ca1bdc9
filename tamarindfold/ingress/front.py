"""Client connections: one greenlet each, requests read one after another, each answered once."""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from tamarindfold.config.model import GatewayConfig
from tamarindfold.forward.networks import Networks, Rule
from tamarindfold.http1.requests import Rejected, Request, RequestReader
from tamarindfold.ingress import answers
from tamarindfold.ingress import headers as names
from tamarindfold.ingress.admission import Asked, Forbidden
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.door import Door, Unauthorized, Unchecked
from tamarindfold.ingress.exchange import Exchange, Failed, Left, Refused
from tamarindfold.ingress.timers import Timers
from tamarindfold.interface import Why

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LINGER_S = 0.5  # after an answer that ends the connection early: read on this long, or the client loses it
OVERDUE_PART = 3.0  # the margin's part left when the answer is written without the module


class Pressed(Exception):
    """The front itself has no time for this request now."""

    def __init__(self, retry_after_ms: float) -> None:
        super().__init__(retry_after_ms)
        self.retry_after_ms = retry_after_ms


class Front:
    """Serves client connections for one gateway."""

    def __init__(self, config: GatewayConfig, core: Core, door: Door, timers: Timers,
                 clock: Callable[[], float], log: Callable[..., None]) -> None:
        self.limits, self.core, self.door = config.limits, core, door
        self.timers, self.clock, self.log = timers, clock, log
        self.admission = door.admission
        self.width = self.admission.width
        self.prefix = b"%d-%x-" % (config.instance.index, int(clock()))
        self.networks = Networks((n.network, Rule(n.refuse, n.zone)) for n in config.networks
                                 ) if config.networks else None
        self.stopping = False
        self.connection = ClientConnection  # what serves a connection
        self.held = 0  # requests taken and not yet answered
        self.idle: set[socket.socket] = set()
        self.counts = dict.fromkeys(
            ("connections", "requests", "rejected", "unauthorized", "unchecked", "full", "overdue"), 0)

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
        self.stopping = True
        for sock in list(self.idle):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class ClientConnection:
    """One client connection: requests read one after another, each answered once."""

    def __init__(self, front: Front, sock: socket.socket, peer: str) -> None:
        limits = front.limits
        self.front, self.sock, self.limits, self.peer = front, sock, limits, peer
        self.reader = RequestReader(limits.header_bytes, limits.header_count, limits.body_bytes)
        self.watcher: Any = None  # tells, while an answer is awaited, that the client left
        self.exchange: Exchange | None = None
        self.left = self.late = False
        self.request = Request()
        self.began_ms = 0.0  # when the first byte of the message now being read came

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
            except Rejected as fault:
                front.counts["rejected"] += 1
                self._last_words(answers.rejected(fault))
                return
            if request is None:
                return
            front.counts["requests"] += 1
            front.held += 1
            try:
                self.request = request
                answer = self._answer(request)
                if self.left:
                    return
                sent = self.sock.send(answer)
                if sent < len(answer):
                    self.sock.settimeout(self.limits.write_timeout_ms / 1000)
                    self.sock.sendall(memoryview(answer)[sent:])
                    self.sock.settimeout(None)
            finally:
                front.held -= 1
            if not self.keep:
                return

    @property
    def keep(self) -> bool:
        """Whether the connection stays after this answer: a gateway that stops says so with the answer."""
        return self.request.keep_alive and not self.front.stopping

    # ---- reading

    def _next(self) -> Request | None:
        """The next whole request; None where the client is done. Each phase has a time of its own."""
        reader, limits, front = self.reader, self.limits, self.front
        if reader.ready:
            return reader.ready.popleft()
        self.late = False
        began = front.clock()
        timer = front.timers.at(began + limits.idle_timeout_ms, self._too_late)
        phase = continued = 0  # 0 idle, 1 header, 2 body
        try:
            while not reader.ready:
                if reader.wants_continue and not continued:
                    continued = 1
                    self.sock.sendall(CONTINUE)
                if not phase:
                    if front.stopping or reader.closing:
                        return None
                    front.idle.add(self.sock)
                try:
                    data = self.sock.recv(65536)
                except TimeoutError:
                    data = b""
                if self.late and phase:
                    if (request := self._without_body()) is not None:
                        return request
                    raise Rejected(408, "the request took too long to come")
                if not data or self.late:
                    return None
                if not phase:
                    front.idle.discard(self.sock)
                    self.began_ms = front.clock()
                reader.feed(data)
                if not reader.ready and (now_in := 2 if reader.in_body else 1) > phase:
                    phase = now_in
                    front.timers.off(timer)
                    allowed = self.body_ms if phase == 2 else limits.header_timeout_ms
                    timer = front.timers.at(front.clock() + allowed, self._too_late)
        finally:
            front.timers.off(timer)
            if not phase:
                front.idle.discard(self.sock)
        return reader.ready.popleft()

    @property
    def body_ms(self) -> float:
        """How long a body may take to come."""
        return self.limits.body_timeout_ms

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
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(LINGER_S, False), suppress(OSError):
            while self.sock.recv(65536):
                pass

    # ---- answering

    def _answer(self, request: Request) -> bytes:
        entered = self._enter(request, self.peer)
        return entered if isinstance(entered, bytes) else self._decided(entered)

    def _enter(self, request: Request, peer: str) -> Exchange | bytes:
        """The request ready for the module, or the answer where it does not come that far."""
        front, name = self.front, b""
        try:
            asked = front.admission.read(request)
            front.core.numbers = number = front.core.numbers + 1
            name = asked.name or front.prefix + b"%x" % number
            deadline = self.began_ms + asked.time_left_ms
            give_up = deadline - self.limits.answer_margin_ms
            self._take_up(asked)
            rule = front.networks.find(peer) if front.networks is not None else None
            if rule is not None and rule.refuse:
                raise Forbidden("this network is not served")
            entry = front.door.enter(asked, min(give_up, self._check_by()), peer)
        except Rejected as fault:
            front.counts["rejected"] += 1
            return answers.rejected(fault, name, self.keep)
        except Pressed as fault:
            self._in_doubt(name)
            return answers.final(Refused(fault.retry_after_ms, Why.PRESSURE), name, self.keep)
        except Unauthorized as fault:
            front.counts["unauthorized"] += 1
            return answers.unauthorized(fault.status, fault.error, fault.detail, name, self.keep)
        except Forbidden as fault:
            front.counts["unauthorized"] += 1
            return answers.forbidden(fault, name, self.keep)
        except Unchecked as fault:
            front.counts["unchecked"] += 1
            self._in_doubt(name)
            return answers.refused(503, "Credential not checked", fault.detail, fault.retry_after_ms, name,
                                   self.keep)
        if front.clock() > deadline:  # the check took all the time there was: nobody waits any more
            front.counts["unchecked"] += 1
            return answers.refused(503, "Credential not checked", "the time ran out", 1.0, name, self.keep)
        if len(front.core.open) >= self.limits.open_requests:
            front.counts["full"] += 1
            return answers.final(Refused(1000.0, Why.PRESSURE), name, self.keep)
        headers = [*asked.headers, answers.VIA]
        if rule is not None and rule.zone is not None:
            headers.append((names.ZONE, b"%d" % rule.zone))
        return Exchange(
            number, name, asked.cls, entry.customer, entry.plan, asked.units, front.width, asked.retry,
            deadline, give_up, request.method, request.target, headers, request.body,
            entry.until_ms, entry.known)

    def _take_up(self, asked: Asked) -> None:
        """Raises Pressed where the front has no time for the request."""

    def _check_by(self) -> float:
        """When the look at a credential is to be over, beside the request's own time."""
        return math.inf

    def _in_doubt(self, name: bytes) -> None:
        """A request of this name was refused because its credential could not be checked."""

    def _decided(self, exchange: Exchange) -> bytes:
        """Hand the request to the module and wait for its answer, or for the client to leave."""
        front = self.front
        self.exchange = exchange
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
        return answers.final(exchange.final, exchange.name, self.keep, exchange.method == "HEAD")

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
                return  # read when its turn comes
        except BlockingIOError:
            return
        except OSError:
            pass
        self.left = True
        if self.exchange is not None:
            self.front.core.withdraw(self.exchange, Left())
