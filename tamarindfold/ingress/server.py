"""One gateway put together from its configuration: started, stopped, and its state told now and then."""

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
from tamarindfold.identity.driver import Identity
from tamarindfold.identity.files import pepper, public_key
from tamarindfold.identity.model import PlanRow
from tamarindfold.ingress.admin import Admin
from tamarindfold.ingress.background import Background
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.door import Door
from tamarindfold.ingress.forward import ForwardFront
from tamarindfold.ingress.front import Front
from tamarindfold.ingress.pool import Pool
from tamarindfold.ingress.backend_adapter import TamarindBackendAdapter
from tamarindfold.ingress.timers import Timers
from tamarindfold.ingress.upstream import Upstream
from tamarindfold.interface import FleetUpdate, ListKind, PlansChanged, Settings
from tamarindfold.introspection.checker import Rules
from tamarindfold.introspection.driver import Introspector
from tamarindfold.membership.driver import FeedSubscriber
from tamarindfold.recovery.driver import Recorder

SLEW_EVERY_S = 1.0
FEEL_MS = 25.0
TIDY_EVERY_MS = 1_000.0


def checker_rules(section: Introspection) -> Rules:
    """The token checker's bounds."""
    return Rules(**{name: getattr(section, name) for name in Rules.__dataclass_fields__})


