"""The front that proxies ask for each request: permit it with the chosen server, or refuse it.

Same door, same core, same module as the proxy front. A permit is an attempt that the proxy carries out: its
outcome is what is reported, and where nothing is, it lapses, which is neither a success nor a fault.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

import msgspec
from gevent.event import Event

from tamarindfold.config.derive import backend_address
from tamarindfold.config.model import GatewayConfig
from tamarindfold.forward.addresses import Trust
from tamarindfold.forward.gate import Gate
from tamarindfold.forward.original import Names, original
from tamarindfold.forward.permits import Ask, Owed, Permits, Told, outcome
from tamarindfold.forward.reports import Report, read
from tamarindfold.http1 import write
from tamarindfold.http1.requests import Headers, Rejected, Request
from tamarindfold.ingress import answers
from tamarindfold.ingress import headers as names
from tamarindfold.ingress.admission import Asked
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.door import Door
from tamarindfold.ingress.exchange import Exchange, Failed, Final, PermitLapsed, ClientLeft, Refused, Served
from tamarindfold.ingress.front import Front, Pressed, TokenConnection
from tamarindfold.ingress.timers import Timers
from tamarindfold.ingress.upstream import Attempt
from tamarindfold.interface import Outcome, Why

REPORT = b"/report"
_TOLD = {Told.UNKNOWN: 404, Told.ELSEWHERE: 421}  # RFC 9110 section 15.5.20: the request is misdirected
_PASSED_ON = (401, 403)  # what proxies of the auth_request kind pass on; all else is an error to them


@dataclass(slots=True)
class Permit:
    """A request that was let pass: what the proxy was told, to be told again if it asks again."""

    attempt: Attempt
    answer: bytes


@dataclass(slots=True)
class Decision:
    """One being made, for those who ask a second time meanwhile. `answer`: None where the asker left."""

    made: Event
    answer: bytes | None = None


class ForwardFront(Front):
    """Answers proxies' sub-requests and takes their reports."""

    def __init__(
        self,
        config: GatewayConfig,
        core: Core,
        door: Door,
        timers: Timers,
        clock: Callable[[], float],
        log: Callable[..., None],
        number: int,
    ) -> None:
        section = config.forward
        assert section is not None
        super().__init__(config, core, door, timers, clock, log, number, section.connections)
        told = section.names
        self.section, self.trust = section, Trust(section.trusted)
        self.names = Names.of(told.method, told.uri, told.host, section.prefix, section.hosts)
        self.name_header = told.request.lower().encode()
        self.permits: Permits[Permit, Decision] = Permits(
            number, section.most_permits, section.most_repeats, section.most_remembered, section.remember_ms
        )
        self.gate = Gate(
            [c.worth for c in config.classes], section.most_deciding, section.decide_ms, config.instance.seed
        )
        self.index = b"%d" % number
        self.chooses = section.form == "report"
        self.connection = _Sub
        self.prefix += b"f"  # the proxy front numbers its requests alike
        self.counts |= {"untrusted": 0, "permits": 0, "bodies_not_come": 0, "pressed": 0, "in_doubt": 0}

    def settle(self, report: Report) -> Told:
        """A report came: what was done with it."""
        told, found = self.permits.report(report, self.clock())
        if isinstance(found, Permit):
            self._settle(found, report)
        elif isinstance(found, Owed):
            self.passed(found)
        return told

    def _settle(self, permit: Permit, report: Report) -> None:
        how = outcome(report)
        served = Served(report.status, [], b"") if how is Outcome.OK else None
        if served is None:  # the proxy has answered: no further attempt
            self.core.withdraw(permit.attempt.exchange, Failed(False))
        self._end(permit, how, report.elapsed_ms, served, report.units)

    def passed(self, owed: Owed) -> None:
        """The proxy let through what was not permitted: it was used, so it is counted."""
        self.core.record_unpermitted_use(owed.customer, owed.plan, owed.units, self.width)

    def lapse(self, name: str, until_ms: float) -> None:
        """Nothing was reported in time."""
        permit = self.permits.lapse(name, until_ms, self.clock())
        if permit is not None:
            self.core.withdraw(permit.attempt.exchange, PermitLapsed())
            self._end(permit, Outcome.CANCELLED, 0.0, None, 0.0)

    def _end(
        self, permit: Permit, how: Outcome, elapsed_ms: float, served: Served | None, units: float
    ) -> None:
        attempt = permit.attempt
        assert self.core.sender is not None
        self.core.sender.forget(attempt)
        if units > self.core.gateway.settings.most_units:
            self.log("forward.bad_units", value=units)
            units = 0.0
        self.core.attempt_ended(
            attempt.exchange, attempt.number, attempt.backend, how, elapsed_ms, served, units
        )


