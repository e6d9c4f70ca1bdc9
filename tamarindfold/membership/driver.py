"""Follows a feed over TCP and keeps the last list on disk."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from gevent import socket

from tamarindfold.ds.backoff import Backoff
from tamarindfold.ds.durable import replace
from tamarindfold.interface import FleetUpdate, ListKind
from tamarindfold.links.follower import Follower
from tamarindfold.links.link import Link
from tamarindfold.membership.feed import FleetList

LINE_BYTES = 4 << 20
CONNECT_S = 2.0


class FeedFollower:
    """Reads lines, tells each update, and begins anew after any fault."""

    def __init__(
        self,
        address: tuple[str, int],
        reconnect_ms: float,
        saved_at: Path | None,
        tell: Callable[[FleetUpdate], None],
        log: Callable[..., None],
        source_address: str = "",
    ) -> None:
        self.saved_at, self.tell, self.log = saved_at, tell, log
        self.fleet = FleetList()
        pause_s = reconnect_ms / 1000
        self.follower = Follower(
            Link(address, CONNECT_S, Backoff(pause_s, pause_s), source_address), self._read, self._lost
        )

    def start(self) -> None:
        """Tell the saved list, if there is one, then follow the feed."""
        if self.saved_at is not None and self.saved_at.exists():
            try:
                self.tell(self.fleet.restore(self.saved_at.read_bytes()))
            except (OSError, ValueError) as error:
                self.log("fleet.saved_list_unusable", path=str(self.saved_at), reason=str(error))
        self.follower.start()

    def stop(self) -> None:
        """End it."""
        self.follower.stop()

    def _lost(self, reason: Exception | None) -> None:
        self.log("fleet.feed_lost", reason=str(reason or "closed"), version=self.fleet.version)
        self.fleet.version = -1  # what was missed is not known: only a full list counts now
        self.tell(FleetUpdate(ListKind.FAILED, []))

    def _read(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        rest = b""
        while data := sock.recv(65536):
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self.tell(self.fleet.take(line))
            if lines:
                self.follower.well()
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
