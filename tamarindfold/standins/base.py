"""Base of all stand-ins: listeners, and faults that are scheduled or injected by admin calls."""

from __future__ import annotations

import math
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer

from tamarindfold.http1 import write
from tamarindfold.http1.requests import Rejected, Request, RequestReader
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.standins.ledger import Ledger

MAX_HEADER_BYTES = 65_536
MAX_HEADERS = 200
MAX_BODY_BYTES = 16 << 20


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A fault to simulate.

    A scheduled fault begins at_ms after the start of the stand-in, an injected one immediately. It lasts
    for_ms, or until all faults are cleared if for_ms is 0.
    """

    kind: str
    at_ms: float = 0.0
    for_ms: float = 0.0
    part: float = 1.0  # probability that a request is affected
    cls: str = ""  # affects only requests of this class; empty: all classes
    factor: float = 1.0
    delay_ms: float = 0.0
    status: int = 500


class Standin:
    """A stand-in with a service port and an admin port."""

    fault_kinds: frozenset[str] = frozenset()  # the kinds of faults that this stand-in supports

    def __init__(
        self, seed: int, ledger: Ledger, faults: list[Fault], host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.clock = SteadyClock().now
        self.random, self.ledger, self.host = Random(seed), ledger, host
        self.active: list[tuple[Fault, float]] = []  # each with the time at which it ends
        for fault in faults:
            self.check_fault(fault)
        self.scheduled = faults
        self.sockets: set[socket.socket] = set()
        self.server = StreamServer((host, port), self._serve)
        self.admin = StreamServer((host, 0), self._serve_admin)
        self.greenlets: list[gevent.Greenlet] = []

    # ---- start and stop

    def start(self) -> None:
        """Open both ports and schedule the configured faults."""
        self.server.start()
        self.admin.start()
        self.ledger.record(self.clock(), "up", **self.startup_fields())
        self.greenlets += [gevent.spawn_later(f.at_ms / 1000, self.inject, f) for f in self.scheduled]

    def startup_fields(self) -> dict[str, Any]:
        """The fields of the ledger's first entry."""
        return {"address": self.address}

    def stop(self) -> None:
        """Stop abruptly, as a killed process would: all connections are reset."""
        gevent.killall(self.greenlets)
        self.server.close()
        self.admin.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset every connection to the service port."""
        for sock in list(self.sockets):
            reset(sock)
        self.sockets.clear()

    @property
    def address(self) -> str:
        """Host and port of the service."""
        return f"{self.host}:{self.server.server_port}"

    @property
    def admin_address(self) -> str:
        """Host and port for admin calls."""
        return f"{self.host}:{self.admin.server_port}"

    # ---- faults

    def check_fault(self, fault: Fault) -> None:
        """Raise ValueError if this stand-in does not support the fault."""
        if fault.kind not in self.fault_kinds:
            raise ValueError(f"fault {fault.kind!r} is not one of {', '.join(sorted(self.fault_kinds))}")

    def inject(self, fault: Fault) -> None:
        """Begin a fault now."""
        self.check_fault(fault)
        now = self.clock()
        self.ledger.record(now, "fault", kind=fault.kind, for_ms=fault.for_ms)
        self.active.append((fault, now + fault.for_ms if fault.for_ms else math.inf))
        self.on_fault(fault)

    def on_fault(self, fault: Fault) -> None:
        """Hook for faults that take effect as soon as they begin."""

    def clear(self) -> None:
        """End all faults."""
        self.active.clear()

    def active_fault(self, kind: str, cls: str = "") -> Fault | None:
        """The fault of this kind that affects the current request of this class, drawn by its probability."""
        if not self.active:
            return None
        now = self.clock()
        self.active = [(f, until) for f, until in self.active if now < until]
        for fault, _ in self.active:
            if fault.kind == kind and (not fault.cls or fault.cls == cls):
                return fault if fault.part >= 1 or self.random.random() < fault.part else None
        return None

    def fault_end(self, kind: str) -> float:
        """The time at which the last active fault of this kind ends; 0 if there is none."""
        return max((until for fault, until in self.active if fault.kind == kind), default=0.0)

    # ---- connections

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self.sockets.add(sock)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.serve(sock, peer)
        except (OSError, Rejected):
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Serve one connection to the service port."""
        raise NotImplementedError

    def _serve_admin(self, sock: socket.socket, _peer: tuple[str, int]) -> None:
        try:
            serve_http(sock, self.clock, lambda sock, request, _: sock.sendall(self._admin_response(request)))
        except (OSError, Rejected):
            pass
        finally:
            sock.close()

    def _admin_response(self, request: Request) -> bytes:
        try:
            body = msgspec.json.decode(request.body) if request.body else None
            status, answer = self.handle_admin(request.method, request.target.decode(), body)
        except (ValueError, msgspec.MsgspecError) as error:
            status, answer = 400, {"error": str(error)}
        return write.response(
            status, [(b"content-type", b"application/json")], msgspec.json.encode(answer), request.keep_alive
        )

    def handle_admin(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Handle an admin call and return status and body; ValueError if its body is invalid.

        POST /faults injects a fault, DELETE /faults ends all faults. Subclasses add their own calls.
        """
        if (method, path) == ("POST", "/faults"):
            self.inject(msgspec.convert(body, Fault))
            return 200, {}
        if (method, path) == ("DELETE", "/faults"):
            self.clear()
            return 200, {}
        return 404, {"error": "POST or DELETE /faults"}


def reset(sock: socket.socket) -> None:
    """Close a connection with a TCP reset instead of an orderly shutdown."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        sock.close()
    except OSError:
        pass


def serve_http(
    sock: socket.socket, clock: Callable[[], float], handle: Callable[[socket.socket, Request, float], None]
) -> None:
    """Call handle for each request, with the time of its first byte; handle writes the response."""
    reader = RequestReader(MAX_HEADER_BYTES, MAX_HEADERS, MAX_BODY_BYTES)
    first_byte_at = 0.0
    while True:
        while not reader.ready:
            data = sock.recv(65536)
            if not data:
                return
            if not reader.in_message:
                first_byte_at = clock()
            reader.feed(data)
        request = reader.ready.popleft()
        handle(sock, request, first_byte_at)
        if not request.keep_alive:
            return


def open_ledger(path: str) -> Ledger:
    """Open a ledger that writes to this file; with an empty path, one that keeps its entries in memory."""
    return Ledger(Path(path) if path else None)
