"""A day's clients: seeded arrivals, each call carried out by the client library or rudely, each try noted."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import gevent
from gevent import socket

from tamarindfold.client.budget import RetryBudget
from tamarindfold.client.core import (
    Answered,
    CallSpec,
    Broken,
    Event,
    Result,
    Rules,
    Unreached,
    Wait,
    Woke,
)
from tamarindfold.client.core import Call as Core
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.jitter import ReconnectSchedule
from tamarindfold.config.addresses import split_address
from tamarindfold.config.derive import backend_id
from tamarindfold.http1 import write
from tamarindfold.http1.responses import BadResponse
from tamarindfold.ingress import headers as names
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.ingress.pool import Connection, Pool
from tamarindfold.rehearsal.day import ClassFacts, Customers, Day, classes
from tamarindfold.rehearsal.day import Event as DayEvent
from tamarindfold.rehearsal.fleet import RunningFleet, token_name
from tamarindfold.standins.ledger import Ledger

BAD_TOKEN = "no-such-token"
SPREAD_MS = 500.0  # of reconnects; a day is a minute, not a shift
LINGER_MS = 400.0  # beyond the deadline, to see an answer that comes too late


@dataclass(slots=True)
class _Call:
    """One request of a customer; its tries share it."""

    number: int
    customer: str
    plan: str
    facts: ClassFacts
    units: int
    deadline_ms: float
    bad_token: bool
    tries: int = 0
    rude: bool = False


class Load:
    """All customers of a day against a running fleet; `ledger` holds what the clients saw."""

    def __init__(self, day: Day, fleet: RunningFleet) -> None:
        self.day, self.fleet, self.facts = day, fleet, classes(day)
        self.clock = SteadyClock().now
        self.ledger = Ledger(fleet.out / "ledgers" / "clients.jsonl")
        self.pool = Pool(20_000, 64, 2_000, 500, "", 1 << 20, self.clock)
        self.surges: list[tuple[DayEvent, float]] = []
        self.open = self.numbers = self.skipped = 0
        self.began = self.clock()
        self.random = Random(day.seed)
        self.greenlets: list[gevent.Greenlet] = []
        self.gateways: dict[tuple[str, int], Gateways] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.reconnects: dict[str, ReconnectSchedule] = {}

    def surge(self, event: DayEvent) -> None:
        """More traffic from now on, for the event's time."""
        self.surges.append((event, self.clock() + event.for_ms))

    def run(self) -> None:
        """Send until the day is over, then wait for what is still out."""
        self.began = self.clock()
        for group in self.day.customers:
            for i in range(group.count):
                self.greenlets.append(gevent.spawn(self._customer, group, i))
        gevent.joinall(self.greenlets)
        patience = max(f.deadline_ms for f in self.facts.values()) + LINGER_MS
        until = self.clock() + patience
        while self.open and self.clock() < until:
            gevent.sleep(0.05)

    # ---- arrivals

    def _factor(self, group: Customers) -> float:
        now, factor = self.clock(), 1.0
        for event, until in self.surges:
            if now < until and event.customers in ("", group.name):
                factor *= event.factor
        return factor

    def _customer(self, group: Customers, i: int) -> None:
        """Poisson arrivals of one customer, uneven over the gateways."""
        random = Random(f"{self.day.seed}/{group.name}/{i}")
        name = f"{group.name}-{i}"
        gateways = range(self.day.instances)
        leaning = [random.gammavariate(group.spread, 1.0) + 1e-9 for _ in gateways]
        until = self.began + self.day.duration_ms
        while True:
            gevent.sleep(random.expovariate(group.rate * self._factor(group)))
            now = self.clock()
            if now >= until:
                return
            cls = random.choices(list(group.mix), list(group.mix.values()))[0]
            units = random.choices(list(group.units), list(group.units.values()))[0]
            facts = self.facts[cls]
            patience = self.day.clients.patience_least
            left = facts.deadline_ms * (patience + (1 - patience) * random.random())
            bad = random.random() < self.day.clients.bad_tokens
            gateway = random.choices(gateways, leaning)[0]
            if group.through and random.random() < group.through:
                gateway = self.day.instances + random.randrange(len(self.day.proxies))
            if self.open >= self.day.clients.most_open:
                self.skipped += 1
                continue
            self.numbers += 1
            call = _Call(
                self.numbers, name, group.plan, facts, units, now + left, bad, rude=group.clients == "rude"
            )
            gevent.spawn(self._call, call, gateway, Random(f"{self.day.seed}/{self.numbers}"))

    # ---- one request

    def _call(self, call: _Call, gateway: int, random: Random) -> None:
        """One call to its end, by the client library or rudely."""
        self.open += 1
        try:
            if call.rude:
                self._rudely(call, gateway, random)
            else:
                self._by_library(call, gateway, random)
        finally:
            self.open -= 1

    def _by_library(self, call: _Call, gateway: int, random: Random) -> None:
        """The library decides; this is its driver. The day's draw says which gateway comes first."""
        facts = call.facts
        gateways = self.gateways.setdefault((call.customer, gateway), self._gateways(call.customer, gateway))
        budget = self.budgets.setdefault(call.customer, RetryBudget(0.5, 20.0))
        reconnects = self.reconnects.setdefault(
            call.customer,
            ReconnectSchedule(
                call.customer, SPREAD_MS, 100.0, 5_000.0, Random(f"{self.day.seed}/{call.customer}").random
            ),
        )
        ask = CallSpec(facts.effect, call.deadline_ms, facts.window_ms)
        rules = Rules(most_tries=self.day.clients.retries + 1)
        core = Core(rules, ask, gateways, budget, reconnects, random.random)
        action = core.start(self.clock())
        while not isinstance(action, Result):
            if isinstance(action, Wait):
                gevent.sleep(max(0.0, action.until_ms - self.clock()) / 1000)
                event: Event = Woke()
            else:
                event = self._try(call, int(action.gateway), action.retry)
            action = core.handle(self.clock(), event)
        self.ledger.record(
            self.clock(), "ended", call=call.number, outcome=action.outcome.value, tries=action.tries
        )

    def _gateways(self, customer: str, first: int) -> Gateways:
        made = Gateways([str(i) for i in self._alike(first)], customer, Random(customer).random)
        made.order.sort(key=lambda name: name != str(first))
        return made

    def _alike(self, door: int) -> range:
        """The doors of one kind: the instances, or the proxies."""
        most = self.day.instances
        return range(most) if door < most else range(most, most + len(self.day.proxies))

    def _rudely(self, call: _Call, gateway: int, random: Random) -> None:
        """Again at once, another gateway, whatever was said; only a switch that may have run is let be."""
        while self.clock() < call.deadline_ms and call.tries <= self.day.clients.retries:
            event = self._try(call, gateway, False)
            said = event.headers.get("tamarind-outcome") if isinstance(event, Answered) else ""
            unsure = isinstance(event, Broken) or said == "failed"
            if said in ("served", "rejected") or (unsure and call.facts.effect != "safe"):
                return
            doors = self._alike(gateway)
            gateway = doors[(doors.index(gateway) + 1) % len(doors)]
            gevent.sleep(0.005 * random.random())

    def _try(self, call: _Call, gateway: int, retry: bool) -> Event:
        """One try: what came of it."""
        name, call.tries = f"c{call.number}.{call.tries}", call.tries + 1
        facts, now = call.facts, self.clock()
        address = split_address(self.fleet.doors[gateway].address, "gateway")
        backend = backend_id(*address)
        connection = None
        try:
            try:
                connection = self.pool.acquire_idle(backend) if facts.effect != "unsafe" else None
                connection = connection or self.pool.connect(backend, address, 0.5)
            except OSError:
                self.ledger.record(self.clock(), "unreached", **{"try": name}, gateway=gateway)
                return Unreached()
            plan = self.fleet.book.plan_at(call.customer, now) if self.fleet.book else call.plan
            self.ledger.record(
                now,
                "sent",
                **{"try": name},
                call=call.number,
                cls=facts.name,
                units=call.units,
                customer=call.customer,
                plan=plan,
                gateway=gateway,
                retry=retry,
                deadline=round(call.deadline_ms, 3),
                bad_token=call.bad_token,
                rude=call.rude,
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

    def _exchange(self, call: _Call, connection: Connection, name: str, retry: bool) -> Event:
        facts, reader = call.facts, connection.reader
        token = BAD_TOKEN if call.bad_token else self._token(call.customer)
        left = max(1.0, call.deadline_ms - self.clock())
        headers = [
            (b"authorization", b"Bearer " + token.encode()),
            (names.REQUEST, name.encode()),
            (names.UNITS, b"%d" % call.units),
            (names.TIME_LEFT, b"%d" % left),
        ]
        if retry:
            headers.append((names.RETRY, b"1"))
        if facts.effect == "keyed":
            headers.append((names.IDEMPOTENCY_KEY, b"key-%d" % call.number))
        path = facts.path + (str(call.number) if facts.path.endswith("/") else "")
        body = b'{"call":%d}' % call.number if facts.method == "POST" else b""
        reader.begin()
        sock = connection.sock
        sock.settimeout((left + LINGER_MS) / 1000)
        sock.sendall(write.request(facts.method, path.encode(), b"gateway", headers, body))
        while not reader.complete:
            sock.settimeout(max(0.001, (call.deadline_ms + LINGER_MS - self.clock()) / 1000))
            data = sock.recv(65536)
            if data:
                reader.feed(data)
            elif not reader.end():
                raise ConnectionResetError("closed before the answer was whole")
        outcome = (reader.get(names.OUTCOME) or b"").decode()
        wait = float(reader.get(names.RETRY_AFTER_MS) or 0)
        self.ledger.record(
            self.clock(),
            "answered",
            **{"try": name},
            status=reader.status,
            outcome=outcome,
            wait=wait,
            server=self._server(reader.body) if outcome == "served" else "",
        )
        if self._second(sock):
            self.ledger.record(self.clock(), "answered_again", **{"try": name})
        return Answered(reader.status, {n.decode(): v.decode("latin-1") for n, v in reader.headers})

    def _token(self, customer: str) -> str:
        """A key of the customer where there is a registry, else its token of this turn."""
        if self.fleet.book is not None:
            return self.fleet.book.key(customer, self.clock(), self.random)
        life = self.day.tokens.exp_in_ms
        return token_name(customer, int((self.clock() - self.began) / life) if life else 0)

    @staticmethod
    def _second(sock: socket.socket) -> bool:
        """Whether bytes lie there beyond the one answer."""
        try:
            return bool(sock._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @staticmethod
    def _server(body: bytes) -> str:
        return body[:64].decode(errors="replace")