class Ingress:
    """A running gateway."""

    def __init__(
        self,
        config: GatewayConfig,
        log: Callable[..., None],
        make: Callable[[Settings, int], Gateway] = Gateway,
        number: int | None = None,
    ) -> None:
        """number: what names this instance in files and reports, where its index may change."""
        self.config, self.log = config, log
        self.number, self.agreed = config.instance.index if number is None else number, number is not None
        self.hindrance: Callable[[], str] = str  # why it is not ready, from outside
        self.agreement: Callable[[], dict[str, Any]] = dict  # figures of the agreement, where there is one
        self.steady = SteadyClock()
        clock = self.steady.now
        up, look = config.upstream, config.introspection
        self.core = Core(
            make(derive.settings(config), config.instance.seed), clock, log, config.instance.stall_ms
        )
        self.pool = Pool(
            up.idle_ms,
            up.idle_per_server,
            up.connections_per_server,
            up.connect_timeout_ms,
            up.source_address,
            config.limits.answer_bytes,
            clock,
        )
        self.timers = Timers(clock)
        servers = TamarindBackendAdapter(lambda: self.core.gateway.settings, log)
        self.core.sender = Upstream(self.core, self.pool, self.timers, servers, clock)
        self.introspector = Introspector(
            look.url,
            look.client_id,
            look.secret(),
            checker_rules(look),
            look.connections,
            look.answer_bytes,
            config.instance.seed,
            clock,
            log,
        )
        self.identity = self._identity(config, clock) if config.identity is not None else None
        self.door = door = Door(config, self.introspector, self.identity, log)
        self.front = Front(
            config, self.core, door, self.timers, clock, log, self.number, config.limits.connections
        )
        self.forward = (
            ForwardFront(config, self.core, door, self.timers, clock, log, self.number)
            if config.forward is not None
            else None
        )
        self.forward_listener: StreamServer | None = None
        self.admin = Admin(config.admin, self) if config.admin is not None else None
        self.turned_at = time.monotonic()
        self.stopping = False
        self.counter: Counter | None = None
        self.feed: FeedSubscriber | None = None
        self.listener: StreamServer | None = None
        self.chores: list[gevent.Greenlet] = []
        self.background = Background(config.recovery.background_part, log)
        self.recorder = self._recorder(config, clock) if config.instance.state_dir else None

    def _identity(self, config: GatewayConfig, clock: Callable[[], float]) -> Identity:
        """The follower of the registry; ValueError or OSError where its files can't be used."""
        section = config.identity
        assert section is not None
        made = Identity(
            split_address(section.registry, "identity.registry"),
            public_key(Path(section.public_key)),
            pepper(Path(section.pepper)),
            self._state_file("identity", "bin"),
            section.skew_ms,
            section.wait_ms,
            section.reconnect_ms,
            config.upstream.source_address,
            clock,
            self._plans_came,
            self.log,
        )
        self.core.is_credential_valid = made.still
        return made

    def _recorder(self, config: GatewayConfig, clock: Callable[[], float]) -> Recorder:
        section = config.recovery
        return Recorder(
            Path(config.instance.state_dir),
            self.number,
            self.core.gateway,
            section.max_age_ms,
            section.ahead_ms,
            clock,
            self.log,
            self.agreed,
        )

    def _restore(self) -> None:
        """Once the plans are known, and before the first request: what an earlier life left."""
        if self.recorder is None or self.core.recorder is not None:
            return
        if (restored := self.recorder.load()) is not None:
            self.core.post(restored)
        self.core.recorder = self.recorder
        self.background.add("snapshot", self.recorder.snapshot, self.config.recovery.every_ms, priority=1)

    def _plans_came(self, rows: list[PlanRow]) -> None:
        """The registry's plans, for the module: each version has a place and a name of its own."""
        self.core.post(
            PlansChanged(
                tuple(
                    derive.plan(row.figures, f"{row.plan}@{row.version}", place)
                    for place, row in enumerate(rows)
                )
            )
        )
        self._restore()

    def _state_file(self, what: str, kind: str) -> Path | None:
        instance = self.config.instance
        return Path(instance.state_dir) / f"{what}-{self.number}.{kind}" if instance.state_dir else None

    def start(self) -> tuple[str, int]:
        """Open the sockets; gives the address that clients reach. OSError where it can't be had."""
        config = self.config
        self._count()
        if config.fleet.static:
            self.core.update_fleet(FleetUpdate(ListKind.FULL, derive.static_entries(config)))
        else:
            self.feed = FeedSubscriber(
                split_address(config.fleet.feed, "fleet.feed"),
                config.fleet.reconnect_ms,
                self._state_file("fleet", "json"),
                self.core.update_fleet,
                self.log,
                config.upstream.source_address,
            )
            self.feed.start()
            # Guards against sends by a saved list: what left it meanwhile was told to an earlier life.
            if self.core.fleet:
                self.feed.subscription.wait_for_first_message(config.fleet.first_list_ms, self.log)
        if self.identity is not None:
            self.identity.start()
        else:
            self._restore()
        listen, served = config.listen, []
        if "proxy" in derive.fronts(config):
            self.listener = StreamServer(
                (listen.host, listen.port), self.front.serve, backlog=listen.backlog, spawn=self.front.clients
            )
            self.listener.start()
            served.append((listen.host, self.listener.server_port))
        if self.forward is not None and (asking := config.forward) is not None:
            self.forward_listener = StreamServer(
                (asking.host, asking.port),
                self.forward.serve,
                backlog=asking.backlog,
                spawn=self.forward.clients,
            )
            self.forward_listener.start()
            served.append((asking.host, self.forward_listener.server_port))
            self.log("forward.listening", host=asking.host, port=self.forward_listener.server_port)
        if self.admin is not None:
            self.admin.start()
            self.log("admin.listening", host=self.admin.host, port=self.admin.port)
        self.chores = [gevent.spawn(chore) for chore in (self._keep_time, self._feel)]
        self.background.add("tidy", self._tidy, TIDY_EVERY_MS)
        self.background.add("counts", self._tell_counts, config.log.counts_every_ms)
        self.background.start()
        self.log("ingress.listening", host=served[0][0], port=served[0][1])
        return served[0]

    def _count(self) -> None:
        """Count at the counter that the configuration names; the one before it is let go."""
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

    def settle(self, config: GatewayConfig, led: bool, newcomer: bool = False) -> None:
        """Go by another configuration from now on, as far as it may differ (agreement.document.check_after).

        led: it is known to be in force. newcomer: this instance's part of every quota is new.
        """
        before, self.config = self.config, config
        held = self.core.gateway.settings
        made = derive.settings(config)
        # plans that are as they were stay the same objects: the module knows by that
        plans = (
            held.plans
            if self.identity is not None
            else tuple(next((old for old in held.plans if old == plan), plan) for plan in made.plans)
        )
        if (settings := replace(made, plans=plans)) != held or newcomer:
            self.core.apply_settings(settings, newcomer)
        self.door.settle(config, led)
        if config.fleet.static != before.fleet.static:
            self.core.update_fleet(FleetUpdate(ListKind.FULL, derive.static_entries(config)))
        if config.counter != before.counter:
            self._count()

    def stop(self) -> bool:
        """Stop accepting, finish what is held, close; False where something was still held at the end."""
        self.stopping = True
        until = self.steady.now() + self.config.limits.stop_ms
        if self.listener is not None:
            self.front.stop(self.listener)
        if self.forward_listener is not None and self.forward is not None:
            self.forward.stop(self.forward_listener)
        for front in (self.front, self.forward):
            if front is not None:
                front.clients.join(max(0.0, until - self.steady.now()) / 1000)
        done = not self.held
        if self.admin is not None:
            self.admin.stop()
        self.background.stop()
        gevent.killall(self.chores)
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
    def held(self) -> int:
        """Requests taken and not yet answered, by either front."""
        return self.front.held + (self.forward.held if self.forward is not None else 0)

    @property
    def ready(self) -> str:
        """Why requests can't be decided now; empty where they can."""
        if self.stopping:
            return "stopping"
        if why := self.hindrance():
            return why
        if not self.core.fleet:
            return "no list of servers yet"
        if self.identity is not None and self.identity.follower.tables is None:
            return "no word from the registry yet"
        return ""

    def _keep_time(self) -> None:
        while True:
            gevent.sleep(SLEW_EVERY_S)
            self.steady.slew()

    def _tidy(self) -> Iterator[float | None]:
        self.pool.prune_idle(self.core.fleet.__contains__)
        yield None
        self.core.limits.sweep(self.steady.now())

    def _feel(self) -> None:
        """How late this process runs what is due, for those who must not wait unseen, and that it turns."""
        while True:
            due = self.steady.now() + FEEL_MS
            gevent.sleep(FEEL_MS / 1000)
            self.turned_at = time.monotonic()
            self.core.on_loop_turn()
            if self.forward is not None:
                self.forward.gate.felt(self.steady.now() - due)

    def _tell_counts(self) -> None:
        self._log_counts("ingress.counts")

    def _log_counts(self, event: str) -> None:
        self.log(event, **self.counts())

    def counts(self) -> dict[str, Any]:
        """All counters, by part."""
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
            (self.forward.permits.counts | self.forward.counts | {"held": self.forward.permits.active})
            if self.forward
            else {}
        )
        return {
            "agreement": self.agreement(),
            "identity": identity,
            "forward": forward,
            "held": self.held,
            "requests": self.core.requests(),
            "front": self.front.counts,
            "tokens": self.introspector.checker.counts,
            "connections": self.pool.counts,
            "counter": counter,
            "recovery": self.recorder.counts if self.recorder is not None else {},
            "background": self.background.counts(),
            "open_limits": {"refused": self.core.limits.refused, "expired": self.core.limits.expired},
        }
