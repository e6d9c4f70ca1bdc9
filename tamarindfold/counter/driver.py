"""Connections to the counter: one to each of its parts; sends calls and reports their answers."""

from __future__ import annotations

import re
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
import hiredis
from gevent import socket
from gevent.event import Event

from tamarindfold.counter.pipeline import Dialect, Pipeline, part_index
from tamarindfold.ds.backoff import Backoff
from tamarindfold.interface import Count, CountAnswered
from tamarindfold.links.link import Link

CONNECT_TIMEOUT_S = 0.5
MAX_RECONNECT_PAUSE_S = 0.5
MAX_REPLY_BYTES = 65_536
# Arrays, maps, sets, pushes and attributes: a few bytes of them make the parser allocate any amount. Their
# types stand at the start of a line; no line of a total or of a known error begins with one.
_AGGREGATE = re.compile(rb"(?:\A|\n)[*%~>|]")


class _PartConnection:
    """The connection to one part, with separate greenlets to read, to write and to check time-outs."""

    def __init__(
        self,
        address: tuple[str, int],
        pipeline: Pipeline,
        reconnect_ms: float,
        clock: Callable[[], float],
        report: Callable[[CountAnswered], None],
        log: Callable[..., None],
        keepalive_ms: float,
    ) -> None:
        self.pipeline, self.last_write_ms, self.keepalive_s = pipeline, 0.0, keepalive_ms / 1000
        self.link = Link(address, CONNECT_TIMEOUT_S, Backoff(reconnect_ms / 1000, MAX_RECONNECT_PAUSE_S))
        self.clock, self.report, self.log = clock, report, log
        self.write_buffer: list[bytes] = []
        self.write_requested, self.call_sent = Event(), Event()
        loops = (self._read, self._write, self._watch, *([self._keep_alive] if keepalive_ms else []))
        self.greenlets = [gevent.spawn(loop) for loop in loops]

    def call(self, count: Count) -> None:
        result = self.pipeline.call(self.clock(), count)
        if isinstance(result, CountAnswered):
            self.report(result)
            return
        self._send(result)
        self.call_sent.set()

    def _send(self, data: bytes) -> None:
        self.write_buffer.append(data)
        self.last_write_ms = self.clock()
        self.write_requested.set()

    def _lost(self, reason: Exception | None) -> None:
        """Fail the outstanding calls; their amounts may have been added."""
        if self.pipeline.connected:
            self.log("counter.lost", part=self.link.address, reason=str(reason or "closed"))
        self.write_buffer.clear()
        for answer in self.pipeline.lost(self.clock()):
            self.report(answer)

    def _read(self) -> None:
        self.link.maintain(self._read_replies, self._lost)

    def _read_replies(self, sock: socket.socket) -> None:
        """Report the answers received on one connection until it ends.

        It can't keep the event loop: a reply that answers no call, or does not end, costs the connection.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
        reader, incomplete_bytes = hiredis.Reader(), 0
        self.pipeline.connected, self.last_write_ms = True, self.clock()
        self.log("counter.connected", part=self.link.address)
        while data := sock.recv(65536):
            if _AGGREGATE.search(data):
                raise ValueError("counter: a reply is an aggregate, not a total")
            reader.feed(data)
            incomplete_bytes += len(data)
            while (value := self._next_reply(reader)) is not False:
                incomplete_bytes = 0
                for answer in self.pipeline.replies(self.clock(), (value,)):
                    self.report(answer)
                if self.pipeline.corrupted:
                    raise ValueError("counter: a reply is neither a finite number nor a known error")
            if incomplete_bytes > MAX_REPLY_BYTES:
                raise ValueError(f"counter: no reply is complete within {MAX_REPLY_BYTES} bytes")
            self.link.backoff.reset()

    @staticmethod
    def _next_reply(reader: Any) -> Any:
        """The next complete reply, False if there is none yet; ValueError if the bytes are not valid RESP."""
        try:
            return reader.gets()
        except hiredis.ProtocolError as error:
            raise ValueError(str(error)) from None

    def _keep_alive(self) -> None:
        """Ping an idle connection: if the counter closed it, the next call would fail."""
        while True:
            gevent.sleep(self.keepalive_s / 2)
            if self.link.sock is not None and self.clock() - self.last_write_ms >= self.keepalive_s * 1000:
                self._send(self.pipeline.ping(self.clock()))

    def _write(self) -> None:
        while True:
            self.write_requested.wait()
            self.write_requested.clear()
            data, self.write_buffer[:] = b"".join(self.write_buffer), []
            if self.link.sock is not None and data:
                with suppress(OSError):  # the reader sees the same error and reports the loss
                    self.link.sock.sendall(data)

    def _watch(self) -> None:
        """Time out calls, and disconnect when the oldest reply is overdue for too long."""
        while True:
            due_ms = self.pipeline.next_due()
            if due_ms is None:
                self.call_sent.wait()
                self.call_sent.clear()
                continue
            gevent.sleep(max(0.0, due_ms - self.clock()) / 1000)
            now = self.clock()
            for answer in self.pipeline.due(now):
                self.report(answer)
            if self.pipeline.stuck(now):
                self.link.disconnect()  # the reader sees the end and reconnects


class Counter:
    """The shared counter service; its names are spread by hash over its parts (shards)."""

    def __init__(
        self,
        addresses: list[tuple[str, int]],
        timeout_ms: float,
        max_pending: int,
        dialect: Dialect,
        reconnect_ms: float,
        clock: Callable[[], float],
        report: Callable[[CountAnswered], None],
        log: Callable[..., None],
        keepalive_ms: float = 0.0,
    ) -> None:
        """max_pending: of each part; keepalive_ms: idle time after which a connection is pinged, 0: never."""
        self.parts = [
            _PartConnection(
                address,
                Pipeline(timeout_ms, max_pending, dialect),
                reconnect_ms,
                clock,
                report,
                log,
                keepalive_ms,
            )
            for address in addresses
        ]

    def change_addresses(self, addresses: list[tuple[str, int]]) -> None:
        """Reach the same parts at other addresses from now on."""
        for part, address in zip(self.parts, addresses, strict=True):
            part.link.change_address(address)

    def call(self, count: Count) -> None:
        """Make one call; its single answer is reported later, or at once if the call can't be made."""
        self.parts[part_index(count.name, len(self.parts))].call(count)

    def retire(self) -> None:
        """Stop because another counter replaces this one.

        Outstanding calls are reported as failed at once; their amounts may have been added.
        """
        for part in self.parts:
            for answer in part.pipeline.lost(part.clock()):
                part.report(answer)
        self.stop()

    def stop(self) -> None:
        """Close all connections."""
        for part in self.parts:
            gevent.killall(part.greenlets)
