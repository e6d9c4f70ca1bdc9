"""One ingress on the platform put together: started, moved to other addresses, stopped."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from tamarindfold.choice import Gateway
from tamarindfold.counter.driver import Counter
from tamarindfold.ingress.arrival import enable_arrival_timestamps
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.pool import Pool
from tamarindfold.ingress.timers import Timers
from tamarindfold.ingress.upstream import Upstream
from tamarindfold.interface import ListKind
from tamarindfold.node.discovery import Watch
from tamarindfold.node.front import PlatformFront
from tamarindfold.node.limits import budget
from tamarindfold.node.wording import Backends
from tamarindfold.platform.configuration import Address, Configuration
from tamarindfold.platform.counter import AddGet
from tamarindfold.platform.registry import AddressBook

BACKLOG = 1024
FEEL_S, TIDY_EVERY, SLEW_EVERY = 0.05, 20, 20  # the beat, and beats between chores
KEPT_S, COME_S = 0.45, 0.7  # after SIGTERM: idle connections stay so long, and new ones are taken so long
STOP_S = 30.0  # a stopping ingress waits no longer than this for what it holds


class Node:
    """A running ingress."""

    def __init__(self, config: Configuration, log: Callable[..., None]) -> None:
        self.config, self.log = config, log
        self.steady = SteadyClock()
        clock, settings = self.steady.now, config.settings
        self.limits = limits = budget(config.sockets, config.memory_mb, config.open_cap)
        self.core = Core(Gateway(settings, config.seed), clock, log, limits.stall_ms)
        self.book = AddressBook(config.zones, config.kinds)
        self.pool = Pool(
            config.conn_idle_ms / 2,
            limits.backend_connections,
            limits.backend_connections,
            config.dial_timeout_ms,
            "",
            limits.answer_bytes,
            clock,
            limits.backend_connections,
        )
        self.timers = Timers(clock, limits.timer_slot_ms)
        self.upstream = self.core.sender = Upstream(
            self.core,
            self.pool,
            self.timers,
            Backends(self.book.address, self.book.entries.get, settings.report_fields),
            clock,
            limits.kept_trust_ms,
            limits.answers_bytes,
        )
        self.front = PlatformFront(limits, self.core, self.timers, clock, log, self.why_not_ready)
        self.watch = Watch(
            config.discovery, lambda: self.book.generation, self._told, log, settings.drain_grace_ms
        )
        self.counter_at = config.counter
        self.counter: Counter | None = None
        self.listener: StreamServer | None = None
        self.chores: list[gevent.Greenlet] = []

    def why_not_ready(self) -> str:
        """Why requests can't be decided now; empty where they can."""
        return "" if self.core.fleet else "no list of backends yet"

    def start(self, stop: Event | None = None) -> None:
        """Open the sockets; OSError where the address can't be had, ValueError for a bad list.

        It yields: `move` may come meanwhile, and is heeded; where `stop` is set by then nothing is taken.
        """
        config, limits = self.config, self.limits
        if config.known:
            self._told(config.known, ListKind.CACHED)
        self.watch.start()
        if self.counter_at is not None and config.settings.counter:
            self.counter = Counter(
                [self.counter_at],
                config.settings.counter_timeout_ms,
                limits.pending_counts,
                AddGet(),
                limits.counter_reconnect_ms,
                self.steady.now,
                self.core.on_count_answered,
                self.log,
                limits.counter_keep_ms,
            )
            self.core.send_count = self.counter.call
        # Guards against sends by a list from before a restart: clients come as soon as this listens.
        self.watch.follower.first(limits.first_list_ms, self.log, stop, generation=self.book.generation)
        if stop is not None and stop.is_set():
            return
        self.listener = StreamServer(
            config.listen, self.front.serve, backlog=BACKLOG, spawn=self.front.clients
        )
        self.listener.max_accept = limits.ending  # few: room is made before more descriptors are taken
        self.listener.init_socket()
        enable_arrival_timestamps(self.listener.socket)
        self.listener.start()
        self.chores = [gevent.spawn(self._beat), gevent.spawn(self._tell_counts)]
        self.log("node.listening", clients=limits.connections, backends=limits.backend_connections)

    def move(self, discovery: Address, counter: Address | None) -> None:
        """Discovery and counter are elsewhere from now on."""
        self.watch.move(discovery)
        self.counter_at = counter
        if self.counter is not None and counter is not None:
            self.counter.move([counter])
        self.log("node.moved", discovery=discovery, counter=counter)

    def stop(self) -> None:
        """Answer what comes while clients still come and all that was taken, then close.

        In this order: each answer ends its connection; idle connections that had an answer end; every one
        looks at its socket once more and what waits in the accept queue is taken (`Listener.stop`); what
        was taken is answered. All that was accepted counts, so the process never ends before it.
        """
        if self.listener is not None:
            self.front.stopping = True
            gevent.sleep(KEPT_S)
            self.front.end_idle()
            gevent.sleep(COME_S - KEPT_S)
            self.front.stop(self.listener)
            self.front.clients.join(STOP_S)
        self.log("node.stopped", **self.counts())
        gevent.killall(self.chores)
        self.watch.stop()
        if self.counter is not None:
            self.counter.stop()
        self.timers.stop()

    def _told(self, line: bytes, kind: ListKind = ListKind.FULL) -> None:
        """A line of the list, for the module; connections to what moved or restarted are of no use."""
        update, moved = self.book.take(line, kind)
        for number in moved:
            self.pool.drop_idle(number)
        self.core.update_fleet(update)

    def _beat(self) -> None:
        """Notes that the loop turns; tidies now and then."""
        beats = 0
        while True:
            gevent.sleep(FEEL_S)
            self.core.on_loop_turn()
            beats += 1
            if not beats % TIDY_EVERY:
                self.pool.prune_idle(self.core.fleet.__contains__)
            if not beats % SLEW_EVERY:
                self.steady.slew()

    def _tell_counts(self) -> None:
        while True:
            gevent.sleep(self.limits.counts_every_ms / 1000)
            self.log("node.counts", **self.counts())

    def counts(self) -> dict[str, Any]:
        """All counters, and the sizes of all that could grow."""
        gateway, front = self.core.gateway, self.front
        pipeline = self.counter.parts[0].pipeline if self.counter is not None else None
        return {
            "requests": self.core.requests(),
            "attempts": self.upstream.counts,
            "front": front.counts,
            "connections": self.pool.counts,
            "watch": self.watch.counts,
            "counter": {
                "turned_away": pipeline.turned_away,
                "dropped": pipeline.dropped,
                "out": len(pipeline.calls),
            }
            if pipeline is not None
            else {},
            "sizes": {
                "clients": len(front.clients),
                "idle": len(front.idle),
                "silent": len(front.silent),
                "held": front.held,
                "open": len(self.core.open_exchanges),
                "withdrawn": len(self.core.withdrawn),
                "backends": len(self.core.fleet),
                "to_backends": self.pool.total_open,
                "answers_peak": self.upstream.peak_held_bytes,
                "book": len(self.book.entries),
                "customers": len(gateway.customers),
                "calls": len(gateway.calls),
                "counts": len(gateway.counts),
                "timers": self.timers.wheel.count,
            },
        }