class _Sub(TokenConnection):
    """A proxy's connection: sub-requests and reports."""

    front: ForwardFront
    believed: bool | None = None  # whether this peer is one of the proxies; looked up once
    placed = False  # whether it holds one of the gate's places
    as_403 = False  # whether refusals are to be ones that any proxy passes on
    named = False  # whether the proxy named the request

    # ---- what a proxy sends

    def _without_body(self) -> Request | None:
        """Proxies drop the body of a sub-request and may leave its announced length: it is not waited for."""
        request = self.reader.head()
        if request is None or request.target == REPORT:
            return None
        self.front.counts["bodies_not_come"] += 1
        return request

    def phase_ms(self, phase: int) -> float:
        """Other bodies than those of reports may be left out."""
        head = self.reader.head()
        waits = phase < 2 or head is None or head.target == REPORT
        return super().phase_ms(phase) if waits else self.front.section.body_ms

    def _answer(self, request: Request) -> bytes:
        front = self.front
        self.as_403 = front.section.refusals == "as_403"
        try:
            if self.believed is None:
                self.believed = self.peer in front.trust
            if not self.believed:
                front.counts["untrusted"] += 1
                raise Rejected(403, "this peer's word is not believed")
            if request.target == REPORT:
                return self._report(request)
            asked = original(request, front.names)
            client = front.trust.client(self.peer, request.headers)
            named = request.get(front.name_header)
            if (wanted := request.get(names.REFUSALS)) is not None:
                self.as_403 = wanted == b"as_403"
        except Rejected as fault:
            front.counts["rejected"] += 1
            return self._fit(answers.rejected(fault, keep_alive=self.keep), fault.status)
        self.named = named is not None
        if named is not None:  # the proxy's name goes before the client's
            kept = [pair for pair in asked.headers if pair[0] != names.REQUEST]
            asked.headers = [*kept, (names.REQUEST, named)]
        return self._sub_request(asked, client)

    def _report(self, request: Request) -> bytes:
        """POST /report: one report, or one a line; nonsense is 400 and then nothing of it is taken."""
        if request.method != "POST":
            raise Rejected(405, "reports are posted")
        told = [self.front.settle(report) for report in read(request.body)]
        counts: dict[str, int] = {}
        for one in told:
            counts[one.value] = counts.get(one.value, 0) + 1
        status = _TOLD.get(told[0], 200) if len(told) == 1 else 200  # a shipper must not send a batch again
        return write.response(
            status, [(b"content-type", b"application/json")], msgspec.json.encode(counts), self.keep
        )

    # ---- what it is answered

    def _sub_request(self, asked: Request, client: str) -> bytes:
        """Decide one sub-request within the time that a decision may take."""
        self.placed = False
        try:
            entered = self._enter(asked, client)
            if isinstance(entered, bytes):
                return self._fit(entered, int(entered[9:12]))
            return self._once(entered)
        finally:
            if self.placed:
                self.front.gate.leave()

    def _take_up(self, asked: Asked) -> None:
        """Before anything costly: whether the front has time for a request of this class."""
        wait = self.front.gate.enter(asked.cls)
        if wait is not None:
            self.front.counts["pressed"] += 1
            raise Pressed(wait)
        self.placed = True

    def _once(self, exchange: Exchange) -> bytes:
        """One decision for each name, however often it is asked about."""
        front, name = self.front, exchange.name.decode()
        decision = Decision(Event())
        # a name that only the client gave is no sign of a repeat: it would be a way past the quota
        what = (
            (exchange.customer, exchange.cls, exchange.units, exchange.method, exchange.target)
            if self.named
            else object()
        )
        while True:
            how, entry = front.permits.ask(name, what, decision, front.clock())
            if how is Ask.AGAIN and entry is not None and entry.permit is not None:
                return entry.permit.answer
            if how is Ask.JOIN and entry is not None and (first := entry.decision) is not None:
                if first.made.wait(max(0.0, self._decide_by(exchange) - front.clock()) / 1000):
                    if first.answer is not None:
                        return first.answer
                    continue  # whoever asked first is gone, and nothing was counted: this one asks now
                return self._refusal(exchange, Refused(front.section.decide_ms, Why.PRESSURE))
            if how is Ask.FULL:
                front.counts["full"] += 1
                return self._refusal(exchange, Refused(front.section.decide_ms, Why.PRESSURE))
            if how is Ask.NEW:
                break
            exchange.name = front.prefix + b"%x" % exchange.number
            name = exchange.name.decode()
        try:
            return self._decide(exchange, name, decision)
        except BaseException:  # this greenlet is being ended: whoever joined it asks by itself
            if front.permits.names[name].decision is decision:
                self._made(decision, exchange, name, ClientLeft())
            raise

    def _decide(self, exchange: Exchange, name: str, decision: Decision) -> bytes:
        """Hand it to the module and wait for its word, for the proxy to leave, or for the time to be up."""
        front, core = self.front, self.front.core
        sender = core.sender
        assert sender is not None
        self._watch(exchange)
        try:
            core.submit(exchange)
            while exchange.pending_attempts or exchange.final is None:
                if exchange.pending_attempts:
                    attempt = exchange.pending_attempts.pop(0)
                    if core.reason_not_to_send(exchange, attempt.entry):
                        sender.forget(attempt)
                        core.attempt_ended(exchange, attempt.number, attempt.backend, Outcome.MOOT, 0.0)
                        continue
                    return self._give(exchange, attempt, name, decision)
                if not self._wait(exchange, self._decide_by(exchange)):
                    front.counts["overdue"] += 1  # nothing was sent: to refuse it is the truth
                    core.withdraw(exchange, Refused(front.section.decide_ms, Why.PRESSURE))
        finally:
            self._unwatch(exchange)
            if exchange.final is None and exchange.number in core.open_exchanges and not exchange.written:
                core.withdraw(exchange, ClientLeft())  # this greenlet is being ended
        assert exchange.final is not None
        return self._made(decision, exchange, name, exchange.final)

    def _decide_by(self, exchange: Exchange) -> float:
        return min(self.began_ms + self.front.section.decide_ms, exchange.deadline_ms)

    def _made(self, decision: Decision, exchange: Exchange, name: str, final: Final) -> bytes:
        """Decided, and not to pass; what passed before by the proxy's own will is counted."""
        front = self.front
        owed = front.permits.refuse(
            name, Owed(exchange.customer, exchange.plan, exchange.units), front.clock()
        )
        if owed is not None:
            front.passed(owed)
        answer = self._refusal(exchange, final)
        if not isinstance(final, ClientLeft):
            decision.answer = answer
        decision.made.set()
        return answer

    def _refusal(self, exchange: Exchange, final: Final) -> bytes:
        answer = answers.final(final, exchange.name, self.keep)
        return self._fit(answer, int(answer[9:12])) if answer else answer

    def _fit(self, answer: bytes, status: int) -> bytes:
        """For proxies that pass only 401 and 403 on: the status that was meant stands in a header."""
        if not self.as_403 or status in _PASSED_ON or status < 400:
            return answer
        rest = answer.partition(b"\r\n")[2]
        return b"HTTP/1.1 403 Forbidden\r\n" + names.STATUS + b": %d\r\n" % status + rest

    def _give(self, exchange: Exchange, attempt: Attempt, name: str, decision: Decision) -> bytes:
        """Let it pass: whose it is, where to, and how long there is."""
        front, now = self.front, self.front.clock()
        section, settings = front.section, front.core.gateway.settings
        own: Headers = [
            (names.OUTCOME, b"permitted"),
            (names.REQUEST, exchange.name),
            (names.INSTANCE, front.index),
            (names.CUSTOMER, b"%d" % exchange.customer),
            (names.CLASS, settings.classes[exchange.cls].name.encode()),
            (names.PLAN, settings.plans[exchange.plan].name.encode()),
            (names.UNITS, b"%g" % exchange.units),
            (names.TIME_LEFT, b"%d" % max(1, exchange.give_up_ms - now)),
            *(pair for pair in exchange.headers if pair[0] == names.ZONE),
        ]
        if front.chooses:
            host, port = backend_address(attempt.backend)
            own.append((names.SERVER, f"{host}:{port}".encode()))
        answer = decision.answer = write.response(200, own, b"", True)
        until = exchange.deadline_ms + section.lapse_ms if front.chooses else now + section.hold_ms
        permit = Permit(attempt, answer)
        front.counts["permits"] += 1
        exchange.written += 1
        early = front.permits.permit(name, permit, until)
        decision.made.set()
        if early is not None:
            front.settle(early)
        elif until <= now:
            front.lapse(name, until)
        else:
            front.timers.schedule(until, partial(front.lapse, name, until))
        return answer

    def _check_by(self) -> float:
        return self.began_ms + self.front.section.decide_ms

    def _in_doubt(self, name: bytes) -> None:
        """Should the proxy let it pass all the same, it can be charged to nobody; that is remembered."""
        front = self.front
        front.counts["in_doubt"] += 1
        text = name.decode()
        how, _ = front.permits.ask(text, None, Decision(Event()), front.clock())
        if how is Ask.NEW:
            front.permits.refuse(text, None, front.clock())

    def _last_words(self, answer: bytes) -> None:
        with suppress(OSError):
            super()._last_words(answer)
