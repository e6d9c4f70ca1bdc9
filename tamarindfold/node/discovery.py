"""Follows discovery by a watch: noticed when it falls silent, replaced, moved to another address."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

from gevent import socket

from tamarindfold.ds.backoff import Backoff
from tamarindfold.links.follower import Follower
from tamarindfold.links.link import Link
from tamarindfold.platform import names
from tamarindfold.platform.registry import WatchReader

CONNECT_S = 1.0
FIRST_S = 1.5  # the agent answers at once, unless it is down
SILENT_S = 2.8  # a sign of life comes every 2 s; news counts as told after 6 s (4 s after SIGHUP)
LEAST_PAUSE_S, MOST_PAUSE_S = 0.05, 0.5  # between two watches
GRACE_PART = 0.5  # of the grace of drains: no pause is longer
LEAST_WAIT_S = 0.001  # what lies there is read even when the time is up


class Watch:
    """take: is given each line; ValueError from it asks for the whole list anew.

    What the agent gets when discovery returns counts as told at once, watch or no watch. So no pause between
    two watches, however long discovery is away, lasts longer than a part of the time in which a drain has to
    be heeded; the rest is for the connection and the line.
    """

    def __init__(
        self,
        address: tuple[str, int],
        generation: Callable[[], int],
        take: Callable[[bytes], None],
        log: Callable[..., None],
        drain_grace_ms: float,
    ) -> None:
        self.generation, self.take, self.log = generation, take, log
        pauses = Backoff(LEAST_PAUSE_S, min(MOST_PAUSE_S, drain_grace_ms * GRACE_PART / 1000))
        self.follower = Follower(Link(address, CONNECT_S, pauses), self._read, self._lost)
        self.counts = self.follower.counts
        self.counts |= dict.fromkeys(("watches", "lines"), 0)
        self._whole = False  # the list must be told anew

    def start(self) -> None:
        """Begin to follow."""
        self.follower.start()

    def stop(self) -> None:
        """End it."""
        self.follower.stop()

    def move(self, address: tuple[str, int]) -> None:
        """Follow another agent at once."""
        self.follower.link.move(address)

    def _lost(self, reason: Exception | None) -> None:
        if isinstance(reason, ValueError):
            self._whole = True
        self.log("fleet.watch_lost", reason=str(reason or "ended"), generation=self.generation())

    def _read(self, sock: socket.socket) -> None:
        host = "{}:{}".format(*self.follower.link.address).encode()
        since = 0 if self._whole else self.generation()
        sock.sendall(b"GET %s?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\n\r\n" % (names.INSTANCES, since, host))
        self.counts["watches"] += 1
        reader = WatchReader()
        began, signs = monotonic(), 0
        until = began + FIRST_S
        while not reader.ended:
            sock.settimeout(max(LEAST_WAIT_S, until - monotonic()))
            data = sock.recv(65536)
            if not data:
                return
            for line in reader.feed(data):
                self.take(line)
                self.counts["lines"] += 1
                self._whole = False
                self.follower.well()
            if reader.signs > signs:
                began, signs = monotonic(), reader.signs
            until = began + SILENT_S  # bytes that come to nothing are silence, too
            if monotonic() >= until:
                raise TimeoutError("bytes, but no sign of life")
