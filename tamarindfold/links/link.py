"""A persistent TCP connection: reconnects with backoff after any loss, and its address can be changed."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from gevent import socket
from gevent.event import Event

from tamarindfold.ds.backoff import Backoff


class Link:
    """One connection to one address at a time; `sock` is the current connection, None while there is none.

    The owner supplies the function that reads from the connection and decides what a loss means.
    """

    def __init__(
        self, address: tuple[str, int], connect_timeout_s: float, backoff: Backoff, source_address: str = ""
    ) -> None:
        self.address, self.connect_timeout_s, self.backoff = address, connect_timeout_s, backoff
        self.source = (source_address, 0) if source_address else None
        self.sock: socket.socket | None = None
        self._address_changed = Event()

    def change_address(self, address: tuple[str, int]) -> None:
        """Connect to another address without a backoff pause; the connection to the old address is closed."""
        if address != self.address:
            self.address = address
            self._address_changed.set()
            self.disconnect()

    def disconnect(self) -> None:
        """Shut the connection down; its reader then sees the end of the stream."""
        if self.sock is not None:
            with suppress(OSError):  # already closed
                self.sock.shutdown(socket.SHUT_RDWR)

    def maintain(
        self, read: Callable[[socket.socket], None], lost: Callable[[Exception | None], None]
    ) -> None:
        """Connect and call `read` on each connection, forever.

        `lost` is called after every connection and every failed attempt to connect, with the error or, where
        `read` returned, None.
        """
        while True:
            self._address_changed.clear()
            reason: Exception | None = None
            try:
                self._read_once(read)
            except (OSError, ValueError) as error:
                reason = error
            lost(reason)
            self._address_changed.wait(self.backoff.next_delay_s())

    def _read_once(self, read: Callable[[socket.socket], None]) -> None:
        address = self.address
        with socket.create_connection(address, self.connect_timeout_s, self.source) as sock:
            if address != self.address:  # the address changed while connecting
                return
            self.sock = sock
            try:
                read(sock)
            finally:
                self.sock = None
