"""A link between two processes with injectable faults: a TCP relay that listens on an address of its own.

Faults, each for one direction or both:

- `cut`: nothing passes, and neither side is notified. Bytes sent meanwhile are lost, so a connection that
  lost some ends when the cut does.
- `stall`: nothing passes, and everything is delivered later.
- `delay`, `throttle`: bytes pass later, or at a limited rate.
- `reset`: all current connections are reset.
- `half_open`: the far side of all current connections is reset, and the near side is not notified.
- `refuse`: no new connections.

Several faults may be active at once; each ends after its time or with `heal`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Literal

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from tamarindfold.config.model import NonNegativeMs, PositiveInt, Section
from tamarindfold.standins.base import reset

KINDS = ("cut", "stall", "delay", "throttle", "reset", "half_open", "refuse")
POLL_S = 0.002
CHUNK_BYTES = 65_536
MAX_BUFFERED_BYTES = 4 << 20  # in transit in one direction; beyond that the relay stops reading
Way = Literal["both", "there", "back"]


class LinkFault(Section, frozen=True):
    """A fault of a link.

    way: there is from the connecting side (near) to the listening side (far), back the opposite. for_ms: 0
    means until it is healed.
    """

    kind: Literal["cut", "stall", "delay", "throttle", "reset", "half_open", "refuse"]
    way: Way = "both"
    for_ms: NonNegativeMs = 0
    delay_ms: NonNegativeMs = 0
    jitter_ms: NonNegativeMs = 0
    bytes_per_s: PositiveInt = 1_000_000


class Relay:
    """One link. clock: in milliseconds. record: called for each fault, as Ledger.record."""

    def __init__(
        self,
        name: str,
        target: tuple[str, int],
        clock: Callable[[], float],
        seed: int,
        record: Callable[..., None],
        host: str = "127.0.0.1",
        source_address: str = "",
    ) -> None:
        self.name, self.target, self.clock, self.record = name, target, clock, record
        self.source = (source_address, 0) if source_address else None
        self.random = Random(seed)
        self.faults: list[tuple[LinkFault, float]] = []
        self.connections: set[_Connection] = set()
        self.changed = Event()
        self.server = StreamServer((host, 0), self._serve, backlog=256)
        self.accepted = self.refused = 0
        self.server.start()

    @property
    def address(self) -> str:
        """The address that the near side connects to."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.server.close()
        for connection in list(self.connections):
            connection.end()

    # ---- faults

    def inject(self, fault: LinkFault) -> None:
        """Start a fault."""
        now = self.clock()
        until = now + fault.for_ms if fault.for_ms else math.inf
        self.record(now, "link", link=self.name, kind=fault.kind, way=fault.way, for_ms=fault.for_ms)
        if fault.kind == "reset":
            for connection in list(self.connections):
                connection.end(True)
            return
        if fault.kind == "half_open":
            for connection in list(self.connections):
                connection.make_half_open()
            return
        self.faults.append((fault, until))
        self._signal()

    def heal(self) -> None:
        """End all faults."""
        self.record(self.clock(), "link", link=self.name, kind="heal", way="both", for_ms=0)
        self.faults.clear()
        self._signal()

    def _signal(self) -> None:
        self.changed.set()
        self.changed.clear()

    def active(self, kind: str, way: str) -> LinkFault | None:
        """The current fault of this kind in this direction, if any."""
        now = self.clock()
        self.faults = [(fault, until) for fault, until in self.faults if now < until]
        return next((f for f, _ in self.faults if f.kind == kind and f.way in (way, "both")), None)

    # ---- connections

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        if self.active("refuse", "there"):
            self.refused += 1
            reset(sock)
            return
        self.accepted += 1
        connection = _Connection(self, sock)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)


class _Connection:
    """An accepted connection (near) and the relay's own connection to the target (far)."""

    def __init__(self, relay: Relay, near: socket.socket) -> None:
        self.relay, self.near = relay, near
        self.far: socket.socket | None = None
        self.lost_bytes = False  # the connection is reset once bytes would pass again
        self.half_open = False
        self.done = Event()

    def run(self) -> None:
        relay = self.relay
        while relay.active("cut", "there") or relay.active("stall", "there"):
            gevent.sleep(POLL_S)  # a connection made meanwhile does not reach the far side
            if self.done.is_set():
                return
        try:
            self.far = socket.create_connection(relay.target, 1.0, relay.source)
        except OSError:
            reset(self.near)
            return
        for sock in (self.near, self.far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(None)
        forwarders = [
            gevent.spawn(self._forward, self.near, self.far, "there"),
            gevent.spawn(self._forward, self.far, self.near, "back"),
        ]
        try:
            self.done.wait()
        finally:
            gevent.killall(forwarders)
            for sock in (self.near, self.far):
                sock.close()

    def end(self, with_reset: bool = False) -> None:
        """End the connection on both sides."""
        if with_reset:
            for sock in (self.near, self.far):
                if sock is not None:
                    reset(sock)
        self.done.set()

    def make_half_open(self) -> None:
        """Reset the far side without notifying the near one; bytes that the near side sends are dropped."""
        self.half_open = True
        if self.far is not None:
            reset(self.far)

    def _forward(self, source: socket.socket, sink: socket.socket, way: str) -> None:
        """Forward bytes in one direction, as far as the current faults allow."""
        buffered: deque[tuple[float, bytes]] = deque()
        more = Event()
        writer = gevent.spawn(self._write, sink, way, buffered, more)
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.relay.active("cut", way) or self.half_open:
                    self.lost_bytes = True
                    continue
                fault = self.relay.active("delay", way)
                wait_ms = fault.delay_ms + self.relay.random.random() * fault.jitter_ms if fault else 0.0
                due = max(self.relay.clock() + wait_ms, buffered[-1][0] if buffered else 0.0)
                buffered.append((due, data))
                more.set()
                while sum(len(part) for _, part in buffered) > MAX_BUFFERED_BYTES:
                    gevent.sleep(POLL_S)
            while buffered and not self.done.is_set():
                gevent.sleep(POLL_S)
        except OSError:
            pass
        finally:
            writer.kill()
        if not self.half_open and not self.relay.active("cut", way):
            self.done.set()
        elif not self.half_open:  # during a cut the end of the connection is not passed on
            while self.relay.active("cut", way):
                gevent.sleep(POLL_S)
            self.done.set()

    def _write(
        self, sink: socket.socket, way: str, buffered: deque[tuple[float, bytes]], more: Event
    ) -> None:
        relay = self.relay
        while True:
            if not buffered:
                more.wait()
                more.clear()
                continue
            due, data = buffered[0]
            if (wait_ms := due - relay.clock()) > 0:
                gevent.sleep(wait_ms / 1000)
            while relay.active("stall", way):
                gevent.sleep(POLL_S)
            if relay.active("cut", way) or self.half_open:
                self.lost_bytes = True
                buffered.popleft()
                continue
            if self.lost_bytes:
                self.end(True)
                return
            if (fault := relay.active("throttle", way)) is not None:
                gevent.sleep(len(data) / fault.bytes_per_s)
            try:
                sink.sendall(data)
            except OSError:
                self.done.set()
                return
            buffered.popleft()
