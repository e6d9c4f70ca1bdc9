"""Decides one call: try where, wait until when, give up with what. No I/O, no clock; chance comes in.

Give it an event, do what it says, and report what came of that; there is never more than one try out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from tamarindfold.client.budget import Budget
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.protocol import wait_ms
from tamarindfold.client.spread import Draw, Reconnects, next_pause

LATER_PART, LATER_LEAST_MS = 0.1, 25.0  # after a refusal: this much later than told, at random; never earlier
SLOT_PART = 0.5  # of the time left: what a call gives at most to the spread of reconnects


class Outcome(Enum):
    """How a call ended."""

    SERVED = "served"
    REJECTED = "rejected"  # the request itself is wrong, or not allowed: not to be repeated
    REFUSED = "refused"  # did not run; the wait it was told, or the budget, leaves no room for another try
    FAILED = "failed"  # did not run, or may safely be asked again by the caller
    UNKNOWN = "unknown"  # may have run, and must not run twice: look before doing anything


@dataclass(frozen=True, slots=True)
class Rules:
    """What holds for all calls of a client. Times in milliseconds."""

    most_tries: int = 4
    pause_base_ms: float = 50.0
    pause_most_ms: float = 2_000.0


@dataclass(frozen=True, slots=True)
class Ask:
    """One call: its class's effect (safe, keyed, unsafe), and until when its answer is of use."""

    effect: str
    deadline_ms: float
    window_ms: float = 0.0  # keyed: how long repeats are dropped, from the first try

    def __post_init__(self) -> None:
        if self.effect not in ("safe", "keyed", "unsafe"):
            raise ValueError(f"effect {self.effect!r} is not safe, keyed or unsafe")


# ---- events


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer. wall_ms: the wall clock, for dates in it."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    wall_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Unreached:
    """No byte of the try was written."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection was lost, or time ran out, with some of the try written and no whole answer."""


@dataclass(frozen=True, slots=True)
class NoToken:
    """Nothing was sent: no token was to be had. No gateway is to blame."""


@dataclass(frozen=True, slots=True)
class Woke:
    """The wait is over."""


Event = Answered | Unreached | Broken | NoToken | Woke


# ---- actions


