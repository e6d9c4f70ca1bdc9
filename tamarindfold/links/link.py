"""Keeps one connection: connects, is connected anew after any end, and moves to another address at once."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from gevent import socket
from gevent.event import Event

from tamarindfold.ds.backoff import Backoff


class Link:
    """What is read, and what its end means, is the user's. `sock`: the connection, while there is one."""

    def __init__(
        self, address: tuple[str, int], connect_s: float, backoff: Backoff, source_address: str = ""
    ) -> None:
        self.address, self.connect_s, self.backoff = address, connect_s, backoff
        self.source = (source_address, 0) if source_address else None
        self.sock: socket.socket | None = None
        self._hurry = Event()

    def move(self, address: tuple[str, int]) -> None:
        """Go to another address at once; the connection to the old one ends."""
        if address != self.address:
            self.address = address
            self._hurry.set()
            self.cut()

    def cut(self) -> None:
        """End the connection: its reader sees that."""
        if self.sock is not None:
            with suppress(OSError):  # closed already
                self.sock.shutdown(socket.SHUT_RDWR)

    def keep(self, read: Callable[[socket.socket], None], lost: Callable[[Exception | None], None]) -> None:
        """For ever: connect and read until that ends; lost is told why (None: an orderly end)."""
        while True:
            self._hurry.clear()
            reason: Exception | None = None
            try:
                self._follow(read)
            except (OSError, ValueError) as error:
                reason = error
            lost(reason)
            self._hurry.wait(self.backoff.failed())

    def _follow(self, read: Callable[[socket.socket], None]) -> None:
        address = self.address
        with socket.create_connection(address, self.connect_s, self.source) as sock:
            if address != self.address:  # moved meanwhile
                return
            self.sock = sock
            try:
                read(sock)
            finally:
                self.sock = None
