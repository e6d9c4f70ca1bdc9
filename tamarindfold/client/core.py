"""The state machine of one call: which gateway to try, how long to wait, and when to give up.

It does no I/O and reads no clock, and random numbers come from the caller: hand it each event with the
current time, carry out the returned action, and report the result. At most one try is in flight.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from tamarindfold.client.budget import RetryBudget
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.jitter import Draw, ReconnectSchedule, next_pause
from tamarindfold.client.protocol import wait_ms

# after a refusal a call retries up to this much later than the gateway asks for, at random, and never earlier
REFUSAL_JITTER = 0.1  # of the requested wait
MIN_REFUSAL_JITTER_MS = 25.0
MAX_RECONNECT_SHARE = 0.5  # of the time left: what a call gives at most to the staggering of reconnects


class Outcome(Enum):
    """How a call ended."""

    SERVED = "served"
    REJECTED = "rejected"  # the request itself is invalid or not allowed: not to be repeated
    REFUSED = "refused"  # did not run; the requested wait or the budget leaves no room for another try
    FAILED = "failed"  # did not run, or is safe for the caller to repeat
    UNKNOWN = "unknown"  # may have run, and must not run twice: check before repeating it


@dataclass(frozen=True, slots=True)
class Rules:
    """Limits for all calls of a client. Times in milliseconds."""

    most_tries: int = 4
    pause_base_ms: float = 50.0
    pause_most_ms: float = 2_000.0


@dataclass(frozen=True, slots=True)
class CallSpec:
    """One call: the effect of its class (safe, keyed or unsafe) and its deadline."""

    effect: str
    deadline_ms: float
    window_ms: float = 0.0  # keyed: how long servers drop repeats, counted from the first try

    def __post_init__(self) -> None:
        if self.effect not in ("safe", "keyed", "unsafe"):
            raise ValueError(f"effect {self.effect!r} is not safe, keyed or unsafe")


# ---- events


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer. wall_ms: the wall-clock time, to interpret dates in its headers."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    wall_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Unreached:
    """The try failed before any byte of it was written."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The try failed or timed out after some of it was written, without a complete answer."""


@dataclass(frozen=True, slots=True)
class NoToken:
    """Nothing was sent because no token could be obtained, which is not the gateway's fault."""


@dataclass(frozen=True, slots=True)
class TooLate:
    """Nothing was sent because the try could not be written in time, which is not the gateway's fault."""


@dataclass(frozen=True, slots=True)
class Woke:
    """The wait is over."""


Event = Answered | Unreached | Broken | NoToken | TooLate | Woke


# ---- actions


