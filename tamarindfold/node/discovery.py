"""Watches the platform's discovery service: a silent watch is replaced, and the address can change."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

from gevent import socket

from tamarindfold.ds.backoff import Backoff
from tamarindfold.links.link import Link
from tamarindfold.links.subscription import Subscription
from tamarindfold.links.turns import Turn
from tamarindfold.platform import wire_names
from tamarindfold.platform.registry import WatchReader

CONNECT_TIMEOUT_S = 1.0
FIRST_DATA_TIMEOUT_S = 1.5  # the agent answers at once, unless it is down
# Heartbeats come every 2 s, and the platform assumes that every ingress knows a change 6 s after it (4 s
# after SIGHUP).
SILENCE_TIMEOUT_S = 2.8
MIN_PAUSE_S = 0.05  # between two watches
MAX_PAUSE_S = 0.5
MAX_PAUSE_GRACE_SHARE = 0.5  # longest pause, as a share of the drain grace
MIN_READ_TIMEOUT_S = 0.001  # data that has already arrived is read even after the deadline


class DiscoveryWatch:
    """Passes each line of the registry to `apply`; if that raises ValueError, it requests the full list.

    After an outage of discovery a change counts as published as soon as the agent has it, whether or not this
    ingress watches by then. The pause between two watches is therefore at most a share of the drain grace,
    however long the outage was; the rest of the grace is for connecting and for receiving the line.
    """

    def __init__(
        self,
        address: tuple[str, int],
        generation: Callable[[], int],
        apply: Callable[[bytes], None],
        log: Callable[..., None],
        drain_grace_ms: float,
    ) -> None:
        self.generation, self.apply, self.log = generation, apply, log
        pauses = Backoff(MIN_PAUSE_S, min(MAX_PAUSE_S, drain_grace_ms * MAX_PAUSE_GRACE_SHARE / 1000))
        self.subscription = Subscription(Link(address, CONNECT_TIMEOUT_S, pauses), self._read, self._lost)
        self.counts = self.subscription.counts
        self.counts |= dict.fromkeys(("watches", "lines"), 0)
        self._needs_full_list = False

    def start(self) -> None:
        """Start watching."""
        self.subscription.start()

    def stop(self) -> None:
        """Stop watching."""
        self.subscription.stop()

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch at another address from now on."""
        self.subscription.link.change_address(address)

    def _lost(self, reason: Exception | None) -> None:
        if isinstance(reason, ValueError):
            self._needs_full_list = True
        self.log("fleet.watch_lost", reason=str(reason or "ended"), generation=self.generation())

    def _read(self, sock: socket.socket) -> None:
        host = "{}:{}".format(*self.subscription.link.address).encode()
        since = 0 if self._needs_full_list else self.generation()
        sock.sendall(
            b"GET %s?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\n\r\n" % (wire_names.INSTANCES, since, host)
        )
        self.counts["watches"] += 1
        reader, turn = WatchReader(), Turn()
        last_heartbeat, heartbeats = monotonic(), 0
        deadline = last_heartbeat + FIRST_DATA_TIMEOUT_S
        while not reader.ended:
            sock.settimeout(max(MIN_READ_TIMEOUT_S, deadline - monotonic()))
            data = sock.recv(65536)
            if not data:
                return
            for line in reader.feed(data):
                self.apply(line)
                self.counts["lines"] += 1
                self._needs_full_list = False
                self.subscription.message_received()
            turn.spend(len(data))
            if reader.heartbeats > heartbeats:
                last_heartbeat, heartbeats = monotonic(), reader.heartbeats
            deadline = last_heartbeat + SILENCE_TIMEOUT_S  # bytes that complete no line don't extend it
            if monotonic() >= deadline:
                raise TimeoutError("received bytes, but no complete line")
