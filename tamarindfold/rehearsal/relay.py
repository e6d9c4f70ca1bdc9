"""A link between two processes that can be spoilt: a listener on an address of its own that passes bytes on.

Faults, each for one way or both: `cut` (nothing passes, nobody is told; what was sent meanwhile is lost, so a
connection that sent something ends when the cut does), `stall` (nothing passes, all of it comes later),
`delay`, `throttle`, `reset` (every connection, once), `half_open` (the far side ends, the near one hears
nothing), `refuse` (no new connections). They add up, each ends by itself or with `heal`.
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

from tamarindfold.config.model import PositiveInt, NonNegativeMs, Section
from tamarindfold.standins.base import reset

KINDS = ("cut", "stall", "delay", "throttle", "reset", "half_open", "refuse")
LOOK_S = 0.002
CHUNK = 65_536
MOST_HELD = 4 << 20  # bytes on their way in one direction; beyond that the sender has to wait
Way = Literal["both", "there", "back"]


class LinkFault(Section, frozen=True):
    """What is wrong with a link; for_ms 0: until it heals. there: from who connects to who is reached."""

    kind: Literal["cut", "stall", "delay", "throttle", "reset", "half_open", "refuse"]
    way: Way = "both"
    for_ms: NonNegativeMs = 0
    delay_ms: NonNegativeMs = 0
    jitter_ms: NonNegativeMs = 0
    bytes_per_s: PositiveInt = 1_000_000


class Relay:
    """One link. clock: milliseconds; note: told of each fault with the time at which it began and ends."""

    def __init__(
        self,
        name: str,
        target: tuple[str, int],
        clock: Callable[[], float],
        seed: int,
        note: Callable[..., None],
        host: str = "127.0.0.1",
        source_address: str = "",
    ) -> None:
        self.name, self.target, self.clock, self.note = name, target, clock, note
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
        """Where the near side connects to."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def stop(self) -> None:
        """Close it all."""
        self.server.close()
        for connection in list(self.connections):
            connection.end()

    # ---- faults

    def spoil(self, fault: LinkFault) -> None:
        """Begin a fault."""
        now = self.clock()
        until = now + fault.for_ms if fault.for_ms else math.inf
        self.note(now, "link", link=self.name, kind=fault.kind, way=fault.way, for_ms=fault.for_ms)
        if fault.kind == "reset":
            for connection in list(self.connections):
                connection.end(True)
            return
        if fault.kind == "half_open":
            for connection in list(self.connections):
                connection.leave_open()
            return
        self.faults.append((fault, until))
        self._signal()

    def heal(self) -> None:
        """End all faults."""
        self.note(self.clock(), "link", link=self.name, kind="heal", way="both", for_ms=0)
        self.faults.clear()
        self._signal()

    def _signal(self) -> None:
        self.changed.set()
        self.changed.clear()

    def active(self, kind: str, way: str) -> LinkFault | None:
        """The fault of this kind that concerns this way now."""
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
    """One connection through a relay, and the other that it stands for."""

    def __init__(self, relay: Relay, near: socket.socket) -> None:
        self.relay, self.near = relay, near
        self.far: socket.socket | None = None
        self.holed = False  # something was lost of it: it can't go on once bytes pass again
        self.open_only = False
        self.done = Event()

    def run(self) -> None:
        relay = self.relay
        while relay.active("cut", "there") or relay.active("stall", "there"):
            gevent.sleep(LOOK_S)  # the far side never hears of a connection that is made meanwhile
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
        pumps = [
            gevent.spawn(self._pump, self.near, self.far, "there"),
            gevent.spawn(self._pump, self.far, self.near, "back"),
        ]
        try:
            self.done.wait()
        finally:
            gevent.killall(pumps)
            for sock in (self.near, self.far):
                sock.close()

    def end(self, with_reset: bool = False) -> None:
        """End it for both sides."""
        if with_reset:
            for sock in (self.near, self.far):
                if sock is not None:
                    reset(sock)
        self.done.set()

    def leave_open(self) -> None:
        """The far side ends; the near one is told nothing, and what it sends goes nowhere."""
        self.open_only = True
        if self.far is not None:
            reset(self.far)

    def _pump(self, source: socket.socket, sink: socket.socket, way: str) -> None:
        """Pass on what comes one way, as the faults of the moment allow."""
        held: deque[tuple[float, bytes]] = deque()
        more = Event()
        writer = gevent.spawn(self._write, sink, way, held, more)
        try:
            while data := source.recv(CHUNK):
                if self.relay.active("cut", way) or self.open_only:
                    self.holed = True
                    continue
                fault = self.relay.active("delay", way)
                wait_ms = fault.delay_ms + self.relay.random.random() * fault.jitter_ms if fault else 0.0
                due = max(self.relay.clock() + wait_ms, held[-1][0] if held else 0.0)
                held.append((due, data))
                more.set()
                while sum(len(part) for _, part in held) > MOST_HELD:
                    gevent.sleep(LOOK_S)
            while held and not self.done.is_set():
                gevent.sleep(LOOK_S)
        except OSError:
            pass
        finally:
            writer.kill()
        if not self.open_only and not self.relay.active("cut", way):
            self.done.set()
        elif not self.open_only:  # the end is not told while nothing passes
            while self.relay.active("cut", way):
                gevent.sleep(LOOK_S)
            self.done.set()

    def _write(self, sink: socket.socket, way: str, held: deque[tuple[float, bytes]], more: Event) -> None:
        relay = self.relay
        while True:
            if not held:
                more.wait()
                more.clear()
                continue
            due, data = held[0]
            if (wait := due - relay.clock()) > 0:
                gevent.sleep(wait / 1000)
            while relay.active("stall", way):
                gevent.sleep(LOOK_S)
            if relay.active("cut", way) or self.open_only:
                self.holed = True
                held.popleft()
                continue
            if self.holed:
                self.end(True)
                return
            if (fault := relay.active("throttle", way)) is not None:
                gevent.sleep(len(data) / fault.bytes_per_s)
            try:
                sink.sendall(data)
            except OSError:
                self.done.set()
                return
            held.popleft()