@dataclass(frozen=True, slots=True)
class Send:
    """Send a try. retry: mark it as a retry; fresh_token: fetch a new token first.

    write_left_ms: it must not be written later than this; it then ends as TooLate.
    """

    gateway: str
    number: int
    retry: bool
    time_left_ms: float
    fresh_token: bool = False
    effect: str = "safe"  # an unsafe try needs a connection of its own
    write_left_ms: float = inf


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing until this time, then report Woke."""

    until_ms: float


@dataclass(frozen=True, slots=True)
class Result:
    """The end of the call. again_ms: after a refusal, when the gateway allows another call."""

    outcome: Outcome
    reason: str
    tries: int
    again_ms: float = 0.0


Action = Send | Wait | Result


class Call:
    """One call from its first try to its end."""

    def __init__(
        self,
        rules: Rules,
        spec: CallSpec,
        gateways: Gateways,
        budget: RetryBudget,
        reconnects: ReconnectSchedule,
        draw: Draw,
    ) -> None:
        self.rules, self.spec = rules, spec
        self.gateways, self.budget, self.reconnects, self.draw = gateways, budget, reconnects, draw
        self.tries = 0
        self.tried: list[str] = []
        self.in_flight = ""  # the gateway of the try in flight
        self.may_have_run = False
        self.first_sent = 0.0
        self.pause_ms = 0.0
        self.retry = self.renewed = self.fresh_token = False
        self.waited_to_reconnect = False  # has just waited for the gateway's reconnect time
        self.result: Result | None = None

    def start(self, now: float) -> Action:
        """The first action."""
        self.budget.earn()
        return self._try(now)

    def handle(self, now: float, event: Event) -> Action:
        """The next action after an event. Raises RuntimeError if the event is not expected in this state."""
        if self.result is not None:
            return self.result
        if isinstance(event, Woke):
            if self.in_flight:
                raise RuntimeError("Woke while a try is in flight")
            return self._try(now)
        if not self.in_flight:
            raise RuntimeError("result of a try while none is in flight")
        gateway, self.in_flight = self.in_flight, ""
        match event:
            case Answered():
                self.gateways.record_answer(gateway)
                self.reconnects.connected(gateway)
                return self._answered(now, event)
            case Unreached():
                self.gateways.record_failure(now, gateway)
                self.reconnects.connection_lost(now, gateway)
                return self._retry_or_end(now, "no gateway could be reached")
            case NoToken():
                self.gateways.cancel_try(gateway)
                return self._retry_or_end(now, "no token was to be had")
            case TooLate():
                self.gateways.cancel_try(gateway)
                return self._retry_or_end(now, "the try could not be written in time")
            case Broken():
                self.gateways.record_failure(now, gateway)
                self.reconnects.connection_lost(now, gateway)
                self.may_have_run = True
                return self._retry_or_end(now, "the connection was lost, or no answer came in time")

    # ---- answers

    def _answered(self, now: float, event: Answered) -> Action:
        outcome, status = event.headers.get("tamarind-outcome", ""), event.status
        if outcome == "served" or (not outcome and status < 400):
            return self._end(Outcome.SERVED, "")
        if status == 401 and not self.renewed:
            self.renewed = self.fresh_token = True  # the request did not run: try once more with a new token
            return self._try_with_new_token(now, "the token was not accepted")
        if outcome == "rejected" or (not outcome and 400 <= status < 500 and status not in (408, 429)):
            return self._end(Outcome.REJECTED, f"status {status}")
        if outcome == "refused" or (not outcome and status == 429):
            return self._refused(now, wait_ms(event.headers, event.wall_ms))
        self.may_have_run = True  # failed, or an error status without an outcome of the gateway
        return self._retry_or_end(now, f"status {status}")

    def _refused(self, now: float, wait: float) -> Action:
        """Wait as long as requested plus jitter, or end at once if that exceeds the deadline."""
        retry_at = now + wait + self.draw() * max(MIN_REFUSAL_JITTER_MS, REFUSAL_JITTER * wait)
        if retry_at >= self._send_deadline():
            return self._end(Outcome.REFUSED, "the wait that was told lies beyond the deadline", now + wait)
        if self.tries >= self.rules.most_tries or not self.budget.spend():
            return self._end(Outcome.REFUSED, "no more tries are left", now + wait)
        self.retry = True
        self.tried.clear()  # the refusal concerns the customer: the gateway itself is healthy
        return Wait(retry_at)

    # ---- tries

    def _try_with_new_token(self, now: float, reason: str) -> Action:
        if self.tries >= self.rules.most_tries or now >= self.spec.deadline_ms:
            return self._end(Outcome.REJECTED, reason)
        return self._try(now)

    def _retry_or_end(self, now: float, reason: str) -> Action:
        """Decide about a retry, by the call's effect and by whether a try may have run."""
        effect = self.spec.effect
        if effect == "unsafe" and self.may_have_run:
            return self._end(Outcome.UNKNOWN, reason)
        rules = self.rules
        self.pause_ms = next_pause(self.pause_ms, rules.pause_base_ms, rules.pause_most_ms, self.draw)
        retry_at = now + self.pause_ms
        if retry_at >= self._send_deadline() or self.tries >= rules.most_tries or not self.budget.spend():
            return self._end(Outcome.FAILED, reason)
        return Wait(retry_at)

    def _send_deadline(self) -> float:
        """Until when a try may be sent.

        A keyed call that may have run is repeated only while servers drop repeats of its key. This is checked
        before each send, because a wait of any kind, such as one to reconnect, can outlast that window.
        """
        spec = self.spec
        if spec.effect == "keyed" and self.may_have_run:
            return min(spec.deadline_ms, self.first_sent + spec.window_ms)
        return spec.deadline_ms

    def _try(self, now: float) -> Action:
        left_ms = self._send_deadline() - now
        if left_ms <= 0:
            return self._end(Outcome.FAILED, "the deadline has passed")
        gateway = self.gateways.choose(now, self.tried)
        reconnect_at = self.reconnects.not_before(gateway)
        if reconnect_at > now and not self.waited_to_reconnect:  # other clients lost it too: take turns
            self.waited_to_reconnect = True
            return Wait(min(reconnect_at, now + left_ms * MAX_RECONNECT_SHARE))
        self.waited_to_reconnect = False
        if not self.tries:
            self.first_sent = now
        number, self.tries = self.tries, self.tries + 1
        fresh_token, self.fresh_token = self.fresh_token, False
        self.in_flight = gateway
        self.tried.append(gateway)
        return Send(
            gateway,
            number,
            self.retry,
            self.spec.deadline_ms - now,
            fresh_token,
            self.spec.effect,
            write_left_ms=left_ms,
        )

    def stop(self) -> Result:
        """End the call because the client is closed; a try in flight may still run."""
        if self.result is None:
            self.may_have_run = self.may_have_run or bool(self.in_flight)
            self._end(Outcome.FAILED, "the client was closed")
        assert self.result is not None
        return self.result

    def _end(self, outcome: Outcome, reason: str, again_ms: float = 0.0) -> Result:
        """End the call. If an earlier try of a call that is not safe may have run, the outcome is unknown."""
        if outcome is not Outcome.SERVED and self.may_have_run and self.spec.effect != "safe":
            outcome = Outcome.UNKNOWN
        self.result = Result(outcome, reason, self.tries, again_ms)
        return self.result
