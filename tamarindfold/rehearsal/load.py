"""The clients of a scenario: seeded arrivals of calls, and a ledger of every try.

A call is carried out by the client library, or by an uncooperative client that retries at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import gevent
from gevent import socket

from tamarindfold.client.budget import RetryBudget
from tamarindfold.client.core import (
    Answered,
    Broken,
    CallSpec,
    Result,
    Rules,
    Unreached,
    Wait,
    Woke,
)
from tamarindfold.client.core import Call as ClientCore
from tamarindfold.client.core import Event as ClientEvent
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.jitter import ReconnectSchedule
from tamarindfold.config.addresses import split_address
from tamarindfold.config.derive import backend_id
from tamarindfold.http1 import write
from tamarindfold.http1.responses import BadResponse
from tamarindfold.ingress import headers as names
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.ingress.pool import Connection, Pool
from tamarindfold.rehearsal.fleet import RunningFleet, token_name
from tamarindfold.rehearsal.scenario import ClassInfo, CustomerGroup, Scenario, ScenarioEvent, routed_classes
from tamarindfold.standins.ledger import Ledger

BAD_TOKEN = "no-such-token"
RECONNECT_SPREAD_MS = 500.0  # short, as a scenario lasts about a minute
LINGER_MS = 400.0  # wait after the deadline, to record late answers


@dataclass(slots=True)
class _Call:
    """One call of a customer, shared by its tries."""

    number: int
    customer: str
    plan: str
    cls_info: ClassInfo
    units: int
    deadline_ms: float
    bad_token: bool
    tries: int = 0
    uncooperative: bool = False


class LoadGenerator:
    """Generates the load of all customers. `ledger` records what the clients sent and received."""

    def __init__(self, scenario: Scenario, fleet: RunningFleet) -> None:
        self.scenario, self.fleet, self.classes = scenario, fleet, routed_classes(scenario)
        self.clock = SteadyClock().now
        self.ledger = Ledger(fleet.out / "ledgers" / "clients.jsonl")
        self.pool = Pool(20_000, 64, 2_000, 500, "", 1 << 20, self.clock)
        self.active_surges: list[tuple[ScenarioEvent, float]] = []
        self.open_calls = self.calls_started = self.skipped_calls = 0
        self.started_at = self.clock()
        self.random = Random(scenario.seed)
        self.greenlets: list[gevent.Greenlet] = []
        self.gateways: dict[tuple[str, int], Gateways] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.reconnects: dict[str, ReconnectSchedule] = {}

    def surge(self, event: ScenarioEvent) -> None:
        """Multiply the traffic by the event's factor, for the event's duration."""
        self.active_surges.append((event, self.clock() + event.for_ms))

    def run(self) -> None:
        """Send until the scenario is over, then wait for the calls that are still open."""
        self.started_at = self.clock()
        for group in self.scenario.customers:
            for i in range(group.count):
                self.greenlets.append(gevent.spawn(self._customer, group, i))
        gevent.joinall(self.greenlets)
        max_wait_ms = max(f.deadline_ms for f in self.classes.values()) + LINGER_MS
        until = self.clock() + max_wait_ms
        while self.open_calls and self.clock() < until:
            gevent.sleep(0.05)

    # ---- arrivals

    def _rate_factor(self, group: CustomerGroup) -> float:
        now, factor = self.clock(), 1.0
        for event, until in self.active_surges:
            if now < until and event.customers in ("", group.name):
                factor *= event.factor
        return factor

    def _customer(self, group: CustomerGroup, i: int) -> None:
        """Poisson arrivals of one customer, unevenly distributed over the gateways."""
        random = Random(f"{self.scenario.seed}/{group.name}/{i}")
        name = f"{group.name}-{i}"
        gateways = range(self.scenario.instances)
        gateway_weights = [random.gammavariate(group.spread, 1.0) + 1e-9 for _ in gateways]
        until = self.started_at + self.scenario.duration_ms
        while True:
            gevent.sleep(random.expovariate(group.rate * self._rate_factor(group)))
            now = self.clock()
            if now >= until:
                return
            cls = random.choices(list(group.mix), list(group.mix.values()))[0]
            units = random.choices(list(group.units), list(group.units.values()))[0]
            cls_info = self.classes[cls]
            min_ratio = self.scenario.clients.patience_least
            time_left_ms = cls_info.deadline_ms * (min_ratio + (1 - min_ratio) * random.random())
            bad_token = random.random() < self.scenario.clients.bad_tokens
            gateway = random.choices(gateways, gateway_weights)[0]
            if group.through and random.random() < group.through:
                gateway = self.scenario.instances + random.randrange(len(self.scenario.proxies))
            if self.open_calls >= self.scenario.clients.most_open:
                self.skipped_calls += 1
                continue
            self.calls_started += 1
            call = _Call(
                self.calls_started,
                name,
                group.plan,
                cls_info,
                units,
                now + time_left_ms,
                bad_token,
                uncooperative=group.clients == "rude",
            )
            gevent.spawn(self._call, call, gateway, Random(f"{self.scenario.seed}/{self.calls_started}"))

    # ---- one call

    def _call(self, call: _Call, gateway: int, random: Random) -> None:
        """Carry out one call, by the client library or uncooperatively."""
        self.open_calls += 1
        try:
            if call.uncooperative:
                self._retry_immediately(call, gateway, random)
            else:
                self._run_library(call, gateway, random)
        finally:
            self.open_calls -= 1

    def _run_library(self, call: _Call, gateway: int, random: Random) -> None:
        """Drive the client library, which decides on retries. gateway: the one to start with."""
        cls_info = call.cls_info
        gateways = self.gateways.setdefault((call.customer, gateway), self._gateways(call.customer, gateway))
        budget = self.retry_budgets.setdefault(call.customer, RetryBudget(0.5, 20.0))
        reconnects = self.reconnects.setdefault(
            call.customer,
            ReconnectSchedule(
                call.customer,
                RECONNECT_SPREAD_MS,
                100.0,
                5_000.0,
                Random(f"{self.scenario.seed}/{call.customer}").random,
            ),
        )
        spec = CallSpec(cls_info.effect, call.deadline_ms, cls_info.window_ms)
        rules = Rules(most_tries=self.scenario.clients.retries + 1)
        core = ClientCore(rules, spec, gateways, budget, reconnects, random.random)
        action = core.start(self.clock())
        while not isinstance(action, Result):
            if isinstance(action, Wait):
                gevent.sleep(max(0.0, action.until_ms - self.clock()) / 1000)
                event: ClientEvent = Woke()
            else:
                event = self._try(call, int(action.gateway), action.retry)
            action = core.handle(self.clock(), event)
        self.ledger.record(
            self.clock(), "ended", call=call.number, outcome=action.outcome.value, tries=action.tries
        )

    def _gateways(self, customer: str, first: int) -> Gateways:
        """The gateways that a customer may use, beginning with `first`."""
        gateways = Gateways(
            [str(i) for i in self._entry_points_like(first)], customer, Random(customer).random
        )
        gateways.order.sort(key=lambda name: name != str(first))
        return gateways

    def _entry_points_like(self, entry_point: int) -> range:
        """The entry points of the same kind as this one: all instances, or all proxies."""
        instances = self.scenario.instances
        if entry_point < instances:
            return range(instances)
        return range(instances, instances + len(self.scenario.proxies))

    def _retry_immediately(self, call: _Call, gateway: int, random: Random) -> None:
        """Retry at once at the next gateway, ignoring retry-after, unless an unsafe call may have run."""
        while self.clock() < call.deadline_ms and call.tries <= self.scenario.clients.retries:
            event = self._try(call, gateway, False)
            outcome = event.headers.get("tamarind-outcome") if isinstance(event, Answered) else ""
            may_have_run = isinstance(event, Broken) or outcome == "failed"
            if outcome in ("served", "rejected") or (may_have_run and call.cls_info.effect != "safe"):
                return
            entry_points = self._entry_points_like(gateway)
            gateway = entry_points[(entry_points.index(gateway) + 1) % len(entry_points)]
            gevent.sleep(0.005 * random.random())

    def _try(self, call: _Call, gateway: int, retry: bool) -> ClientEvent:
        """Make one try, and return the event for the client library."""
        name, call.tries = f"c{call.number}.{call.tries}", call.tries + 1
        cls_info, now = call.cls_info, self.clock()
        address = split_address(self.fleet.entry_points[gateway].address, "gateway")
        backend = backend_id(*address)
        connection = None
        try:
            try:
                connection = self.pool.acquire_idle(backend) if cls_info.effect != "unsafe" else None
                connection = connection or self.pool.connect(backend, address, 0.5)
            except OSError:
                self.ledger.record(self.clock(), "unreached", **{"try": name}, gateway=gateway)
                return Unreached()
            operator = self.fleet.registry_operator
            plan = operator.plan_at(call.customer, now) if operator else call.plan
            self.ledger.record(
                now,
                "sent",
                **{"try": name},
                call=call.number,
                cls=cls_info.name,
                units=call.units,
                customer=call.customer,
                plan=plan,
                gateway=gateway,
                retry=retry,
                deadline=round(call.deadline_ms, 3),
                bad_token=call.bad_token,
                rude=call.uncooperative,
            )
            return self._exchange(call, connection, name, retry)
        except (OSError, BadResponse) as error:
            self.ledger.record(self.clock(), "broken", **{"try": name}, how=type(error).__name__)
            return Broken()
        finally:
            if connection is not None:
                if connection.reader.complete:
                    self.pool.release(connection)
                else:
                    self.pool.close(connection)

    def _exchange(self, call: _Call, connection: Connection, name: str, retry: bool) -> ClientEvent:
        cls_info, reader = call.cls_info, connection.reader
        token = BAD_TOKEN if call.bad_token else self._token(call.customer)
        time_left_ms = max(1.0, call.deadline_ms - self.clock())
        headers = [
            (b"authorization", b"Bearer " + token.encode()),
            (names.REQUEST, name.encode()),
            (names.UNITS, b"%d" % call.units),
            (names.TIME_LEFT, b"%d" % time_left_ms),
        ]
        if retry:
            headers.append((names.RETRY, b"1"))
        if cls_info.effect == "keyed":
            headers.append((names.IDEMPOTENCY_KEY, b"key-%d" % call.number))
        path = cls_info.path + (str(call.number) if cls_info.path.endswith("/") else "")
        body = b'{"call":%d}' % call.number if cls_info.method == "POST" else b""
        reader.begin()
        sock = connection.sock
        sock.settimeout((time_left_ms + LINGER_MS) / 1000)
        sock.sendall(write.request(cls_info.method, path.encode(), b"gateway", headers, body))
        while not reader.complete:
            sock.settimeout(max(0.001, (call.deadline_ms + LINGER_MS - self.clock()) / 1000))
            data = sock.recv(65536)
            if data:
                reader.feed(data)
            elif not reader.end():
                raise ConnectionResetError("connection closed before the answer was complete")
        outcome = (reader.get(names.OUTCOME) or b"").decode()
        retry_after_ms = float(reader.get(names.RETRY_AFTER_MS) or 0)
        self.ledger.record(
            self.clock(),
            "answered",
            **{"try": name},
            status=reader.status,
            outcome=outcome,
            wait=retry_after_ms,
            server=self._server(reader.body) if outcome == "served" else "",
        )
        if self._has_extra_bytes(sock):
            self.ledger.record(self.clock(), "answered_again", **{"try": name})
        return Answered(reader.status, {n.decode(): v.decode("latin-1") for n, v in reader.headers})

    def _token(self, customer: str) -> str:
        """A key of the customer if there is a registry, else its token of the current period."""
        if self.fleet.registry_operator is not None:
            return self.fleet.registry_operator.current_key(customer, self.clock(), self.random)
        lifetime_ms = self.scenario.tokens.exp_in_ms
        period = int((self.clock() - self.started_at) / lifetime_ms) if lifetime_ms else 0
        return token_name(customer, period)

    @staticmethod
    def _has_extra_bytes(sock: socket.socket) -> bool:
        """Whether more bytes were received after the complete answer."""
        try:
            return bool(sock._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @staticmethod
    def _server(body: bytes) -> str:
        return body[:64].decode(errors="replace")
