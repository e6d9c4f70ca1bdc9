"""The forward-auth front: proxies send it a sub-request for each request, which it permits or refuses.

It shares authentication, core and decision module with the proxy front. A permit names the chosen server and
is an attempt that the proxy carries out, whose outcome the proxy reports. A permit without a report lapses,
which counts neither as a success nor as a fault of the server.
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
from tamarindfold.ds.memory import MemoryBudget
from tamarindfold.forward.addresses import TrustedProxies
from tamarindfold.forward.gate import Gate
from tamarindfold.forward.original import OriginalRequestHeaders, parse_original_request
from tamarindfold.forward.permits import (
    Permits,
    ReportResult,
    SubRequestStep,
    UnpermittedUse,
    attempt_outcome,
)
from tamarindfold.forward.reports import Report, parse_reports
from tamarindfold.http1 import write
from tamarindfold.http1.requests import Headers, Rejected, Request
from tamarindfold.ingress import headers as names
from tamarindfold.ingress import responses
from tamarindfold.ingress.admission import RequestParameters
from tamarindfold.ingress.attempt import Attempt
from tamarindfold.ingress.authentication import Authenticator
from tamarindfold.ingress.connection import Phase
from tamarindfold.ingress.core import Core
from tamarindfold.ingress.exchange import ClientLeft, Exchange, Failed, Final, PermitLapsed, Refused, Served
from tamarindfold.ingress.front import AuthenticatedConnection, Front, Overloaded
from tamarindfold.ingress.timers import Timers
from tamarindfold.interface import Outcome, Why

REPORT = b"/report"
# 421 Misdirected Request: RFC 9110 section 15.5.20
_REPORT_STATUS = {ReportResult.UNKNOWN: 404, ReportResult.OTHER_INSTANCE: 421}
_STATUS_DIGITS = slice(9, 12)  # in a rendered response, behind "HTTP/1.1 "
_RELAYED_STATUSES = (401, 403)  # proxies with auth_request (nginx) treat every other status as an error


@dataclass(slots=True)
class Permit:
    """A permitted request, with the response to send again if the proxy repeats its sub-request."""

    attempt: Attempt
    response: bytes


@dataclass(slots=True)
class Decision:
    """A decision that repeated sub-requests wait for.

    `response` stays None if the connection of the first sub-request ended before the decision.
    """

    made: Event
    response: bytes | None = None


class ForwardAuthFront(Front):
    """Answers sub-requests of proxies and receives their reports."""

    def __init__(
        self,
        config: GatewayConfig,
        core: Core,
        authenticator: Authenticator,
        timers: Timers,
        clock: Callable[[], float],
        log: Callable[..., None],
        number: int,
        memory: MemoryBudget,
    ) -> None:
        section = config.forward
        assert section is not None
        super().__init__(config, core, authenticator, timers, clock, log, number, section.connections, memory)
        header_names = section.names
        self.section, self.trust = section, TrustedProxies(section.trusted)
        self.original_headers = OriginalRequestHeaders.from_config(
            header_names.method, header_names.uri, header_names.host, section.prefix, section.hosts
        )
        self.name_header = header_names.request.lower().encode()
        self.permits: Permits[Permit, Decision] = Permits(
            number, section.most_permits, section.most_repeats, section.most_remembered, section.remember_ms
        )
        self.gate = Gate(
            [c.worth for c in config.classes], section.most_deciding, section.decide_ms, config.instance.seed
        )
        self.index = b"%d" % number
        self.selects_server = section.form == "report"
        self.connection_type = _ProxyConnection
        self.name_prefix += b"f"  # the proxy front counts with the same numbers
        self.counts |= {"untrusted": 0, "permits": 0, "bodies_not_come": 0, "pressed": 0, "in_doubt": 0}

    def apply_report(self, report: Report) -> ReportResult:
        """Apply a proxy's report and return the result."""
        result, found = self.permits.report(report, self.clock())
        if isinstance(found, Permit):
            self._conclude_permit(found, report)
        elif isinstance(found, UnpermittedUse):
            self.charge_unpermitted_use(found)
        return result

    def _conclude_permit(self, permit: Permit, report: Report) -> None:
        result = attempt_outcome(report)
        served = Served(report.status, [], b"") if result is Outcome.OK else None
        if served is None:  # the proxy has answered its client: there is no further attempt
            self.core.withdraw(permit.attempt.exchange, Failed(False))
        self._end_attempt(permit, result, report.elapsed_ms, served, report.units)

    def charge_unpermitted_use(self, use: UnpermittedUse) -> None:
        """Count a request that the proxy let through without a permit."""
        self.core.record_unpermitted_use(use.customer, use.plan, use.units, self.width)

    def lapse_permit(self, name: str, until_ms: float) -> None:
        """End a permit whose report did not arrive in time."""
        permit = self.permits.lapse(name, until_ms, self.clock())
        if permit is not None:
            self.core.withdraw(permit.attempt.exchange, PermitLapsed())
            self._end_attempt(permit, Outcome.CANCELLED, 0.0, None, 0.0)

    def _end_attempt(
        self, permit: Permit, result: Outcome, elapsed_ms: float, served: Served | None, units: float
    ) -> None:
        attempt = permit.attempt
        assert self.core.sender is not None
        self.core.sender.forget(attempt)
        if units > self.core.gateway.settings.most_units:
            self.log("forward.bad_units", value=units)
            units = 0.0
        self.core.attempt_ended(
            attempt.exchange, attempt.number, attempt.backend, result, elapsed_ms, served, units
        )


