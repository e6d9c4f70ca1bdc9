"""Assembles one ingress on the platform and starts, reconfigures and stops it."""

from __future__ import annotations

import resource
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from tamarindfold.choice import Gateway
from tamarindfold.counter.driver import Counter
from tamarindfold.ds.memory import MemoryBudget
from tamarindfold.ingress.arrival import enable_arrival_timestamps
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.pool import Pool
from tamarindfold.ingress.timers import Timers
from tamarindfold.ingress.upstream import Upstream
from tamarindfold.interface import ListKind
from tamarindfold.node.adapters import PlatformBackends
from tamarindfold.node.discovery import DiscoveryWatch
from tamarindfold.node.front import PlatformFront
from tamarindfold.node.limits import allocate_limits
from tamarindfold.platform.configuration import Address, Configuration
from tamarindfold.platform.counter import AddGet
from tamarindfold.platform.registry import BackendDirectory

BACKLOG = 1024
KIBIBYTE = 1024
HEARTBEAT_INTERVAL_S = 0.05
CLEANUP_HEARTBEATS = 20  # heartbeats between two clean-ups of the connection pool
SLEW_HEARTBEATS = 20  # heartbeats between two clock corrections
IDLE_CLOSE_DELAY_S = 0.45  # after SIGTERM: from then on idle connections are closed
LISTEN_DELAY_S = 0.7  # after SIGTERM: until then new connections are accepted
DRAIN_TIMEOUT_S = 30.0  # longest wait for open connections when the ingress stops


