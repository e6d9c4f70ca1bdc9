"""What the client connections of a front share: limits, counters, memory, and which of them ends first."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from gevent import socket
from gevent.pool import Pool as GreenletPool
from gevent.server import StreamServer

from tamarindfold.ds.memory import MemoryBudget
from tamarindfold.http1.requests import Rejected
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.exchange import Final
from tamarindfold.ingress.timers import Timers
from tamarindfold.links.turns import TurnQueue

if TYPE_CHECKING:
    from tamarindfold.ingress.connection import ClientConnection


class ConnectionLimits(Protocol):
    """Safety limits of a front, in bytes, counts or milliseconds."""

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


class ResponseRenderer(Protocol):
    """Renders the responses of a front."""

    def rejected(self, fault: Rejected, name: bytes = b"", keep_alive: bool = False) -> bytes:
        """The response to a malformed or unacceptable request."""

    def final(self, answer: Final, name: bytes, keep_alive: bool, no_body: bool = False) -> bytes:
        """The response for the final outcome of a request."""


class BaseFront:
    """State that the connections of one front share."""

    connection_type: Callable[[Any, socket.socket, str], ClientConnection]

    def __init__(
        self,
        limits: ConnectionLimits,
        core: Core,
        renderer: ResponseRenderer,
        timers: Timers,
        clock: Callable[[], float],
        log: Callable[..., None],
        connections: int,
        memory: MemoryBudget,
    ) -> None:
        """connections: the maximum number of accepted connections; memory: of all fronts of the process."""
        self.limits, self.core, self.renderer = limits, core, renderer
        self.timers, self.clock, self.log = timers, clock, log
        self.memory = memory
        memory.reclaimers.append(self.reclaim_memory)
        self.stopping = False  # every response announces that its connection closes
        self.no_wait = False  # connections read what their socket buffer holds, without waiting for more
        self.clients = GreenletPool(connections)  # from acceptance to close
        self.in_flight = 0  # requests read and not yet answered
        self.reading: dict[
            ClientConnection, None
        ] = {}  # connections waiting for a request or the rest of one
        self.idle: dict[ClientConnection, float] = {}  # those that have no byte of it yet, and since when
        self.counts = dict.fromkeys(
            (
                "connections",
                "requests",
                "rejected",
                "full",
                "overdue",
                "ahead",
                "ahead_full",
                "too_late",
                "linger_full",
                "unchecked_client",
                "no_memory",
                "evicted_memory",
            ),
            0,
        )
        self.turns = TurnQueue()
        self.writing: dict[ClientConnection, None] = {}  # waiting for their client to read, longest first
        self.lingering = 0  # connections that were answered and only read until the client closes

    def serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one client connection from acceptance to close."""
        self.counts["connections"] += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = self.connection_type(self, sock, address[0])
        try:
            if self.memory.make_room():
                connection.run()
            else:
                self.counts["no_memory"] += 1
        except OSError:
            pass  # the client disconnected
        finally:
            connection.close()

    def reclaim_memory(self) -> bool:
        """End the connection whose memory can be spared most easily; False if there is none.

        First those without a request so far, then idle ones, then those in the middle of a request, then
        those whose client does not read its response. A request that was read is never ended.
        """
        if (victim := self._least_valuable_reader()) is not None:
            self.counts["evicted_memory"] += 1
            victim.evict()
            return True
        if self.writing:
            self.counts["evicted_memory"] += 1
            next(iter(self.writing)).abandon_response()
            return True
        return False

    def _least_valuable_reader(self) -> ClientConnection | None:
        incomplete = [c for c in self.reading if c not in self.idle and not c.evicted]
        strangers = [c for c in incomplete if not c.answered]
        if strangers:
            return max(strangers, key=lambda c: c.memory.size)
        idle = [c for c in self.idle if not c.evicted]
        for answered in (False, True):
            for connection in idle:
                if connection.answered is answered and not connection.has_unread_bytes():
                    return connection
        return max(incomplete, key=lambda c: c.memory.size, default=None)

    def close_idle_clients(self) -> None:
        """Close idle connections that had a response; one whose next request has arrived serves it first."""
        for connection in [c for c in self.idle if c.answered]:
            connection.stop_waiting()

    def stop(self, server: StreamServer) -> None:
        """Stop accepting connections, after serving what has arrived already.

        Open connections read once more without waiting, so that idle ones make room. Then the accept
        queue is emptied, since closing the listener would reset the connections in it; they start with
        `no_wait` set. Yields only while the pool `clients` is full.
        """
        self.stopping = self.no_wait = True
        if server.closed:
            return
        for connection in list(self.reading):
            connection.stop_waiting()
        server.stop_accepting()
        while True:
            try:
                accepted = server.do_read()
            except ConnectionAbortedError:
                continue  # the client disconnected while queued
            except OSError as error:  # out of file descriptors: closing the listener resets the rest
                self.log("front.queue_left", reason=str(error))
                break
            if accepted is None:
                break
            server.do_handle(*accepted)
        server.close()
