"""Subscribes to the server feed over TCP and saves the latest list to disk."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from gevent import socket

from tamarindfold.ds.backoff import Backoff
from tamarindfold.ds.durable import replace_file
from tamarindfold.interface import FleetUpdate, ListKind
from tamarindfold.ds.byte_buffer import ByteBuffer
from tamarindfold.links.link import Link
from tamarindfold.links.subscription import Subscription
from tamarindfold.links.turns import Turn
from tamarindfold.membership.feed import ServerList

MAX_LINE_BYTES = 4 << 20
CONNECT_TIMEOUT_S = 2.0


class FeedSubscriber:
    """Passes each update of the feed to `notify`; reconnects after any loss or invalid message."""

    def __init__(
        self,
        address: tuple[str, int],
        reconnect_ms: float,
        list_file: Path | None,
        notify: Callable[[FleetUpdate], None],
        log: Callable[..., None],
        source_address: str = "",
    ) -> None:
        """list_file: where the latest list is saved for a restart; None: nothing is saved."""
        self.list_file, self.notify, self.log = list_file, notify, log
        self.servers = ServerList()
        pause_s = reconnect_ms / 1000
        self.subscription = Subscription(
            Link(address, CONNECT_TIMEOUT_S, Backoff(pause_s, pause_s), source_address),
            self._read,
            self._lost,
        )

    def start(self) -> None:
        """Publish the saved list, if there is one, then subscribe to the feed."""
        if self.list_file is not None and self.list_file.exists():
            try:
                self.notify(self.servers.restore(self.list_file.read_bytes()))
            except (OSError, ValueError) as error:
                self.log("fleet.saved_list_unusable", path=str(self.list_file), reason=str(error))
        self.subscription.start()

    def stop(self) -> None:
        """End the subscription."""
        self.subscription.stop()

    def _lost(self, reason: Exception | None) -> None:
        self.log("fleet.feed_lost", reason=str(reason or "closed"), version=self.servers.version)
        self.servers.version = -1  # changes may have been missed: only a full list is accepted next
        self.notify(FleetUpdate(ListKind.FAILED, []))

    def _read(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        line_start, turn = ByteBuffer(), Turn()
        while data := sock.recv(65536):
            *ends, rest = data.split(b"\n")
            for end in ends:
                line_start.add(end)
                self.notify(self.servers.apply(line_start.take()))
            line_start.add(rest)
            if ends:
                self.subscription.message_received()
                self._save()
            turn.spend(len(data))
            if len(line_start) > MAX_LINE_BYTES:
                raise ValueError(f"feed: a line exceeds {MAX_LINE_BYTES} bytes")

    def _save(self) -> None:
        """Save the list; the file is replaced atomically, so a crash leaves the old list or the new one."""
        if self.list_file is None:
            return
        try:
            replace_file(self.list_file, [self.servers.encode()])
        except OSError as error:
            self.log("fleet.list_not_saved", path=str(self.list_file), reason=str(error))
