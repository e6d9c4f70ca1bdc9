"""Follows news over a link: connects, reads, comes again after any end, and tells who waits for it.

What is asked for, how it is resumed and what is believed is the user's (membership.feed, identity.follower,
platform.registry, agreement.lease); that there is one greenlet, one connection and one way back is not.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from tamarindfold.links.link import Link


class Follower:
    """One greenlet over one link. read: goes through a connection's news until it ends; lost: told why."""

    def __init__(
        self, link: Link, read: Callable[[socket.socket], None], lost: Callable[[Exception | None], None]
    ) -> None:
        self.link, self._read, self._lost = link, read, lost
        self.heard = Event()  # set from the first word on: what was known before it may be out of date
        self.counts = {"lost": 0}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to follow."""
        self._greenlet = gevent.spawn(self.link.keep, self._read, self._ended)

    def stop(self) -> None:
        """End the greenlet, and the connection with it."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def well(self) -> None:
        """Something was heard that makes sense: the next failure is a first one."""
        self.heard.set()
        self.link.backoff.well()

    def first(
        self, most_ms: float, log: Callable[..., None], stop: Event | None = None, **held: object
    ) -> None:
        """Wait for the first word, or for the end. Guards against acting on what an earlier life knew while
        news come."""
        if not gevent.wait((self.heard, *([] if stop is None else [stop])), most_ms / 1000, 1):
            log("fleet.first_line_awaited_in_vain", **held)

    def _ended(self, reason: Exception | None) -> None:
        self.counts["lost"] += 1
        self._lost(reason)