class _ProxyConnection(AuthenticatedConnection):
    """A connection of a proxy, for sub-requests and reports."""

    front: ForwardAuthFront
    trusted: bool | None = None  # whether the peer is a configured proxy; looked up once
    holds_slot = False  # whether the current sub-request occupies a slot of the gate
    refuse_with_403 = False  # whether statuses that some proxies do not pass on are replaced by 403
    named_by_proxy = False  # whether the proxy, not the client, named the request

    # ---- requests of proxies

    def _request_without_body(self) -> Request | None:
        """Proxies drop a sub-request's body but may keep its content-length: proceed without the body."""
        request = self.reader.head()
        if request is None or request.target == REPORT:
            return None
        self.front.counts["bodies_not_come"] += 1
        return request

    def phase_timeout_ms(self, phase: Phase) -> float:
        """The body of a sub-request may never come, so it has a time-out of its own."""
        head = self.reader.head()
        needs_body = phase < Phase.BODY or head is None or head.target == REPORT
        return super().phase_timeout_ms(phase) if needs_body else self.front.section.body_ms

    def _handle(self, request: Request) -> bytes:
        front = self.front
        self.refuse_with_403 = front.section.refusals == "as_403"
        try:
            if self.trusted is None:
                self.trusted = self.peer in front.trust
            if not self.trusted:
                front.counts["untrusted"] += 1
                raise Rejected(403, "this peer's word is not believed")
            if request.target == REPORT:
                return self._handle_reports(request)
            original_request = parse_original_request(request, front.original_headers)
            client = front.trust.client_address(self.peer, request.headers)
            name = request.get(front.name_header)
            if (wanted := request.get(names.REFUSALS)) is not None:
                self.refuse_with_403 = wanted == b"as_403"
        except Rejected as fault:
            front.counts["rejected"] += 1
            return self._adapt_status(responses.rejected(fault, keep_alive=self.keep_alive), fault.status)
        self.named_by_proxy = name is not None
        if name is not None:  # the proxy's name takes precedence over the client's
            kept = [pair for pair in original_request.headers if pair[0] != names.REQUEST]
            original_request.headers = [*kept, (names.REQUEST, name)]
        return self._answer_sub_request(original_request, client)

    def _handle_reports(self, request: Request) -> bytes:
        """POST /report: one report, or one a line; if any of them is invalid, 400 and none is applied."""
        if request.method != "POST":
            raise Rejected(405, "reports are posted")
        results = [self.front.apply_report(report) for report in parse_reports(request.body)]
        counts: dict[str, int] = {}
        for result in results:
            counts[result.value] = counts.get(result.value, 0) + 1
        # 200 for a batch, whatever its results: a log shipper must not send the whole batch again
        status = _REPORT_STATUS.get(results[0], 200) if len(results) == 1 else 200
        return write.response(
            status, [(b"content-type", b"application/json")], msgspec.json.encode(counts), self.keep_alive
        )

    # ---- responses to proxies

    def _answer_sub_request(self, request: Request, client: str) -> bytes:
        """Decide one sub-request within the decision time-out."""
        self.holds_slot = False
        try:
            admitted = self._admit(request, client)
            if isinstance(admitted, bytes):
                return self._adapt_status(admitted, int(admitted[_STATUS_DIGITS]))
            return self._decide_once(admitted)
        finally:
            if self.holds_slot:
                self.front.gate.leave()

    def _reserve_slot(self, parameters: RequestParameters) -> None:
        """Check the front's own load before anything costly is done; raises Overloaded."""
        wait = self.front.gate.enter(parameters.cls)
        if wait is not None:
            self.front.counts["pressed"] += 1
            raise Overloaded(wait)
        self.holds_slot = True

    def _decide_once(self, exchange: Exchange) -> bytes:
        """Make one decision for each request name, however often proxies repeat the sub-request."""
        front, name = self.front, exchange.name.decode()
        decision = Decision(Event())
        # A name that only the client gave does not identify a repeat: reusing it would bypass the quota.
        identity = (
            (exchange.customer, exchange.cls, exchange.units, exchange.method, exchange.target)
            if self.named_by_proxy
            else object()
        )
        while True:
            step, entry = front.permits.begin(name, identity, decision, front.clock())
            if step is SubRequestStep.REPLAY and entry is not None and entry.permit is not None:
                return entry.permit.response
            if step is SubRequestStep.JOIN and entry is not None and (first := entry.decision) is not None:
                if first.made.wait(max(0.0, self._decision_deadline_ms(exchange) - front.clock()) / 1000):
                    if first.response is not None:
                        return first.response
                    continue  # the first sub-request was abandoned and nothing was counted: decide here
                return self._render_refusal(exchange, Refused(front.section.decide_ms, Why.PRESSURE))
            if step is SubRequestStep.LIMIT_REACHED:
                front.counts["full"] += 1
                return self._render_refusal(exchange, Refused(front.section.decide_ms, Why.PRESSURE))
            if step is SubRequestStep.NEW:
                break
            exchange.name = front.name_prefix + b"%x" % exchange.number
            name = exchange.name.decode()
        try:
            return self._decide(exchange, name, decision)
        except BaseException:  # this greenlet is being killed: those that joined decide for themselves
            if front.permits.entries[name].decision is decision:
                self._conclude_refusal(decision, exchange, name, ClientLeft())
            raise

    def _decide(self, exchange: Exchange, name: str, decision: Decision) -> bytes:
        """Hand the request to the decision module; wait for it, for a disconnect or for the time-out."""
        front, core = self.front, self.front.core
        sender = core.sender
        assert sender is not None
        self._watch_client(exchange)
        try:
            core.submit(exchange)
            while exchange.pending_attempts or exchange.final is None:
                if exchange.pending_attempts:
                    attempt = exchange.pending_attempts.pop(0)
                    if core.reason_not_to_send(exchange, attempt.entry):
                        sender.forget(attempt)
                        core.attempt_ended(exchange, attempt.number, attempt.backend, Outcome.MOOT, 0.0)
                        continue
                    return self._grant(exchange, attempt, name, decision)
                if not self._wait_for_progress(exchange, self._decision_deadline_ms(exchange)):
                    front.counts["overdue"] += 1  # nothing was sent, so a refusal is correct
                    core.withdraw(exchange, Refused(front.section.decide_ms, Why.PRESSURE))
        finally:
            self._unwatch_client(exchange)
            if exchange.final is None and exchange.number in core.open_exchanges and not exchange.written:
                core.withdraw(exchange, ClientLeft())  # this greenlet is being killed
        assert exchange.final is not None
        return self._conclude_refusal(decision, exchange, name, exchange.final)

    def _decision_deadline_ms(self, exchange: Exchange) -> float:
        return min(self.first_byte_ms + self.front.section.decide_ms, exchange.deadline_ms)

    def _conclude_refusal(self, decision: Decision, exchange: Exchange, name: str, final: Final) -> bytes:
        """Conclude a decision without a permit.

        If the proxy has already reported the request, it let it through on its own: the use is counted.
        """
        front = self.front
        unpermitted_use = front.permits.refuse(
            name, UnpermittedUse(exchange.customer, exchange.plan, exchange.units), front.clock()
        )
        if unpermitted_use is not None:
            front.charge_unpermitted_use(unpermitted_use)
        response = self._render_refusal(exchange, final)
        if not isinstance(final, ClientLeft):
            decision.response = response
        decision.made.set()
        return response

    def _render_refusal(self, exchange: Exchange, final: Final) -> bytes:
        response = responses.final(final, exchange.name, self.keep_alive)
        return self._adapt_status(response, int(response[_STATUS_DIGITS])) if response else response

    def _adapt_status(self, response: bytes, status: int) -> bytes:
        """For proxies that pass on only 401 and 403: send 403, with the real status in a header."""
        if not self.refuse_with_403 or status in _RELAYED_STATUSES or status < 400:
            return response
        rest = response.partition(b"\r\n")[2]
        return b"HTTP/1.1 403 Forbidden\r\n" + names.STATUS + b": %d\r\n" % status + rest

    def _grant(self, exchange: Exchange, attempt: Attempt, name: str, decision: Decision) -> bytes:
        """Permit the request: the response names its customer, its server and the time that is left."""
        front, now = self.front, self.front.clock()
        section, settings = front.section, front.core.gateway.settings
        headers: Headers = [
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
        if front.selects_server:
            host, port = backend_address(attempt.backend)
            headers.append((names.SERVER, f"{host}:{port}".encode()))
        response = decision.response = write.response(200, headers, b"", True)
        until_ms = exchange.deadline_ms + section.lapse_ms if front.selects_server else now + section.hold_ms
        permit = Permit(attempt, response)
        front.counts["permits"] += 1
        exchange.written += 1
        early_report = front.permits.grant(name, permit, until_ms)
        decision.made.set()
        if early_report is not None:
            front.apply_report(early_report)
        elif until_ms <= now:
            front.lapse_permit(name, until_ms)
        else:
            front.timers.schedule(until_ms, partial(front.lapse_permit, name, until_ms))
        return response

    def _verification_deadline_ms(self) -> float:
        return self.first_byte_ms + self.front.section.decide_ms

    def _record_unverified(self, name: bytes) -> None:
        """Remember the name without an owner: if the proxy lets the request pass, nobody can be charged."""
        front = self.front
        front.counts["in_doubt"] += 1
        text = name.decode()
        step, _ = front.permits.begin(text, None, Decision(Event()), front.clock())
        if step is SubRequestStep.NEW:
            front.permits.refuse(text, None, front.clock())

    def _send_and_close(self, response: bytes) -> None:
        with suppress(OSError):
            super()._send_and_close(response)
