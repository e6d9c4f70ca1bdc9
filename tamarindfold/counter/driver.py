"""One connection to each part of the counter; carries out calls and hands back their answers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
import hiredis
from gevent import socket
from gevent.event import Event

from tamarindfold.counter.pipeline import Dialect, Pipeline, part_of
from tamarindfold.ds.backoff import Backoff
from tamarindfold.interface import Count, CountAnswered
from tamarindfold.links.link import Link

CONNECT_S = 0.5
MOST_PAUSE_S = 0.5  # between two tries to connect


class _Part:
    """One part: a greenlet that connects and reads, one that writes, one that watches the time."""

    def __init__(
        self,
        address: tuple[str, int],
        pipeline: Pipeline,
        reconnect_ms: float,
        clock: Callable[[], float],
        tell: Callable[[CountAnswered], None],
        log: Callable[..., None],
        keep_ms: float,
    ) -> None:
        self.pipeline, self.written_at, self.keep_s = pipeline, 0.0, keep_ms / 1000
        self.link = Link(address, CONNECT_S, Backoff(reconnect_ms / 1000, MOST_PAUSE_S))
        self.clock, self.tell, self.log = clock, tell, log
        self.out: list[bytes] = []
        self.to_write, self.to_watch = Event(), Event()
        chores = (self._read, self._write, self._watch, *([self._keep] if keep_ms else []))
        self.greenlets = [gevent.spawn(f) for f in chores]

    def call(self, count: Count) -> None:
        made = self.pipeline.call(self.clock(), count)
        if isinstance(made, CountAnswered):
            self.tell(made)
            return
        self._send(made)
        self.to_watch.set()

    def _send(self, data: bytes) -> None:
        self.out.append(data)
        self.written_at = self.clock()
        self.to_write.set()

    def _lost(self, reason: Exception | None) -> None:
        """What was out may have been added."""
        if self.pipeline.connected:
            self.log("counter.lost", part=self.link.address, reason=str(reason or "closed"))
        self.out.clear()
        for answer in self.pipeline.lost(self.clock()):
            self.tell(answer)

    def _read(self) -> None:
        self.link.keep(self._follow, self._lost)

    def _follow(self, sock: socket.socket) -> None:
        """Hand on replies until the connection ends."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
        reader = hiredis.Reader()
        self.pipeline.connected, self.written_at = True, self.clock()
        self.log("counter.connected", part=self.link.address)
        while data := sock.recv(65536):
            reader.feed(data)
            while (value := self._value(reader)) is not False:
                for answer in self.pipeline.replies(self.clock(), (value,)):
                    self.tell(answer)
                if self.pipeline.spoilt:
                    raise ValueError("a reply that makes no sense")
            self.link.backoff.well()

    @staticmethod
    def _value(reader: Any) -> Any:
        """The next reply, False where none is whole yet; ValueError where the bytes are no reply."""
        try:
            return reader.gets()
        except hiredis.ProtocolError as error:
            raise ValueError(str(error)) from None

    def _keep(self) -> None:
        """Guards against idle closes, which the next call would pay for."""
        while True:
            gevent.sleep(self.keep_s / 2)
            if self.link.sock is not None and self.clock() - self.written_at >= self.keep_s * 1000:
                self._send(self.pipeline.ping(self.clock()))

    def _write(self) -> None:
        while True:
            self.to_write.wait()
            self.to_write.clear()
            data, self.out[:] = b"".join(self.out), []
            if self.link.sock is not None and data:
                with suppress(OSError):  # the reader sees the same end and tells of it
                    self.link.sock.sendall(data)

    def _watch(self) -> None:
        while True:
            due = self.pipeline.next_due()
            if due is None:
                self.to_watch.wait()
                self.to_watch.clear()
                continue
            gevent.sleep(max(0.0, due - self.clock()) / 1000)
            now = self.clock()
            for answer in self.pipeline.due(now):
                self.tell(answer)
            if self.pipeline.stuck(now):
                self.link.cut()  # the reader takes it from there


class Counter:
    """All parts of the shared counter."""

    def __init__(
        self,
        addresses: list[tuple[str, int]],
        timeout_ms: float,
        most_pending: int,
        dialect: Dialect,
        reconnect_ms: float,
        clock: Callable[[], float],
        tell: Callable[[CountAnswered], None],
        log: Callable[..., None],
        keep_ms: float = 0.0,
    ) -> None:
        """keep_ms: a connection idle so long is used, so that it stays open; 0: it is left alone."""
        self.parts = [
            _Part(
                address, Pipeline(timeout_ms, most_pending, dialect), reconnect_ms, clock, tell, log, keep_ms
            )
            for address in addresses
        ]

    def move(self, addresses: list[tuple[str, int]]) -> None:
        """The same parts are reached elsewhere from now on."""
        for part, address in zip(self.parts, addresses, strict=True):
            part.link.move(address)

    def call(self, count: Count) -> None:
        """Make one call; its one answer is told later, or at once where it can't be made."""
        self.parts[part_of(count.name, len(self.parts))].call(count)

    def retire(self) -> None:
        """Another counter takes this one's place: what is out may have been added; nobody waits for it."""
        for part in self.parts:
            for answer in part.pipeline.lost(part.clock()):
                part.tell(answer)
        self.stop()

    def stop(self) -> None:
        """Close all connections."""
        for part in self.parts:
            gevent.killall(part.greenlets)
