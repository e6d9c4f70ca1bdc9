"""A pool of keep-alive connections to the servers.

A connection belongs to the server process that it was opened to (`BackendAdapter.process_identity`), not to a
server number or an address. The identity is compared each time the connection is handed over, since the
server list may have changed.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

from gevent import socket

from tamarindfold.http1.responses import ResponseReader
from tamarindfold.ingress.arrival import enable_arrival_timestamps
from tamarindfold.links.turns import Turn


class ConnectionLimitReached(ConnectionRefusedError):
    """The gateway is at its own limit of connections."""


@dataclass(slots=True)
class Connection:
    """A connection to a server and the reader of its responses."""

    sock: socket.socket
    reader: ResponseReader
    backend: int
    process_identity: object = None  # of the server process at its other end
    idle_until_ms: float = 0.0
    used: bool = False  # it was returned to the pool at least once
    turn: Turn = field(default_factory=Turn)  # of reading responses

    def is_quiet(self) -> bool:
        """Whether the connection is open and has no unread bytes; checks the socket without waiting."""
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # closed, or unsolicited bytes


class Pool:
    """All connections of the gateway to its servers, with limits for each server and in total."""

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
        self.idle_ms, self.idle_per_server = idle_ms, idle_per_server
        self.max_per_server = connections_per_server
        self.connect_timeout_ms, self.answer_bytes, self.clock = connect_timeout_ms, answer_bytes, clock
        self.max_total, self.total_open = connections, 0
        self.source = (source_address, 0) if source_address else None
        self.idle: dict[int, list[Connection]] = {}
        self.open: dict[int, int] = {}  # number of connections by server, including idle ones
        self.last_broken_ms = -math.inf  # when an idle or reused connection was last found broken
        self.counts = dict.fromkeys(("opened", "reused", "found_closed", "at_limit"), 0)

    def acquire_idle(self, backend: int) -> Connection | None:
        """The most recently used idle connection that is still usable."""
        idle = self.idle.get(backend)
        while idle:
            connection = idle.pop()
            if self.clock() < connection.idle_until_ms and connection.is_quiet():
                self.counts["reused"] += 1
                return connection
            self.counts["found_closed"] += 1
            self.last_broken_ms = self.clock()
            self.close(connection)
        return None

    def connect(self, backend: int, address: tuple[str, int], timeout_s: float) -> Connection:
        """Open a connection; OSError if that fails or times out, ConnectionLimitReached at a limit.

        At a limit an idle connection is closed to make room, if there is one.
        """
        if self.open.get(backend, 0) >= self.max_per_server and not self._close_oldest_idle(backend):
            self.counts["at_limit"] += 1
            raise ConnectionLimitReached("at the limit of connections to this server")
        if self.total_open >= self.max_total and not self._close_oldest_idle(self._most_idle()):
            self.counts["at_limit"] += 1
            raise ConnectionLimitReached("at the limit of connections to all servers")
        self.total_open += 1
        self.open[backend] = self.open.get(backend, 0) + 1
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(max(0.001, min(self.connect_timeout_ms / 1000, timeout_s)))
            if self.source is not None:
                sock.bind(self.source)
            sock.connect(address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_arrival_timestamps(sock)
            sock.settimeout(None)
        except BaseException:
            sock.close()
            self._closed(backend)
            raise
        self.counts["opened"] += 1
        return Connection(sock, ResponseReader(self.answer_bytes), backend)

    def release(self, connection: Connection) -> None:
        """Keep a connection after a completely read response, or close it if it can't be kept."""
        reader = connection.reader
        idle = self.idle.setdefault(connection.backend, [])
        if not reader.reusable or reader.excess or len(idle) >= self.idle_per_server:
            return self.close(connection)
        keep_ms = self.idle_ms
        if (value := reader.get(b"keep-alive")) is not None:  # close well before the server does
            for part in value.split(b","):
                name, _, seconds = part.strip().partition(b"=")
                if name == b"timeout" and seconds.isdigit():
                    keep_ms = min(keep_ms, int(seconds) * 1000 / 2)
        connection.idle_until_ms = self.clock() + keep_ms
        connection.used = True
        idle.append(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection."""
        connection.sock.close()
        self._closed(connection.backend)

    def prune_idle(self, known: Callable[[int], bool]) -> None:
        """Close idle connections that timed out, were closed by the server, or lead to an unknown server."""
        now = self.clock()
        for backend, idle in list(self.idle.items()):
            kept = [c for c in idle if known(backend) and now < c.idle_until_ms and c.is_quiet()]
            for connection in idle:
                if connection not in kept:
                    self.close(connection)
            self.idle[backend] = kept
            if not kept:
                del self.idle[backend]

    def close_idle(self) -> None:
        """Close all idle connections."""
        self.prune_idle(lambda _: False)

    def _close_oldest_idle(self, backend: int) -> bool:
        """Close the longest idle connection to a server; False if there is none."""
        if not (idle := self.idle.get(backend)):
            return False
        self.close(idle.pop(0))
        return True

    def _most_idle(self) -> int:
        """The server with the most idle connections, where losing one matters least; -1 if none is idle."""
        return max(self.idle, key=lambda backend: len(self.idle[backend]), default=-1)

    def drop_idle(self, backend: int) -> None:
        """Close the idle connections to a server whose process or address was replaced."""
        while self._close_oldest_idle(backend):
            pass
        self.idle.pop(backend, None)

    def _closed(self, backend: int) -> None:
        self.total_open -= 1
        left = self.open.get(backend, 0) - 1
        if left > 0:
            self.open[backend] = left
        else:
            self.open.pop(backend, None)
