"""Client connections: one greenlet each, which reads requests in turn and writes one response to each.

All fronts (listening endpoints) share the request loop; how a request is admitted and how responses are
rendered differs between them.

Ownership and ordering:
- A connection counts as open from acceptance on (`BaseFront.clients`), not from the start of its greenlet.
- All input is untrusted: it is read in small pieces, each connection has its turn (links.turns), and what is
  kept for a connection is entered in the memory account that it has with its front.
- Only its greenlet reads requests and closes the connection. Timers, a front that shuts down and one that
  needs a free connection call `stop_waiting`: the greenlet then reads once more without blocking and serves
  what was in the socket buffer. Later bytes are never read, so the client may safely repeat that request.
- While a request waits for its response, `check_client` looks for a disconnect: when the socket becomes
  readable, and right before the first byte of each attempt is written to a backend. Nothing yields between
  that check and the write.
"""

from __future__ import annotations

from contextlib import suppress
from enum import Enum, IntEnum
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from tamarindfold.http1.requests import Rejected, Request, RequestReader
from tamarindfold.ingress import peer
from tamarindfold.ingress.arrival import receive
from tamarindfold.ingress.base_front import BaseFront
from tamarindfold.ingress.exchange import ClientLeft, Exchange, Failed, Final, Refused
from tamarindfold.interface import Why
from tamarindfold.links.turns import UNTRUSTED_TURN_BYTES, Turn

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# After a response that ends the connection early, input is read for this long: unread input would reset the
# connection, and the client would lose the response.
LINGER_S = 0.5
MAX_LINGERING = 64  # connections of a front in that state; further ones are closed at once
# If the decision module is late, the connection responds on its own once only the answer margin divided by
# this is left before the deadline.
OVERDUE_MARGIN_DIVISOR = 3.0
# With a small read few pipelined requests are complete before the first is served.
READ_BYTES = UNTRUSTED_TURN_BYTES
DROP_BYTES = 16_384  # read at a time of input that is not parsed
MAX_READS_PER_TURN = 4  # of that size, of input behind a request
# Input behind a request of a connection that will be closed is dropped up to this size; the rest is not read.
MAX_DROPPED_BYTES = 1 << 20
# A connection with a request that came in one piece: its greenlet and stack, socket, parser and objects.
CONNECTION_BYTES = 10_240
RETRY_AFTER_MS = 100.0  # for requests that were not decided on for want of room, or could not be checked
# With this much unread, the end of the client's stream may still be in the client's own buffer.
HIDING_BYTES = 32_768


class NoRoom(Exception):
    """The memory or the place of a connection is needed for others before its request is complete."""


class Phase(IntEnum):
    """What a connection waits for; each phase has its own time-out."""

    IDLE = 0  # the first byte of a request
    HEADER = 1
    BODY = 2


class InputAhead(Enum):
    """What was found behind a request whose response is pending."""

    ALL_READ = "all read"
    MORE = "more"
    ENDED = "ended"


