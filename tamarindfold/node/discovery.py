"""Follows discovery by a watch: noticed when it falls silent, replaced, moved to another address."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from tamarindfold.ds.backoff import Backoff
from tamarindfold.links.link import Link
from tamarindfold.platform import names
from tamarindfold.platform.registry import WatchReader

CONNECT_S = 1.0
FIRST_S = 1.5  # the agent answers at once, unless it is down
SILENT_S = 2.8  # a sign of life comes every 2 s; news counts as told after 6 s (4 s after SIGHUP)
LEAST_PAUSE_S, MOST_PAUSE_S = 0.05, 0.5


class Watch:
    """One greenlet. take: is given each line; ValueError from it asks for the whole list anew."""

    def __init__(self, address: tuple[str, int], generation: Callable[[], int], take: Callable[[bytes], None],
                 log: Callable[..., None]) -> None:
        self.generation, self.take, self.log = generation, take, log
        self.link = Link(address, CONNECT_S, Backoff(LEAST_PAUSE_S, MOST_PAUSE_S))
        self.counts = dict.fromkeys(("watches", "lines", "lost"), 0)
        self._whole = False  # the list must be told anew
        self.heard = Event()  # set from the first line on: what was known before it may be out of date
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to follow."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def move(self, address: tuple[str, int]) -> None:
        """Follow another agent at once."""
        self.link.move(address)

    def _run(self) -> None:
        self.link.keep(self._read, self._lost)

    def _lost(self, reason: Exception | None) -> None:
        if isinstance(reason, ValueError):
            self._whole = True
        self.counts["lost"] += 1
        self.log("fleet.watch_lost", reason=str(reason or "ended"), generation=self.generation())

    def _read(self, sock: socket.socket) -> None:
        host = "{}:{}".format(*self.link.address).encode()
        since = 0 if self._whole else self.generation()
        sock.sendall(b"GET %s?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\n\r\n" % (names.INSTANCES, since, host))
        self.counts["watches"] += 1
        reader = WatchReader()
        sock.settimeout(FIRST_S)
        while not reader.ended:
            data = sock.recv(65536)
            if not data:
                return
            for line in reader.feed(data):
                self.take(line)
                self.counts["lines"] += 1
                self._whole = False
                self.heard.set()
                self.link.backoff.well()
                sock.settimeout(SILENT_S)
