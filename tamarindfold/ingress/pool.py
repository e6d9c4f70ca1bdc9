"""Connections to one server each: kept while idle, dropped as soon as the other side is done with them.

A connection belongs to the process that it was made to (`Peers.place`), never to a number or an address
alone: it is looked at again whenever it changes hands, since the list may have changed meanwhile.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket

from tamarindfold.http1.responses import ResponseReader
from tamarindfold.ingress.arrival import stamp


class NoRoom(ConnectionRefusedError):
    """The gateway itself may hold no further connection."""


@dataclass(slots=True)
class Connection:
    """One connection and what reads its answers."""

    sock: socket.socket
    reader: ResponseReader
    backend: int
    place: object = None  # the process at its other end, as the list named it
    idle_until_ms: float = 0.0
    used: bool = False

    def quiet(self) -> bool:
        """Nothing has come and the other side has not closed: looked up on the socket, no waiting."""
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # closed, or bytes that nobody asked for


class Pool:
    """All connections of the gateway to its servers, by server, within bounds."""

    def __init__(
        self,
        idle_ms: float,
        idle_per_server: int,
        connections_per_server: int,
        connect_timeout_ms: float,
        source_address: str,
        answer_bytes: int,
        clock: Callable[[], float],
        connections: int = sys.maxsize,
    ) -> None:
        self.idle_ms, self.idle_per_server, self.most = idle_ms, idle_per_server, connections_per_server
        self.connect_s, self.answer_bytes, self.clock = connect_timeout_ms / 1000, answer_bytes, clock
        self.most_in_all, self.held = connections, 0
        self.source = (source_address, 0) if source_address else None
        self.idle: dict[int, list[Connection]] = {}
        self.open: dict[int, int] = {}  # connections by server, idle ones among them
        self.broke_at = -math.inf  # when a kept connection last turned out to be of no use
        self.counts = dict.fromkeys(("opened", "reused", "found_closed", "at_limit"), 0)

    def take(self, backend: int) -> Connection | None:
        """An idle connection that is still good, the one used last first."""
        idle = self.idle.get(backend)
        while idle:
            connection = idle.pop()
            if self.clock() < connection.idle_until_ms and connection.quiet():
                self.counts["reused"] += 1
                return connection
            self.counts["found_closed"] += 1
            self.broke_at = self.clock()
            self.close(connection)
        return None

    def connect(self, backend: int, address: tuple[str, int], within_s: float) -> Connection:
        """A new connection; OSError where it can't be had in time or the server has its full number."""
        if self.open.get(backend, 0) >= self.most and not self._drop_idle(backend):
            self.counts["at_limit"] += 1
            raise NoRoom("at the limit of connections to this server")
        if self.held >= self.most_in_all and not self._drop_idle(self._most_idle()):
            self.counts["at_limit"] += 1
            raise NoRoom("at the limit of connections to all servers")
        self.held += 1
        self.open[backend] = self.open.get(backend, 0) + 1
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(max(0.001, min(self.connect_s, within_s)))
            if self.source is not None:
                sock.bind(self.source)
            sock.connect(address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stamp(sock)
            sock.settimeout(None)
        except BaseException:
            sock.close()
            self._closed(backend)
            raise
        self.counts["opened"] += 1
        return Connection(sock, ResponseReader(self.answer_bytes), backend)

    def give_back(self, connection: Connection) -> None:
        """Keep a connection whose answer was read to its end; close it where it may not be kept."""
        reader = connection.reader
        idle = self.idle.setdefault(connection.backend, [])
        if not reader.reusable or reader.excess or len(idle) >= self.idle_per_server:
            return self.close(connection)
        stays_ms = self.idle_ms
        if (value := reader.get(b"keep-alive")) is not None:  # the server says how long: leave before that
            for part in value.split(b","):
                name, _, seconds = part.strip().partition(b"=")
                if name == b"timeout" and seconds.isdigit():
                    stays_ms = min(stays_ms, int(seconds) * 1000 / 2)
        connection.idle_until_ms = self.clock() + stays_ms
        connection.used = True
        idle.append(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection for good."""
        connection.sock.close()
        self._closed(connection.backend)

    def tidy(self, known: Callable[[int], bool]) -> None:
        """Close what was idle too long or leads to a server that left the list."""
        now = self.clock()
        for backend, idle in list(self.idle.items()):
            stays = [c for c in idle if known(backend) and now < c.idle_until_ms and c.quiet()]
            for connection in idle:
                if connection not in stays:
                    self.close(connection)
            self.idle[backend] = stays
            if not stays:
                del self.idle[backend]

    def close_idle(self) -> None:
        """Close all idle connections."""
        self.tidy(lambda _: False)

    def _drop_idle(self, backend: int) -> bool:
        if not (idle := self.idle.get(backend)):
            return False
        self.close(idle.pop(0))
        return True

    def _most_idle(self) -> int:
        """The server with the most idle connections: it misses one the least."""
        return max(self.idle, key=lambda backend: len(self.idle[backend]), default=-1)

    def drop(self, backend: int) -> None:
        """Close the idle connections to a server that is no longer the one they were opened to."""
        while self._drop_idle(backend):
            pass
        self.idle.pop(backend, None)

    def _closed(self, backend: int) -> None:
        self.held -= 1
        left = self.open.get(backend, 0) - 1
        if left > 0:
            self.open[backend] = left
        else:
            self.open.pop(backend, None)