class ClientConnection:
    """One client connection: reads requests in turn and writes one response to each."""

    def __init__(self, front: BaseFront, sock: socket.socket, peer: str) -> None:
        limits = front.limits
        self.front, self.sock, self.limits, self.peer = front, sock, limits, peer
        self.reader = RequestReader(limits.header_bytes, limits.header_count, limits.body_bytes)
        self.turn = Turn(READ_BYTES)
        self.place: Event | None = None  # in the queue of turns
        self.memory = front.memory.account(CONNECTION_BYTES)
        self.evicted = False  # its memory is needed for others
        self.watcher: Any = None  # reports readability while a response is pending
        self.exchange: Exchange | None = None  # the request whose response is pending
        self.client_gone = False
        self.no_wait = False  # read what the socket buffer holds, then close
        self.answered = False  # at least one response was written
        self.pipelined = False  # the client sent more before the response to its request
        self.pipelined_data: list[bytes] = []  # bytes kept for the next request
        self.pipelined_bytes = 0  # kept, or dropped where the connection will be closed
        self.last_read_bytes = 0  # may still be read once `no_wait` is set
        self.pipelined_last_byte_ms = 0.0
        self.accepted_ms = front.clock()
        self.request = Request()
        self.first_byte_ms = self.last_byte_ms = 0.0  # arrival of the current message's bytes

    def close(self) -> None:
        if self.watcher is not None:
            self.watcher.stop()
            self.watcher.close()
        self.sock.close()
        self.memory.resize(0)

    def run(self) -> None:
        """Serve requests until either side ends the connection."""
        front = self.front
        rejection: bytes | None = None
        while True:
            try:
                request = self._read_request()
                if request is None:
                    return
                front.counts["requests"] += 1
                front.in_flight += 1
                try:
                    self._respond(request)
                finally:
                    front.in_flight -= 1
            except Rejected as fault:
                front.counts["rejected"] += 1
                rejection = front.renderer.rejected(fault)
            except NoRoom:
                rejection = front.renderer.final(Refused(RETRY_AFTER_MS, Why.PRESSURE), b"", False)
            if rejection is not None:
                self._send_and_close(rejection)
                return
            if self.client_gone:
                return
            self.answered = True
            if not self.keep_alive:
                if self.pipelined:
                    self._lingering_close()
                return
            self._spend_turn(0, messages=1)

    def _respond(self, request: Request) -> None:
        """Answer one request; raises Rejected if the connection must end with an error response."""
        self.request = request
        response = self._handle(request)
        if self.client_gone:
            return
        try:
            sent = self.sock._sock.send(response)
        except BlockingIOError:
            sent = 0  # the send buffer is full of unread responses; the write time-out below applies
        if sent < len(response):
            self._send_rest(response, sent)

    def _send_rest(self, response: bytes, sent: int) -> None:
        """Write the part of a response that has to wait for its client to read."""
        front = self.front
        self.memory.resize(self.memory.size + len(response))
        front.writing[self] = None
        front.memory.make_room()
        self.sock.settimeout(self.limits.write_timeout_ms / 1000)
        try:
            self.sock.sendall(memoryview(response)[sent:])
        finally:
            front.writing.pop(self, None)
        self.sock.settimeout(None)

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after this response; a stopping gateway closes it."""
        return self.request.keep_alive and not self.front.stopping

    # ---- reading

    def _read_request(self) -> Request | None:
        """The next complete request; None if the client is done. Each phase has its own time-out."""
        reader, front = self.reader, self.front
        if reader.ready:
            return reader.ready.popleft()
        if reader.closing:
            return None
        self.no_wait = front.no_wait
        self.last_read_bytes = self.limits.header_bytes + self.limits.body_bytes
        if self.memory.size != CONNECTION_BYTES:
            self.memory.resize(CONNECTION_BYTES + self.pipelined_bytes)
        idle_since_ms = front.clock()
        timer = front.timers.schedule(idle_since_ms + self.phase_timeout_ms(Phase.IDLE), self.stop_waiting)
        phase, sent_continue = Phase.IDLE, False
        front.reading[self] = None
        front.idle[self] = idle_since_ms
        try:
            while not reader.ready:
                if reader.wants_continue and not sent_continue:
                    sent_continue = True
                    self.sock.sendall(CONTINUE)
                data = self._read_bytes()
                if self.evicted:
                    if phase is Phase.IDLE:
                        return None
                    raise NoRoom
                if not data:
                    return self._incomplete_request(phase)
                if phase is Phase.IDLE:
                    front.idle.pop(self, None)
                    self.first_byte_ms = self.last_byte_ms
                size = len(data)
                reader.feed(data)
                del data  # what the reader keeps is enough while this greenlet waits
                if phase is Phase.IDLE and len(reader.ready) == 1:
                    break  # it came in one piece, for which the connection's own memory allows
                self._account()
                if reader.ready:
                    break
                if (current := Phase.BODY if reader.in_body else Phase.HEADER) > phase:
                    phase = current
                    self.no_wait = front.no_wait
                    front.timers.cancel(timer)
                    timer = front.timers.schedule(
                        front.clock() + self.phase_timeout_ms(phase), self.stop_waiting
                    )
                self._spend_turn(size)
        finally:
            front.timers.cancel(timer)
            front.reading.pop(self, None)
            front.idle.pop(self, None)
        return reader.ready.popleft()

    def _account(self) -> None:
        """Count the memory that the request takes; raises NoRoom if there is not enough.

        A complete request is never given up here: it was read.
        """
        if self.reader.ready:
            self.front.reading.pop(self, None)
        budget = self.front.memory
        self.memory.resize(CONNECTION_BYTES + self.reader.kept_bytes + self.pipelined_bytes)
        if budget.used > budget.capacity and not budget.make_room() and not self.reader.ready:
            raise NoRoom

    def evict(self) -> None:
        """End this connection, which is reading, and free its memory at once.

        If a request has begun, it is answered with an error: the client may have sent all of it.
        """
        self.evicted = True
        self.reader.discard()
        self.pipelined_data.clear()
        self.pipelined_bytes = 0
        self.memory.resize(0)
        self.stop_waiting()

    def abandon_response(self) -> None:
        """Stop writing to a client that does not read; its greenlet then closes the connection."""
        self.front.writing.pop(self, None)
        self.memory.resize(0)
        self.sock.shutdown(socket.SHUT_RDWR)

    def _incomplete_request(self, phase: Phase) -> Request | None:
        """What to do at the end of the input, or when the time is up; raises Rejected to answer an error."""
        if not self.no_wait or phase is Phase.IDLE:
            return None
        if (request := self._request_without_body()) is not None:
            return request
        self.front.counts["too_late"] += 1
        raise Rejected(408, "the request took too long to come")

    def _keep(self, data: bytes, last_byte_ms: float) -> None:
        """Keep bytes for the next request."""
        self.pipelined_data.append(data)
        self.pipelined_bytes += len(data)
        self.memory.resize(self.memory.size + len(data))
        self.pipelined_last_byte_ms = last_byte_ms

    def _read_bytes(self) -> bytes:
        """The next bytes from the client; those that were kept come first.

        Empty at the end of the stream. If `no_wait` is set, it doesn't wait, and reads no more than a whole
        request: the client may send without a pause. Nothing is read for a connection that was evicted.
        """
        if self.pipelined_data:
            data, self.last_byte_ms = b"".join(self.pipelined_data), self.pipelined_last_byte_ms
            self.pipelined_data, self.pipelined_bytes = [], 0
            return data
        while not self.no_wait and not self.evicted:
            try:
                data, self.last_byte_ms = receive(self.sock._sock, READ_BYTES, self.front.clock)
                return data
            except BlockingIOError:
                self._wait_for_input()  # goes on if no_wait was reset in the same loop iteration
        if self.evicted or self.last_read_bytes <= 0:
            return b""
        try:
            data, self.last_byte_ms = receive(self.sock._sock, READ_BYTES, self.front.clock)
        except BlockingIOError:
            return b""
        self.last_read_bytes -= len(data)
        return data

    def _wait_for_input(self) -> None:
        """Wait until the socket is readable or `stop_waiting` is called."""
        if self in self.front.idle:  # nothing of a request has come: no turn is owed for the one before
            self.turn.begin()
        with suppress(TimeoutError):
            self.sock._wait(self.sock._read_event)

    def _spend_turn(self, size: int, messages: int = 0) -> None:
        """Count input; if the turn is over, wait for the next one, or until `stop_waiting` is called."""
        if not self.turn.ends_after(size, messages):
            return
        self.place = self.front.turns.add()
        try:
            self.place.wait()
        finally:
            self.place = None

    def phase_timeout_ms(self, phase: Phase) -> float:
        """Time allowed for a phase of reading."""
        limits = self.limits
        return (limits.idle_timeout_ms, limits.header_timeout_ms, limits.body_timeout_ms)[phase]

    def _request_without_body(self) -> Request | None:
        """The request whose body did not arrive, if it can be answered without it."""
        return None

    def stop_waiting(self) -> None:
        """Wake the reader for one last non-blocking read; the socket stays open for a response.

        Called when the time-out of a phase expires, or when the front wants the connection to end.
        """
        self.no_wait = True
        if self.place is not None:
            self.place.set()
        gevent.get_hub().cancel_wait(self.sock._read_event, TimeoutError())

    def _send_and_close(self, response: bytes) -> None:
        """Send a last response and close without a reset, which could discard the response."""
        self.sock.settimeout(LINGER_S)
        self.sock.sendall(response)
        self._lingering_close()

    def _lingering_close(self) -> None:
        """Read what the client still sends until it closes or the time is up, also if it never pauses."""
        front = self.front
        self.sock.shutdown(socket.SHUT_WR)
        if self.evicted:  # others wait for its place: only what has come is read
            return self._drop_unread()
        if front.lingering >= MAX_LINGERING:
            front.counts["linger_full"] += 1
            return
        front.lingering += 1
        try:
            with gevent.Timeout(LINGER_S, False), suppress(OSError):
                while data := self.sock.recv(DROP_BYTES):
                    self._spend_turn(len(data))
        finally:
            front.lingering -= 1

    def _drop_unread(self) -> None:
        """Read the rest of a request from the socket buffer, so that closing doesn't reset the connection."""
        with suppress(OSError):
            for _ in range((self.limits.header_bytes + self.limits.body_bytes) // DROP_BYTES):
                if not self.sock._sock.recv(DROP_BYTES):
                    return

    def has_unread_bytes(self) -> bool:
        """Whether the socket buffer holds bytes that the connection's greenlet has not read."""
        try:
            return bool(self.sock._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    # ---- answering

    def _handle(self, request: Request) -> bytes:
        admitted = self._admit(request, self.peer)
        return admitted if isinstance(admitted, bytes) else self._process(admitted)

    def _admit(self, request: Request, peer: str) -> Exchange | bytes:
        """The exchange for the decision module, or a response if the request ends here; raises Rejected."""
        raise NotImplementedError

    def _process(self, exchange: Exchange) -> bytes:
        """Hand the request to the decision module; wait for the outcome or for the client to disconnect."""
        front = self.front
        self._watch_client(exchange)
        sender = front.core.sender
        assert sender is not None
        # The decision module answers in time; if it does not, the client still gets exactly one response.
        overdue_at_ms = exchange.deadline_ms - self.limits.answer_margin_ms / OVERDUE_MARGIN_DIVISOR
        try:
            front.core.submit(exchange)
            while exchange.pending_attempts or exchange.final is None:
                if exchange.pending_attempts:
                    sender.run(exchange.pending_attempts.pop(0))
                elif not self._wait_for_progress(exchange, overdue_at_ms):
                    front.counts["overdue"] += 1
                    front.log("request.overdue", request=exchange.name.decode())
                    front.core.withdraw(exchange, Failed(True))
        finally:
            self._unwatch_client(exchange)
            if exchange.final is None:  # this greenlet is being killed
                front.core.withdraw(exchange, ClientLeft())
        assert exchange.final is not None
        return front.renderer.final(exchange.final, exchange.name, self.keep_alive, exchange.method == "HEAD")

    def _wait_for_progress(self, exchange: Exchange, until_ms: float) -> bool:
        """Wait for an attempt to run or for the final outcome; False if neither came by `until_ms`."""
        if exchange.wakeup is None:
            exchange.wakeup = Event()
        exchange.wakeup.clear()
        woken: bool = exchange.wakeup.wait(max(0.0, until_ms - self.front.clock()) / 1000)
        return woken

    def _watch_client(self, exchange: Exchange) -> None:
        """Withdraw this request if the client disconnects from now on."""
        self.exchange, self.pipelined = exchange, False
        exchange.check_client = self.check_before_send
        if self.watcher is None:
            self.watcher = gevent.get_hub().loop.io(self.sock.fileno(), 1)
        self.watcher.start(self.check_client)

    def _unwatch_client(self, exchange: Exchange) -> None:
        self.watcher.stop()
        self.exchange = exchange.check_client = None

    def check_client(self) -> None:
        """Withdraw the request if the client has left. Called by the event loop on new input."""
        if self._read_ahead(MAX_READS_PER_TURN) is InputAhead.ENDED:
            self._withdraw(ClientLeft())

    def check_before_send(self) -> None:
        """The same right before the first byte of an attempt; also withdraws a request that can't be checked.

        With a lot of unread input the end of the client's stream may not have come, however long ago the
        client closed its connection.
        """
        found = self._read_ahead(MAX_DROPPED_BYTES // DROP_BYTES)
        if found is InputAhead.ENDED:
            self._withdraw(ClientLeft())
        elif found is InputAhead.MORE and self._may_hide_an_end() and self.exchange is not None:
            self.front.counts["unchecked_client"] += 1
            unsent = not self.exchange.written
            self._withdraw(Refused(RETRY_AFTER_MS, Why.PRESSURE) if unsent else Failed(False))

    def _withdraw(self, final: Final) -> None:
        self.watcher.stop()
        self.client_gone = isinstance(final, ClientLeft)
        if self.exchange is not None:
            self.front.core.withdraw(self.exchange, final)

    def _read_ahead(self, reads: int) -> InputAhead:
        """Read what came behind the request: an end of the stream or a reset means that the client has left.

        The bytes are kept for the next request, up to `ahead_bytes`, or dropped if the connection will be
        closed. Once there is too much, the event loop does not call again.
        """
        try:
            for _ in range(reads):
                if self.pipelined_bytes and self._is_too_far_ahead():
                    self.front.counts["ahead_full"] += 1
                    self.watcher.stop()
                    break
                data, last_byte_ms = receive(self.sock._sock, DROP_BYTES, self.front.clock)
                if not data:
                    return InputAhead.ENDED
                self._add_ahead(data, last_byte_ms)
        except BlockingIOError:
            return InputAhead.ALL_READ  # the event loop calls again on new input
        except OSError:
            return InputAhead.ENDED
        return InputAhead.ENDED if peer.has_closed(self.sock) else InputAhead.MORE

    def _is_too_far_ahead(self) -> bool:
        return self.pipelined_bytes > (self.limits.ahead_bytes if self.keep_alive else MAX_DROPPED_BYTES)

    def _add_ahead(self, data: bytes, last_byte_ms: float) -> None:
        self.front.counts["ahead"] += not self.pipelined
        self.pipelined = True
        if self.keep_alive:
            self._keep(data, last_byte_ms)
        else:
            self.pipelined_bytes += len(data)

    def _may_hide_an_end(self) -> bool:
        try:
            return len(self.sock._sock.recv(HIDING_BYTES, socket.MSG_PEEK)) == HIDING_BYTES
        except OSError:
            return False
