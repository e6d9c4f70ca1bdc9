"""A subscription to a stream of messages over a persistent connection.

The subscriber (membership.driver, identity.driver, node.discovery, agreement.driver) decides what to request,
where to resume and which messages to accept. This module runs the single greenlet that reads and reconnects.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from tamarindfold.links.link import Link


class Subscription:
    """Reads one stream over one link in a greenlet of its own.

    `read` processes the messages of one connection until it ends; `lost` is given the reason of each loss.
    """

    def __init__(
        self, link: Link, read: Callable[[socket.socket], None], lost: Callable[[Exception | None], None]
    ) -> None:
        self.link, self._read, self._lost = link, read, lost
        self.first_message = Event()  # set by the first valid message; state from before may be outdated
        self.counts = {"lost": 0}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start reading in a greenlet."""
        self._greenlet = gevent.spawn(self.link.maintain, self._read, self._ended)

    def stop(self) -> None:
        """Kill the greenlet, which closes the connection."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def message_received(self) -> None:
        """Record a valid message; this resets the reconnect backoff."""
        self.first_message.set()
        self.link.backoff.reset()

    def wait_for_first_message(
        self, timeout_ms: float, log: Callable[..., None], stop: Event | None = None, **details: object
    ) -> None:
        """Wait until the first valid message has come, `stop` is set or the time is up.

        Without this wait a restarted process would act on state saved by its previous incarnation although
        newer state is about to arrive. A time-out is logged with `details`.
        """
        if not gevent.wait((self.first_message, *([] if stop is None else [stop])), timeout_ms / 1000, 1):
            log("fleet.first_line_awaited_in_vain", **details)

    def _ended(self, reason: Exception | None) -> None:
        self.counts["lost"] += 1
        self._lost(reason)
