"""Follows a feed over TCP and keeps the last list on disk."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import gevent
from gevent import socket
from gevent.event import Event

from tamarindfold.ds.durable import replace
from tamarindfold.interface import FleetUpdate, ListKind
from tamarindfold.membership.feed import FleetList

LINE_BYTES = 4 << 20
CONNECT_S = 2.0


class FeedFollower:
    """One greenlet: connects, reads lines, tells each update, and begins anew after any fault."""

    def __init__(self, address: tuple[str, int], reconnect_ms: float, saved_at: Path | None,
                 tell: Callable[[FleetUpdate], None], log: Callable[..., None],
                 source_address: str = "") -> None:
        self.address, self.reconnect_s, self.saved_at = address, reconnect_ms / 1000, saved_at
        self.tell, self.log = tell, log
        self.source = (source_address, 0) if source_address else None
        self.fleet = FleetList()
        self.heard = Event()  # set from the feed's first line on: the saved list may be out of date
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Tell the saved list, if there is one, then follow the feed."""
        if self.saved_at is not None and self.saved_at.exists():
            try:
                self.tell(self.fleet.restore(self.saved_at.read_bytes()))
            except (OSError, ValueError) as error:
                self.log("fleet.saved_list_unusable", path=str(self.saved_at), reason=str(error))
        self._greenlet = gevent.spawn(self._follow)

    def stop(self) -> None:
        """End the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _follow(self) -> None:
        while True:
            try:
                self._read_feed()
                reason = "closed"
            except (OSError, ValueError) as error:
                reason = str(error)
            self.log("fleet.feed_lost", reason=reason, version=self.fleet.version)
            self.fleet.version = -1  # what was missed is not known: only a full list counts now
            self.tell(FleetUpdate(ListKind.FAILED, []))
            gevent.sleep(self.reconnect_s)

    def _read_feed(self) -> None:
        with socket.create_connection(self.address, CONNECT_S, self.source) as sock:
            sock.settimeout(None)
            rest = b""
            while data := sock.recv(65536):
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    self.tell(self.fleet.take(line))
                if lines:
                    self.heard.set()
                    self._save()
                if len(rest) > LINE_BYTES:
                    raise ValueError("feed: a line without an end")

    def _save(self) -> None:
        """Written beside and renamed: a crash leaves the old list or the new one, never half of one."""
        if self.saved_at is None:
            return
        try:
            replace(self.saved_at, [self.fleet.saved()])
        except OSError as error:
            self.log("fleet.list_not_saved", path=str(self.saved_at), reason=str(error))