def resident_peak_bytes() -> int:
    """The most memory that this process has had resident."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIBIBYTE


class Node:
    """One ingress: client front, decision module, and links to backends, discovery and the counter."""

    def __init__(self, config: Configuration, log: Callable[..., None], rest_bytes: int = 0) -> None:
        """rest_bytes: the memory that the program needs before it serves anybody."""
        self.config, self.log = config, log
        self.steady = SteadyClock()
        clock, settings = self.steady.now, config.settings
        self.limits = limits = allocate_limits(config.sockets, config.memory_mb, config.open_cap, rest_bytes)
        self.memory = MemoryBudget(limits.connection_bytes)
        gateway = Gateway(settings, config.seed)
        gateway.max_customers = limits.customers
        self.core = Core(gateway, clock, log, limits.stall_ms)
        self.directory = BackendDirectory(config.zones, config.kinds)
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
            PlatformBackends(self.directory.address, self.directory.entries.get, settings.report_fields),
            clock,
            limits.reuse_after_break_ms,
            limits.total_answer_bytes,
            self.memory,
        )
        self.front = PlatformFront(
            limits, self.core, self.timers, clock, log, self.memory, self.not_ready_reason
        )
        self.watch = DiscoveryWatch(
            config.discovery,
            lambda: self.directory.generation,
            self._apply_list,
            log,
            settings.drain_grace_ms,
        )
        self.counter_address = config.counter
        self.counter: Counter | None = None
        self.listener: StreamServer | None = None
        self.greenlets: list[gevent.Greenlet] = []

    def not_ready_reason(self) -> str:
        """Why requests can't be served now; empty if they can."""
        return "" if self.core.fleet else "no list of backends yet"

    def start(self, stop: Event | None = None) -> None:
        """Connect to discovery and the counter, wait for the first list, then listen for clients.

        OSError if the address can't be bound, ValueError if the initial list is invalid. This method yields:
        `change_addresses` may be called meanwhile. If `stop` is set by then, it returns without listening.
        """
        config, limits = self.config, self.limits
        if config.initial_list:
            self._apply_list(config.initial_list, ListKind.CACHED)
        self.watch.start()
        if self.counter_address is not None and config.settings.counter:
            self.counter = Counter(
                [self.counter_address],
                config.settings.counter_timeout_ms,
                limits.max_pending_counts,
                AddGet(),
                limits.counter_reconnect_ms,
                self.steady.now,
                self.core.on_count_answered,
                self.log,
                limits.counter_keepalive_ms,
            )
            self.core.send_count = self.counter.call
        # Clients connect as soon as this listens, and their requests must not be routed by an outdated list.
        wait_began = self.steady.now()
        self.watch.subscription.wait_for_first_message(
            limits.first_list_timeout_ms, self.log, stop, generation=self.directory.generation
        )
        waited_ms = round(self.steady.now() - wait_began)
        if stop is not None and stop.is_set():
            return
        self.listener = StreamServer(
            config.listen, self.front.serve, backlog=BACKLOG, spawn=self.front.clients
        )
        self.listener.max_accept = limits.eviction_headroom  # evict before accepting more
        self.listener.init_socket()
        enable_arrival_timestamps(self.listener.socket)
        self.listener.start()
        self.greenlets = [gevent.spawn(self._heartbeat), gevent.spawn(self._log_counts)]
        self.log(
            "node.listening",
            clients=limits.connections,
            backends=limits.backend_connections,
            list_waited_ms=waited_ms,
        )

    def change_addresses(self, discovery: Address, counter: Address | None) -> None:
        """Reach discovery and the counter at other addresses from now on."""
        self.watch.change_address(discovery)
        self.counter_address = counter
        if self.counter is not None and counter is not None:
            self.counter.change_addresses([counter])
        self.log("node.moved", discovery=discovery, counter=counter)

    def stop(self) -> None:
        """Serve clients for a moment longer, answer all requests that were received, then close.

        First, each response closes its connection. Then idle connections that had a response are closed.
        Then `BaseFront.stop` reads each remaining connection's socket once more and accepts what is in the
        accept queue. Finally the open requests are answered. Connections count from accept on, so the
        process waits for all of them.
        """
        if self.listener is not None:
            self.front.stopping = True
            gevent.sleep(IDLE_CLOSE_DELAY_S)
            self.front.close_idle_clients()
            gevent.sleep(LISTEN_DELAY_S - IDLE_CLOSE_DELAY_S)
            self.front.stop(self.listener)
            self.front.clients.join(DRAIN_TIMEOUT_S)
        self.log("node.stopped", **self.counts())
        gevent.killall(self.greenlets)
        self.watch.stop()
        if self.counter is not None:
            self.counter.stop()
        self.timers.stop()

    def _apply_list(self, line: bytes, kind: ListKind = ListKind.FULL) -> None:
        """Apply a line of the list; connections to backends that left, moved or restarted are dropped."""
        update, moved = self.directory.apply(line, kind)
        for number in moved:
            self.pool.drop_idle(number)
        self.core.update_fleet(update)

    def _heartbeat(self) -> None:
        """Notify the core that the event loop runs; clean up the pool and correct the clock at intervals."""
        heartbeats = 0
        while True:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
            self.core.on_loop_turn()
            heartbeats += 1
            if not heartbeats % CLEANUP_HEARTBEATS:
                self.pool.prune_idle(self.core.fleet.__contains__)
            if not heartbeats % SLEW_HEARTBEATS:
                self.steady.slew()

    def _log_counts(self) -> None:
        while True:
            gevent.sleep(self.limits.counts_interval_ms / 1000)
            self.log("node.counts", **self.counts())

    def counts(self) -> dict[str, Any]:
        """All counters, and the sizes of all tables that could grow."""
        gateway, front = self.core.gateway, self.front
        pipeline = self.counter.parts[0].pipeline if self.counter is not None else None
        return {
            "requests": self.core.requests(),
            "attempts": self.upstream.counts,
            "front": front.counts,
            "connections": self.pool.counts,
            "watch": self.watch.counts,
            "counter": {
                "turned_away": pipeline.rejected,
                "dropped": pipeline.late_replies,
                "out": len(pipeline.calls),
            }
            if pipeline is not None
            else {},
            "memory": {
                "connections": self.memory.used,
                "connections_peak": self.memory.peak,
                "connections_limit": round(self.memory.capacity),
                "resident_peak": resident_peak_bytes(),
                "customers_forgotten": gateway.customers_forgotten,
            },
            "sizes": {
                "clients": len(front.clients),
                "idle": len(front.idle),
                "silent": len(front.unproven),
                "held": front.in_flight,
                "open": len(self.core.open_exchanges),
                "withdrawn": len(self.core.withdrawn),
                "ended_ids": len(front.call_ids.ended),
                "ended_ids_forgotten": front.call_ids.forgotten,
                "backends": len(self.core.fleet),
                "to_backends": self.pool.total_open,
                "answers_peak": self.upstream.peak_held_bytes,
                "book": len(self.directory.entries),
                "customers": len(gateway.customers),
                "calls": len(gateway.calls),
                "counts": len(gateway.pending_counts),
                "timers": self.timers.wheel.count,
            },
        }