@dataclass(frozen=True, slots=True)
class Send:
    """Make a try; retry: mark it so; fresh_token: fetch another token first."""

    gateway: str
    number: int
    retry: bool
    time_left_ms: float
    fresh_token: bool = False
    effect: str = "safe"  # what must not run twice goes on a connection of its own


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing until then, then report Woke."""

    until_ms: float


@dataclass(frozen=True, slots=True)
class Result:
    """The end of the call. again_ms: when coming back is harmless, where a refusal told."""

    outcome: Outcome
    reason: str
    tries: int
    again_ms: float = 0.0


Action = Send | Wait | Result


class Call:
    """One call from its first try to its end."""

    def __init__(
        self, rules: Rules, ask: Ask, gateways: Gateways, budget: Budget, reconnects: Reconnects, draw: Draw
    ) -> None:
        self.rules, self.ask = rules, ask
        self.gateways, self.budget, self.reconnects, self.draw = gateways, budget, reconnects, draw
        self.tries = 0
        self.tried: list[str] = []
        self.out = ""  # the gateway of the try that is out
        self.may_have_run = False
        self.first_sent = 0.0
        self.pause_ms = 0.0
        self.retry = self.renewed = self.fresh_token = False
        self.slotted = False  # has given its time to the spread of reconnects
        self.result: Result | None = None

    def start(self, now: float) -> Action:
        """The first thing to do."""
        self.budget.earn()
        return self._try(now)

    def handle(self, now: float, event: Event) -> Action:
        """What to do after this. RuntimeError where the event fits nothing that is out."""
        if self.result is not None:
            return self.result
        if isinstance(event, Woke):
            if self.out:
                raise RuntimeError("woken with a try out")
            return self._try(now)
        if not self.out:
            raise RuntimeError("an answer with no try out")
        gateway, self.out = self.out, ""
        match event:
            case Answered():
                self.gateways.good(gateway)
                self.reconnects.connected(gateway)
                return self._answered(now, event)
            case Unreached():
                self.gateways.bad(now, gateway)
                self.reconnects.lost(now, gateway)
                return self._again(now, "no gateway could be reached")
            case NoToken():
                self.gateways.left(gateway)
                return self._again(now, "no token was to be had")
            case Broken():
                self.gateways.bad(now, gateway)
                self.reconnects.lost(now, gateway)
                self.may_have_run = True
                return self._again(now, "the connection was lost, or no answer came in time")

    # ---- answers

    def _answered(self, now: float, event: Answered) -> Action:
        said, status = event.headers.get("tamarind-outcome", ""), event.status
        if said == "served" or (not said and status < 400):
            return self._end(Outcome.SERVED, "")
        if status == 401 and not self.renewed:
            self.renewed = self.fresh_token = True  # nothing ran; once, with another token
            return self._once_more(now, "the token was not accepted")
        if said == "rejected" or (not said and 400 <= status < 500 and status not in (408, 429)):
            return self._end(Outcome.REJECTED, f"status {status}")
        if said == "refused" or (not said and status == 429):
            return self._refused(now, wait_ms(event.headers, event.wall_ms))
        self.may_have_run = True  # failed, or an answer from who knows where
        return self._again(now, f"status {status}")

    def _refused(self, now: float, wait: float) -> Action:
        """Wait as told, a little more by chance; give up at once where that leaves no time."""
        back = now + wait + self.draw() * max(LATER_LEAST_MS, LATER_PART * wait)
        if back >= self._until():
            return self._end(Outcome.REFUSED, "the wait that was told lies beyond the deadline", now + wait)
        if self.tries >= self.rules.most_tries or not self.budget.spend():
            return self._end(Outcome.REFUSED, "no more tries are left", now + wait)
        self.retry = True
        self.tried.clear()  # it is the customer who was refused, not the gateway that was bad
        return Wait(back)

    # ---- tries

    def _once_more(self, now: float, reason: str) -> Action:
        if self.tries >= self.rules.most_tries or now >= self.ask.deadline_ms:
            return self._end(Outcome.REJECTED, reason)
        return self._try(now)

    def _again(self, now: float, reason: str) -> Action:
        """The one table of repeats: by effect, and by whether a try may have run."""
        effect = self.ask.effect
        if effect == "unsafe" and self.may_have_run:
            return self._end(Outcome.UNKNOWN, reason)
        rules = self.rules
        self.pause_ms = next_pause(self.pause_ms, rules.pause_base_ms, rules.pause_most_ms, self.draw)
        back = now + self.pause_ms
        if back >= self._until() or self.tries >= rules.most_tries or not self.budget.spend():
            return self._end(Outcome.FAILED, reason)
        return Wait(back)

    def _until(self) -> float:
        """Until when a try may be sent: a keyed one that may have run only while repeats are dropped.

        Looked at before each send, whatever was waited for: a slot for reconnecting once reached beyond it.
        """
        ask = self.ask
        if ask.effect == "keyed" and self.may_have_run:
            return min(ask.deadline_ms, self.first_sent + ask.window_ms)
        return ask.deadline_ms

    def _try(self, now: float) -> Action:
        left = self._until() - now
        if left <= 0:
            return self._end(Outcome.FAILED, "the deadline has passed")
        gateway = self.gateways.choose(now, self.tried)
        slot = self.reconnects.may_at(gateway)
        if slot > now and not self.slotted:  # it was lost, and others lost it too: in turn
            self.slotted = True
            return Wait(min(slot, now + left * SLOT_PART))
        self.slotted = False
        if not self.tries:
            self.first_sent = now
        number, self.tries = self.tries, self.tries + 1
        fresh, self.fresh_token = self.fresh_token, False
        self.out = gateway
        self.tried.append(gateway)
        return Send(gateway, number, self.retry, self.ask.deadline_ms - now, fresh, self.ask.effect)

    def stop(self) -> Result:
        """The client is closed; a try that is out may run."""
        if self.result is None:
            self.may_have_run = self.may_have_run or bool(self.out)
            self._end(Outcome.FAILED, "the client was closed")
        assert self.result is not None
        return self.result

    def _end(self, outcome: Outcome, reason: str, again_ms: float = 0.0) -> Result:
        """Whatever the last try came to: if an earlier one may have run, nobody knows."""
        if outcome is not Outcome.SERVED and self.may_have_run and self.ask.effect != "safe":
            outcome = Outcome.UNKNOWN
        self.result = Result(outcome, reason, self.tries, again_ms)
        return self.result
