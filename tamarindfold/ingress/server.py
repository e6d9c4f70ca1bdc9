"""Assembles one gateway from its configuration, starts and stops it, and logs its counters periodically."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
from gevent.server import StreamServer

from tamarindfold.choice import Gateway
from tamarindfold.config import derive
from tamarindfold.config.addresses import split_address
from tamarindfold.config.model import GatewayConfig, Introspection
from tamarindfold.counter.driver import Counter
from tamarindfold.counter.pipeline import IncrByFloat
from tamarindfold.ds.memory import MemoryBudget
from tamarindfold.identity.driver import RegistryClient
from tamarindfold.identity.files import pepper, public_key
from tamarindfold.identity.model import PlanRow
from tamarindfold.ingress.admin import Admin
from tamarindfold.ingress.authentication import Authenticator
from tamarindfold.ingress.backend_adapter import TamarindBackendAdapter
from tamarindfold.ingress.background import Background
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.forward_auth import ForwardAuthFront
from tamarindfold.ingress.front import Front
from tamarindfold.ingress.pool import Pool
from tamarindfold.ingress.timers import Timers
from tamarindfold.ingress.upstream import Upstream
from tamarindfold.interface import FleetUpdate, ListKind, PlansChanged, Settings
from tamarindfold.introspection.checker import Rules
from tamarindfold.introspection.driver import Introspector
from tamarindfold.membership.driver import FeedSubscriber
from tamarindfold.recovery.driver import Recorder

CLOCK_SLEW_INTERVAL_S = 1.0
LAG_PROBE_INTERVAL_MS = 25.0
CLEANUP_INTERVAL_MS = 1_000.0


def checker_rules(section: Introspection) -> Rules:
    """The limits of the token checker."""
    return Rules(**{name: getattr(section, name) for name in Rules.__dataclass_fields__})


class Ingress:
    """A running gateway."""

    def __init__(
        self,
        config: GatewayConfig,
        log: Callable[..., None],
        make_gateway: Callable[[Settings, int], Gateway] = Gateway,
        number: int | None = None,
    ) -> None:
        """number: identifies the instance in files and reports if its settings are managed: its index may
        change then."""
        self.config, self.log = config, log
        self.number = config.instance.index if number is None else number
        self.managed = number is not None  # settings and index come from the keepers
        self.agreement_obstacle: Callable[[], str] = str  # why the agreement prevents readiness, or empty
        self.agreement_counts: Callable[[], dict[str, Any]] = dict
        self.steady = SteadyClock()
        clock = self.steady.now
        upstream, introspection = config.upstream, config.introspection
        self.core = Core(
            make_gateway(derive.settings(config), config.instance.seed), clock, log, config.instance.stall_ms
        )
        self.pool = Pool(
            upstream.idle_ms,
            upstream.idle_per_server,
            upstream.connections_per_server,
            upstream.connect_timeout_ms,
            upstream.source_address,
            config.limits.answer_bytes,
            clock,
        )
        self.memory = MemoryBudget(config.limits.client_memory_bytes)
        self.core.gateway.max_customers = config.limits.customers
        self.timers = Timers(clock)
        servers = TamarindBackendAdapter(
            lambda: self.core.gateway.settings, lambda number: self.core.fleet.get(number), log
        )
        self.core.sender = Upstream(
            self.core,
            self.pool,
            self.timers,
            servers,
            clock,
            max_held_bytes=config.limits.client_memory_bytes,
            memory=self.memory,
        )
        self.introspector = Introspector(
            introspection.url,
            introspection.client_id,
            introspection.secret(),
            checker_rules(introspection),
            introspection.connections,
            introspection.answer_bytes,
            config.instance.seed,
            clock,
            log,
        )
        self.identity = self._create_registry_client(config, clock) if config.identity is not None else None
        self.authenticator = authenticator = Authenticator(config, self.introspector, self.identity, log)
        self.front = Front(
            config,
            self.core,
            authenticator,
            self.timers,
            clock,
            log,
            self.number,
            config.limits.connections,
            self.memory,
        )
        self.forward_front = (
            ForwardAuthFront(
                config, self.core, authenticator, self.timers, clock, log, self.number, self.memory
            )
            if config.forward is not None
            else None
        )
        self.forward_listener: StreamServer | None = None
        self.admin = Admin(config.admin, self) if config.admin is not None else None
        self.last_loop_turn_s = time.monotonic()
        self.stopping = False
        self.counter: Counter | None = None
        self.feed: FeedSubscriber | None = None
        self.listener: StreamServer | None = None
        self.greenlets: list[gevent.Greenlet] = []
        self.background = Background(config.recovery.background_part, log)
        self.recorder = self._create_recorder(config, clock) if config.instance.state_dir else None

    def _create_registry_client(self, config: GatewayConfig, clock: Callable[[], float]) -> RegistryClient:
        """The follower of the registry; raises ValueError or OSError if its files are unusable."""
        section = config.identity
        assert section is not None
        identity = RegistryClient(
            split_address(section.registry, "identity.registry"),
            public_key(Path(section.public_key)),
            pepper(Path(section.pepper)),
            self._state_file("identity", "bin"),
            section.skew_ms,
            section.wait_ms,
            section.reconnect_ms,
            config.upstream.source_address,
            clock,
            self._on_plans,
            self.log,
        )
        self.core.is_credential_valid = identity.is_still_valid
        return identity

    def _create_recorder(self, config: GatewayConfig, clock: Callable[[], float]) -> Recorder:
        section = config.recovery
        return Recorder(
            Path(config.instance.state_dir),
            self.number,
            self.core.gateway,
            section.max_age_ms,
            section.ahead_ms,
            clock,
            self.log,
            self.managed,
        )

    def _restore(self) -> None:
        """Restore the state of an earlier incarnation, once plans are known and before the first request."""
        if self.recorder is None or self.core.recorder is not None:
            return
        if (restored := self.recorder.load()) is not None:
            self.core.post(restored)
        self.core.recorder = self.recorder
        self.background.add("snapshot", self.recorder.snapshot, self.config.recovery.every_ms, priority=1)

    def _on_plans(self, rows: list[PlanRow]) -> None:
        """Pass the registry's plans to the decision module; each version of a plan is a plan of its own."""
        self.core.post(
            PlansChanged(
                tuple(
                    derive.plan(row.figures, f"{row.plan}@{row.version}", index)
                    for index, row in enumerate(rows)
                )
            )
        )
        self._restore()

    def _state_file(self, name: str, extension: str) -> Path | None:
        instance = self.config.instance
        return Path(instance.state_dir) / f"{name}-{self.number}.{extension}" if instance.state_dir else None

    def start(self) -> tuple[str, int]:
        """Open the sockets; returns the address for clients. Raises OSError if it can't be bound."""
        config = self.config
        self._connect_counter()
        if config.fleet.static:
            self._update_fleet(FleetUpdate(ListKind.FULL, derive.static_entries(config)))
        else:
            self.feed = FeedSubscriber(
                split_address(config.fleet.feed, "fleet.feed"),
                config.fleet.reconnect_ms,
                self._state_file("fleet", "json"),
                self._update_fleet,
                self.log,
                config.upstream.source_address,
            )
            self.feed.start()
            # Wait for the feed before using the saved list: servers may have left since, which the feed
            # announced only to an earlier incarnation.
            if self.core.fleet:
                self.feed.subscription.wait_for_first_message(config.fleet.first_list_ms, self.log)
        if self.identity is not None:
            self.identity.start()
        else:
            self._restore()
        listen, addresses = config.listen, []
        if "proxy" in derive.fronts(config):
            self.listener = StreamServer(
                (listen.host, listen.port), self.front.serve, backlog=listen.backlog, spawn=self.front.clients
            )
            self.listener.start()
            addresses.append((listen.host, self.listener.server_port))
        if self.forward_front is not None and (forward := config.forward) is not None:
            self.forward_listener = StreamServer(
                (forward.host, forward.port),
                self.forward_front.serve,
                backlog=forward.backlog,
                spawn=self.forward_front.clients,
            )
            self.forward_listener.start()
            addresses.append((forward.host, self.forward_listener.server_port))
            self.log("forward.listening", host=forward.host, port=self.forward_listener.server_port)
        if self.admin is not None:
            self.admin.start()
            self.log("admin.listening", host=self.admin.host, port=self.admin.port)
        self.greenlets = [gevent.spawn(loop) for loop in (self._slew_clock, self._measure_lag)]
        self.background.add("tidy", self._clean_up, CLEANUP_INTERVAL_MS)
        self.background.add("counts", self._log_periodic_counts, config.log.counts_every_ms)
        self.background.start()
        self.log("ingress.listening", host=addresses[0][0], port=addresses[0][1])
        return addresses[0]

    def _update_fleet(self, update: FleetUpdate) -> None:
        """Apply an update of the list; idle connections to processes that were replaced are closed."""
        before = dict(self.core.fleet)
        self.core.update_fleet(update)
        for number, entry in before.items():
            current = self.core.fleet.get(number)
            if current is None or current.up_since_ms != entry.up_since_ms:
                self.pool.drop_idle(number)

    def _connect_counter(self) -> None:
        """Use the counter that the configuration names, in place of the one used before."""
        if self.counter is not None:
            self.core.send_count = None
            self.counter.retire()
            self.counter = None
        if (section := self.config.counter) is not None:
            parts = [split_address(part, "counter.parts") for part in section.parts]
            self.counter = Counter(
                parts,
                section.timeout_ms,
                section.most_pending,
                IncrByFloat(section.prefix),
                section.reconnect_ms,
                self.steady.now,
                self.core.on_count_answered,
                self.log,
            )
            self.core.send_count = self.counter.call

    def apply(self, config: GatewayConfig, has_lease: bool, newcomer: bool = False) -> None:
        """Switch to another configuration; agreement.document.check_change limits what may differ.

        has_lease: whether it is known to be in force. newcomer: whether this instance has just received its
        share of the quotas.
        """
        before, self.config = self.config, config
        current = self.core.gateway.settings
        derived = derive.settings(config)
        # Unchanged plans must stay the same objects: the decision module compares them by identity.
        plans = (
            current.plans
            if self.identity is not None
            else tuple(next((old for old in current.plans if old == plan), plan) for plan in derived.plans)
        )
        if (settings := replace(derived, plans=plans)) != current or newcomer:
            self.core.apply_settings(settings, newcomer)
        self.authenticator.apply(config, has_lease)
        if config.fleet.static != before.fleet.static:
            self._update_fleet(FleetUpdate(ListKind.FULL, derive.static_entries(config)))
        if config.counter != before.counter:
            self._connect_counter()

    def stop(self) -> bool:
        """Stop accepting, finish requests in flight, close; False if some were unfinished after `stop_ms`."""
        self.stopping = True
        until_ms = self.steady.now() + self.config.limits.stop_ms
        if self.listener is not None:
            self.front.stop(self.listener)
        if self.forward_listener is not None and self.forward_front is not None:
            self.forward_front.stop(self.forward_listener)
        for front in (self.front, self.forward_front):
            if front is not None:
                front.clients.join(max(0.0, until_ms - self.steady.now()) / 1000)
        done = not self.in_flight
        if self.admin is not None:
            self.admin.stop()
        self.background.stop()
        gevent.killall(self.greenlets)
        if self.recorder is not None and self.core.recorder is not None:
            self.recorder.close()
            self.core.recorder = None
        self._log_counts("ingress.stopped")
        self.timers.stop()
        if self.feed is not None:
            self.feed.stop()
        if self.counter is not None:
            self.counter.stop()
        if self.identity is not None:
            self.identity.stop()
        self.introspector.close()
        self.pool.close_idle()
        return done

    @property
    def in_flight(self) -> int:
        """Requests read and not yet answered, on both fronts."""
        return self.front.in_flight + (self.forward_front.in_flight if self.forward_front is not None else 0)

    @property
    def not_ready_reason(self) -> str:
        """Why requests can't be decided now; empty if they can."""
        if self.stopping:
            return "stopping"
        if obstacle := self.agreement_obstacle():
            return obstacle
        if not self.core.fleet:
            return "no list of servers yet"
        if self.identity is not None and self.identity.follower.tables is None:
            return "no word from the registry yet"
        return ""

    def _slew_clock(self) -> None:
        while True:
            gevent.sleep(CLOCK_SLEW_INTERVAL_S)
            self.steady.slew()

    def _clean_up(self) -> Iterator[float | None]:
        self.pool.prune_idle(self.core.fleet.__contains__)
        yield None
        self.core.limits.sweep(self.steady.now())

    def _measure_lag(self) -> None:
        """Measure by how much the event loop is late, for overload control, and record that it runs."""
        while True:
            due_ms = self.steady.now() + LAG_PROBE_INTERVAL_MS
            gevent.sleep(LAG_PROBE_INTERVAL_MS / 1000)
            self.last_loop_turn_s = time.monotonic()
            self.core.on_loop_turn()
            if self.forward_front is not None:
                self.forward_front.gate.record_lag(self.steady.now() - due_ms)

    def _log_periodic_counts(self) -> None:
        self._log_counts("ingress.counts")

    def _log_counts(self, event: str) -> None:
        self.log(event, **self.counts())

    def counts(self) -> dict[str, Any]:
        """All counters, by component."""
        counter = (
            {
                "turned_away": sum(p.pipeline.rejected for p in self.counter.parts),
                "dropped": sum(p.pipeline.late_replies for p in self.counter.parts),
            }
            if self.counter
            else {}
        )
        identity = (
            self.identity.counts
            | {
                "version": self.identity.version,
                "stale_ms": round(self.identity.follower.stale_ms(self.steady.now())),
            }
            if self.identity
            else {}
        )
        forward = (
            (
                self.forward_front.permits.counts
                | self.forward_front.counts
                | {"held": self.forward_front.permits.active}
            )
            if self.forward_front
            else {}
        )
        return {
            "agreement": self.agreement_counts(),
            "identity": identity,
            "forward": forward,
            "held": self.in_flight,
            "requests": self.core.requests(),
            "front": self.front.counts,
            "memory": {
                "connections": self.memory.used,
                "connections_peak": self.memory.peak,
                "customers_forgotten": self.core.gateway.customers_forgotten,
            },
            "tokens": self.introspector.checker.counts,
            "connections": self.pool.counts,
            "counter": counter,
            "recovery": self.recorder.counts if self.recorder is not None else {},
            "background": self.background.counts(),
            "open_limits": {"refused": self.core.limits.refused, "expired": self.core.limits.expired},
        }
