"""Every decision of the gateway; its settings, events and actions are in tamarindfold/interface.py."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from math import ceil, inf, sqrt
from random import Random
from typing import Any

from tamarindfold.interface import (
    Actions,
    AttemptEnded,
    BackendEntry,
    BackendState,
    Cancel,
    Count,
    CountAnswered,
    Effect,
    Event,
    Fail,
    FleetUpdate,
    Group,
    ListKind,
    Outcome,
    Plan,
    PlansChanged,
    Refuse,
    Remembered,
    RequestArrived,
    RequestClass,
    RequestWithdrawn,
    Restored,
    Send,
    Settings,
    SettingsChanged,
    StoodStill,
    UsePassed,
    Why,
)

# ---- tuned constants
RAISE, FALL = 1.5, 0.5  # a dry slice grows by half (design page); an over-used one loses half of its growth
ROOM, SPENT = 0.9, 0.25  # of the burst: a fuller shared store has room for all; an emptier one is over-used
RESERVE = 0.1  # of the slice's burst: what only marked retries may take
NO_SHOW_MS = 2000.0  # a marked retry this late has given up; it would hold its place in the queue for ever
SECOND_MS, NAME_TTL_MS = 1000.0, 60_000.0  # how often a slice may grow; the longest life of a counter's name
DRIFT = 0.5  # of the burst: a count this far from the store is put right by a call of its own
LUMP, CROWDED = 0.08, 0.4  # of the burst: reported at once; calling less freely leaves calls out by chance
ASK_FIRST, ASK_LEAST = 0.5, 0.01  # how freely the counter is called: at start, at least
ASK_LESS, ASK_MORE = 0.7, 0.04  # what a late and a prompt answer do to that
LATE_ANSWER = 0.5  # of the counter's time-out: an answer this slow is a sign of a crowded counter
KEEP, LEARN = 0.9, 0.01  # weight of the past in moving means; how far an answer moves what a class takes
BLAME, DREAD = 0.3, 10.0  # how far a bad or a rare sign moves a backend, toward what
FORGIVE_MS, TOUCHES = 3000.0, 2.0  # a sign fades to a third in this time, or in so many times between signs
TIE = 1.15  # backends within this factor of the best are as good: choose at random, so that no herd forms
NEAR, LOOK = 5, 16  # backends that a gateway keeps to, so that it knows them; and compares for one send
COLD_PART = 0.8  # of the work that would push over a cold backend of the least speed, all gateways together
RETRY_PART, RETRY_MOST = 0.1, 10.0  # further attempts earned by each first try; saved up at most
PATIENCE, CHEAP_PATIENCE = 0.33, 0.25  # of the aim: the forecast that work of most and of no worth may meet
SPARE_PATIENCE = 0.5  # of that: what requests beyond their quota may meet
RESOLVE = 16.0  # how sharply sends thin out while the forecast passes the patience


class Slowness:
    """Time taken over time expected: the one measure of health, of a backend for a class or of the fleet."""

    def __init__(self) -> None:
        self.value, self.at, self.memory_ms = 1.0, -inf, FORGIVE_MS

    def now(self, now: float, usual: float = 1.0) -> float:
        """Forgotten as its last sign ages, by how often signs come, until what is usual is believed."""
        return usual + (self.value - usual) * 3 ** ((self.at - now) / self.memory_ms)

    def sign(self, now: float, value: float, weight: float, usual: float = 1.0) -> None:
        """Take in a sign, bad or good; a rare one weighs as much as the many it stands for."""
        weight = max(weight, min(BLAME, 1 - 3 ** ((self.at - now) / self.memory_ms)))
        self.value = self.now(now, usual) + (value - self.now(now, usual)) * weight
        gap, self.at = now - max(self.at, now - NAME_TTL_MS), now
        self.memory_ms = max(FORGIVE_MS, TOUCHES * gap) if gap < NAME_TTL_MS else FORGIVE_MS


class Customer:
    """One customer's slice of its quota here, and the virtual queue of those it was refused for."""

    def __init__(self, plan: Plan, width: int, now: float, number: int = 0, debt: float = 0.0) -> None:
        self.plan, self.even, self.number = plan, 1 / width, number
        self.share, self.tokens = self.even, plan.burst * self.even
        self.cap_tokens = 0.0  # a restarted gateway cannot know what it spent of the ceiling
        self.filled_at = self.end_of_queue_time = now
        self.appointments: deque[float] = deque()
        self.answers, self.unit_sum, self.unit_squares = 0, 0.0, 0.0
        self.debt = debt  # own use that is not counted yet; below nought: counted, but not used
        self.store, self.told_at = plan.burst, -inf  # the shared store as the counter's last answer showed it
        self.left = 1.0  # the part of the quota that was left over since the counter's name began
        self.followed_at, self.dry = now, False
        self.let_in, self.turned = 0.0, 0.0  # units decided here by belief since the counter last told
        self.forgiven = 0.0  # use that a smaller plan let pass and a larger one would count again

    def refill(self, now: float) -> None:
        """Fill bucket and ceiling for the time gone by."""
        gone, self.filled_at, plan = (now - self.filled_at) / 1000, now, self.plan
        self.tokens = min(plan.burst * self.share, self.tokens + gone * plan.rate * self.share)
        self.forgiven = max(0.0, self.forgiven - gone * plan.rate * self.share)
        cap = plan.ceiling_burst * self.even
        self.cap_tokens = min(cap, self.cap_tokens + gone * plan.ceiling_rate * self.even)

    def change(self, plan: Plan) -> None:
        """Another plan: what was used stays used, and what the old one granted is no debt under the new."""
        old, full = self.plan, plan.burst * self.share
        if old.rate:
            carried = full - (old.burst * self.share - self.tokens) - self.forgiven
            self.tokens = max(min(self.tokens, full), carried)
            self.forgiven = self.tokens - carried
            self.store = max(min(self.store, plan.burst), plan.burst - (old.burst - self.store))
        else:
            self.tokens, self.store, self.debt = full, plan.burst, min(self.debt, 0.0)
        self.plan = plan

    def resize(self, now: float, width: int) -> None:
        """Another part of the quota: it shrinks with the next refill, and what it grows by comes empty."""
        self.refill(now)
        self.share, self.even = min(1.0, self.share / self.even / width), 1 / width

    def return_time(self, now: float, units: float, no_show: float) -> float:
        """DIBA (the paper's Algorithm 6): how long the refused client is to stay away."""
        while self.appointments and self.appointments[0] <= now - no_show:
            self.appointments.popleft()  # kept, or never will be
        mean = self.unit_sum / self.answers if self.answers else units
        variance = self.unit_squares / self.answers - mean * mean if self.answers >= 2 else 0.0
        fill = self.plan.rate * self.share if self.plan.rate else mean
        desired_return_rate = fill / mean * (1 + sqrt(max(0.0, variance)) / mean)
        queue_interval = 1000 / desired_return_rate
        client_wait_duration = queue_interval * (len(self.appointments) + 1)
        self.end_of_queue_time = max(self.end_of_queue_time, now)
        if now + client_wait_duration - self.end_of_queue_time < queue_interval:
            back_at = now + client_wait_duration
            self.end_of_queue_time = max(self.end_of_queue_time, back_at)
        else:
            back_at = self.end_of_queue_time = self.end_of_queue_time + queue_interval
        self.appointments.append(back_at)
        return back_at - now

    def follow(self, now: float, over: bool) -> None:
        """Each second: a dry slice of a customer under quota grows, that of one over it falls back."""
        if now - self.followed_at >= SECOND_MS:
            grows = self.dry and self.store > ROOM * self.plan.burst
            fallen = max(self.even, self.share - (self.share - self.even) * FALL)
            self.share = fallen if over else min(1.0, self.share * RAISE) if grows else self.share
            self.followed_at, self.dry = now, False

    def thin(self, units: float) -> bool:
        """Whether a full bucket here would not hold this much: then only the counter can tell."""
        return self.plan.burst * self.share < units

    def room(self, now: float, refill: float) -> float:
        """The chance that a try beyond the bucket still finds its units in the shared store.

        refill: the part of the quota's rate that is believed to have come back since it was told.
        """
        believed = self.store + refill * (now - self.told_at) / 1000 * self.plan.rate
        believed += min(0.0, self.tokens)  # what was lent here and is not told yet
        return believed / (ROOM * self.plan.burst) if self.plan.burst else 0.0

    def told(self, now: float, before: float, use: float, age_ms: float) -> float:
        """One answer tells the shared store by itself; gives what the name lacks, or has too much of."""
        plan = self.plan
        granted, full = plan.burst + age_ms / 1000 * plan.rate, plan.burst
        level = granted - before
        self.left = min(1.0, max(0.0, level / granted))
        if before < 0.01:  # a fresh or lost name: what was missing still is
            full = min(full, self.store + (now - self.told_at) / 1000 * plan.rate)
        self.store, self.told_at = min(full, level) - use, now
        part = self.store * self.share if self.store > ROOM * plan.burst else 0.0
        self.tokens = max(part, min(self.tokens, self.store)) - max(0.0, self.debt)
        self.follow(now, self.store < SPENT * plan.burst)
        if use > 0 and level < -DRIFT * plan.burst:  # what is beyond does not count: it was put right twice
            return level
        return max(0.0, level - full)


Sent = tuple[float, float, float, int]  # an attempt that is out: when, work, pile it met, class


class Backend:
    """What this gateway knows of one backend."""

    def __init__(self, entry: BackendEntry, classes: int) -> None:
        self.entry, self.load = entry, 0.0  # work outstanding from here
        self.heard_at = -inf  # when it last answered anything: one lost connection is no silent backend
        self.out: dict[tuple[int, int], Sent] = {}
        self.slowness = [Slowness() for _ in range(classes)]
        self.cold_turn, self.cold_left = -1.0, 0.0  # the work it may still get in this window

    def warmth(self, now: float, settings: Settings) -> float:
        """The part of its capacity that is guaranteed at this time since its start."""
        age = now - self.entry.up_since_ms
        if not self.entry.up_since_ms or age >= settings.cold_ms:
            return 1.0
        return settings.start_capacity + (1 - settings.start_capacity) * max(0.0, age / settings.cold_ms)


class Call:
    """A request not yet answered: what has been tried and what may have run."""

    def __init__(
        self, event: RequestArrived, cls: RequestClass, customer: Customer, now: float, work: float
    ) -> None:
        self.event, self.cls, self.customer, self.work = event, cls, customer, work
        self.give_up, self.aim = now + event.time_left_ms, now + min(cls.aim_ms, event.time_left_ms)
        self.tried: list[Backend] = []
        self.may_have_run = False
        self.ran_group: tuple[Group, int] | None = None
        self.ran_until = inf
        self.counted = 0.0  # what the counter was told for it


class Gateway:
    """Decides for one gateway; hand it every event and carry out the actions it gives back."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.counting = settings.counter and not settings.meter_ms
        self.backends: dict[int, Backend] = {}
        self.customers: dict[int, Customer] = {}
        self.counts: dict[int, deque[tuple[Customer, float, float, Call | None]]] = {}  # calls not answered
        self.calls: dict[int, Call] = {}
        self.rings: dict[tuple[Group, int], list[int]] = {(Group.ALL, 0): []}  # ready backends, by group
        self.slowness = Slowness()  # of the fleet as a whole
        self.asking, self.retries = ASK_FIRST, RETRY_MOST
        self.account = dict.fromkeys(  # units of tries, for the log: how they were decided, what that came to
            ("asked", "unasked", "over_known", "over_unknown", "refused_unasked", "refused_with_room"), 0.0
        )
        self.stake = 0.0  # what is lost by a try let in beyond its quota, of those met lately
        self.fits = 1.0  # the part of first tries asked for that found room: those not asked for are alike
        self.unit_ms = [cls.aim_ms / 10 for cls in settings.classes]  # time a unit takes on an idle backend
        self.mean_work = self.asked_unit_ms = sum(self.unit_ms) / len(self.unit_ms)  # of sends, of tries
        self.grown_at, self.grown_from = 0.0, 1  # when this part of the quotas last grew, and from which
        self.woke_at = -inf  # what was sent before tells nothing of the backends: this gateway stood still
        self.actions: Actions = []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self.arrived,
            AttemptEnded: self.ended,
            CountAnswered: self.count_answered,
            FleetUpdate: self.fleet,
            RequestWithdrawn: self.withdrawn,
            PlansChanged: self.plans_changed,
            SettingsChanged: self.settings_changed,
            UsePassed: self.passed,
            StoodStill: self.stood_still,
            Restored: self.restored,
        }

    def handle(self, now: float, event: Event) -> Actions:
        """Take in one event; the actions are to be carried out in order."""
        self.actions = []
        if handler := self.handlers.get(type(event)):
            handler(now, event)
        return self.actions

    def withdrawn(self, now: float, event: RequestWithdrawn | AttemptEnded) -> None:
        """Nobody waits any more: what is still out is called off."""
        call = self.calls.pop(event.request, None)
        if call and call.tried and self.settings.cancel:
            last = len(call.tried) - 1
            if (event.request, last) in call.tried[-1].out:
                self.actions.append(Cancel(event.request, last))

    def plans_changed(self, now: float, event: PlansChanged) -> None:
        """A customer meets its new plan with its next request."""
        self.settings = replace(self.settings, plans=event.plans)

    def settings_changed(self, now: float, event: SettingsChanged) -> None:
        """Another part of every quota: nothing is handed out here that others had a moment ago."""
        old, new, kept = self.settings, event.settings, self.grown_from * (now - self.grown_at < NAME_TTL_MS)
        self.settings, self.counting = new, new.counter and not new.meter_ms
        for cls in new.classes[len(self.unit_ms) :]:
            self.unit_ms.append(cls.aim_ms / 10)
            for backend in self.backends.values():
                backend.slowness.append(Slowness())
        if new.gateways < old.gateways or event.newcomer:
            self.grown_at, self.grown_from = now, max(kept, old.gateways, 10**9 * event.newcomer)
        for customer in self.customers.values() if new.gateways != old.gateways else ():
            customer.resize(now, new.gateways)

    # ---- across stalls and restarts

    def stood_still(self, now: float, event: StoodStill) -> None:
        """Guards against blaming backends for this gateway's own pause."""
        self.woke_at = now

    def remember(self, customer: int) -> Remembered | None:
        """What a restart must not forget of a customer: promises given, the ceiling, what units it takes."""
        if (known := self.customers.get(customer)) is None:
            return None
        place = next((i for i, plan in enumerate(self.settings.plans) if plan is known.plan), -1)
        return Remembered(
            customer,
            place,
            round(1 / known.even),
            list(known.appointments),
            known.end_of_queue_time,
            known.answers,
            known.unit_sum,
            known.unit_squares,
            known.cap_tokens,
            known.filled_at,
        )

    def restored(self, now: float, event: Restored) -> None:
        """Appointments go on where they ended; the ceiling has what was left of it and what it got since."""
        self.unit_ms = list(event.unit_ms) if len(event.unit_ms) == len(self.unit_ms) else self.unit_ms
        self.mean_work = self.asked_unit_ms = sum(self.unit_ms) / len(self.unit_ms)
        for old in event.customers:
            if old.customer in self.customers or not 0 <= old.plan < len(self.settings.plans):
                continue
            width = max(1, min(old.width, self.settings.gateways))
            known = Customer(self.settings.plans[old.plan], width, min(now, old.at_ms), old.customer)
            known.cap_tokens = old.cap_tokens
            known.refill(now)
            known.appointments, known.end_of_queue_time = deque(old.appointments), old.end_of_queue_ms
            known.answers, known.unit_sum, known.unit_squares = old.answers, old.unit_sum, old.unit_squares
            known.followed_at = now
            self.customers[old.customer] = known

    # ---- quotas: the ordinary path

    def customer(self, now: float, event: RequestArrived | UsePassed) -> Customer:
        """The customer of a request; one idle for a name's life is dropped: a fresh one does as well."""
        known, plan = self.customers.pop(event.customer, None), self.settings.plans[event.plan]
        if known is None:
            width = max(1, min(event.width, self.settings.gateways))
            debt = -self.random.random() * LUMP * plan.burst  # so that rare reports are right on average
            known = Customer(plan, width, now, event.customer, debt)
            known.tokens = min(
                known.tokens,
                plan.burst / self.grown_from + (now - self.grown_at) / 1000 * plan.rate * known.even,
            )
        self.customers[event.customer] = known  # the longest unseen stand first
        known.refill(now)
        if known.plan is not plan:
            known.change(plan)
        first, oldest = next(iter(self.customers.items()))
        if now - oldest.filled_at > NAME_TTL_MS:
            del self.customers[first]
        return known

    def arrived(self, now: float, event: RequestArrived) -> None:
        """The bucket decides; what it cannot tell is asked, what it refuses gets a return time."""
        customer, marks = self.customer(now, event), self.settings.marks_retry
        plan, work = customer.plan, self.unit_ms[event.cls] * max(event.units, 0.01)
        call = self.calls[event.request] = Call(event, self.settings.classes[event.cls], customer, now, work)
        if event.retry and marks and customer.appointments:
            customer.appointments.popleft()
        self.retries = min(RETRY_MOST, self.retries + RETRY_PART)
        self.asked_unit_ms += (self.unit_ms[event.cls] - self.asked_unit_ms) * (1 - KEEP) / 2
        room = not plan.ceiling_rate or customer.cap_tokens >= event.units
        kept = RESERVE * plan.burst * customer.share if marks and not event.retry else 0.0
        if room and (not plan.rate or customer.tokens - kept >= event.units):
            return self.admit(now, call, True)
        customer.dry = True
        if room and plan.over_worth > plan.over_cost:
            self.account["over_known"] += 0.0 if customer.thin(event.units) else event.units
            return self.admit(now, call, customer.thin(event.units))
        luck = self.random.random()
        if not room or luck >= customer.room(now, max(self.asking, customer.left)):
            customer.turned += event.units
            self.account["refused_unasked"] += event.units
            return self.refuse(now, call, Why.QUOTA)  # told to be empty, and no use to ask again
        answered_by = now + self.settings.counter_timeout_ms + 2 * self.settings.tick_ms
        chance = self.worth_asking(call) if self.counting and answered_by < call.give_up else 0.0
        if self.random.random() < chance:  # hold the try and ask for its units
            if customer.thin(event.units):  # it stands for those like it that are not asked for
                call.counted = min(event.units / chance, max(event.units, DRIFT * plan.burst))
                self.account["asked"] += event.units
                return self.count(customer, now, call.counted, 0.0, call)
            if customer.debt + event.units > 0:  # one try a lump
                call.counted = event.units
                self.account["asked"] += event.units
                customer.debt += event.units
                return self.settle(now, customer, call)
        fits = min(1.0, customer.room(now, customer.left)) if customer.told_at > -inf else self.fits
        if luck < fits - (1 - fits) * (plan.over_cost - plan.over_worth) and (  # beyond its quota a try costs
            self.counting or customer.tokens >= plan.burst * customer.share
        ):
            return self.admit(now, call, True)  # a full bucket does, or a large request never would pass
        self.refuse(now, call, Why.QUOTA)

    def worth_asking(self, call: Call) -> float:
        """The chance of asking for a try that its bucket can't tell: dear ones first at a crowded counter."""
        plan, freely = call.customer.plan, self.asking / CROWDED
        if not call.customer.thin(call.event.units):
            return min(1.0, freely)
        lent = max(0.0, -call.customer.tokens)  # to those before it that were not asked for
        stake = (call.event.units + lent) * call.cls.worth * plan.price * plan.over_cost
        self.stake += (stake - self.stake) * ((1 - KEEP) / 2 if self.stake else 1.0)
        dear = stake / self.stake if self.stake else 1.0
        return min(1.0, freely * (self.asking + (1 - self.asking) * dear))

    def admit(self, now: float, call: Call, inside: bool) -> None:
        """Send what the quota lets pass, unless the fleet is pressed."""
        event, customer = call.event, call.customer
        backend = self.choose(now, call, self.patience(event.cls) * (1.0 if inside else SPARE_PATIENCE))
        if backend is None:
            customer.debt -= call.counted
            return self.refuse(now, call, Why.PRESSURE)
        customer.cap_tokens -= event.units if customer.plan.ceiling_rate else 0.0
        if inside and not call.counted:
            if customer.dry and customer.tokens < event.units:  # beyond the bucket, and nothing told
                customer.let_in += event.units
                self.account["unasked"] += event.units
            customer.tokens -= event.units
            if not (self.counting and customer.thin(event.units)):  # those asked for stand for it
                customer.debt += event.units
                self.settle(now, customer)
        self.send(now, call, backend)

    def refuse(self, now: float, call: Call, why: Why) -> None:
        """Final answer: the client is told when to come back."""
        wait = call.customer.return_time(now, call.event.units, NO_SHOW_MS * self.settings.marks_retry)
        self.actions.append(Refuse(call.event.request, wait, why))
        self.calls.pop(call.event.request, None)

    def passed(self, now: float, event: UsePassed) -> None:
        """What a proxy let pass by itself was used all the same: bucket, ceiling and counter are told."""
        customer = self.customer(now, event)
        customer.tokens -= event.units if customer.plan.rate else 0.0
        customer.cap_tokens -= event.units if customer.plan.ceiling_rate else 0.0
        customer.debt += event.units
        self.settle(now, customer)

    # ---- what the counter knows of a customer

    def settle(self, now: float, customer: Customer, call: Call | None = None) -> None:
        """Report own use, or take back what was counted in vain, in whole lumps."""
        lump = LUMP * customer.plan.burst
        lumps = ceil(customer.debt / lump) * lump if lump and self.counting else 0.0
        # a plan whose tries are let in all the same has the calls that are left over
        spare = customer.plan.over_worth > customer.plan.over_cost
        if lumps and (call or self.random.random() * CROWDED < self.asking - CROWDED * spare):
            customer.debt -= lumps
            self.count(customer, now, lumps, 0.0, call)

    def count(self, customer: Customer, now: float, use: float, drift: float, call: Call | None) -> None:
        """Call the counter: for use (a held try's units among it), or to put the name right by drift."""
        name, _ = self.name(now, customer)
        self.counts.setdefault(name, deque()).append((customer, use, drift, call))
        self.actions.append(Count(name, use + drift, NAME_TTL_MS))

    def name(self, now: float, customer: Customer) -> tuple[int, float]:
        """The customer's name of this minute, and of its plan's version, and its age."""
        # customers change theirs at different moments
        turn, age = divmod(now + customer.number * 2654435761 % 2**32 / 2**32 * NAME_TTL_MS, NAME_TTL_MS)
        return customer.plan.version << 64 | int(turn) << 33 | customer.number, age

    def count_answered(self, now: float, event: CountAnswered) -> None:
        """Guards against a slow, full or lost counter: never add twice, ask less, hold what was told."""
        if not (asked := self.counts.get(event.name)):
            return
        customer, use, drift, call = asked.popleft()
        if not asked:
            del self.counts[event.name]
        answered = event.outcome is Outcome.OK
        prompt = answered and event.elapsed_ms < LATE_ANSWER * self.settings.counter_timeout_ms
        if prompt:
            self.asking = min(1.0, self.asking + ASK_MORE)
        elif event.outcome not in (Outcome.RESET, Outcome.ERROR):  # a broken connection is no crowded counter
            self.asking = max(ASK_LEAST, self.asking * ASK_LESS)
        held = call if call and call.event.request in self.calls else None
        name, age = self.name(now, customer)
        if not answered or name != event.name:
            if event.outcome.never_ran:
                customer.debt += use - (call.counted if call else 0.0)
                if held:
                    held.counted = 0.0
            return self.admit(now, held, True) if held else None
        customer.refill(now)
        new, gain = customer.told_at == -inf, customer.told(now, event.total - use - drift, use, age) - drift
        self.settle_account(customer, max(0.0, customer.store + use))
        # a try that stands for others is let in as far as the store holds them all
        granted = held is not None and customer.store + use >= max(
            held.event.units, held.counted * self.random.random()
        )
        self.fits += (granted - self.fits) * (1 - KEEP) / 2 * (new and held is not None)
        # what is beyond the quota takes nothing from the store, so it is given back
        beyond = use if call and not granted else min(max(use, 0.0), max(0.0, -customer.store))
        customer.debt, customer.store = customer.debt - beyond, customer.store + beyond
        if held:
            self.admit(now, held, True) if granted else self.refuse(now, held, Why.QUOTA)
        if customer.debt <= 0:
            self.settle(now, customer)
        if abs(gain) > DRIFT * customer.plan.burst:  # of two gateways that put it right the later takes back
            self.count(customer, now, min(gain, 0.0), max(gain, 0.0), None)

    def settle_account(self, customer: Customer, level: float) -> None:
        """What a telling shows of the tries that were decided by belief since the one before it."""
        self.account["over_unknown"] += max(0.0, customer.let_in - level)
        self.account["refused_with_room"] += min(customer.turned, level)
        customer.let_in = customer.turned = 0.0

    # ---- backends

    def fleet(self, now: float, event: FleetUpdate) -> None:
        """Follow the list; what it does not name as ready gets nothing new from this moment on."""
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            named = {entry.backend: entry for entry in event.entries}
            for gone in [n for n in self.backends if n not in named]:
                self.place(self.backends.pop(gone).entry, False)
        for entry in event.entries:
            if (known := self.backends.pop(entry.backend, None)) is not None:
                self.place(known.entry, False)
            if known is None or entry.up_since_ms > known.entry.up_since_ms:
                known = Backend(entry, len(self.unit_ms))
            known.entry = entry
            if entry.state is not BackendState.GONE:
                self.backends[entry.backend] = known
                self.place(entry, entry.state is BackendState.READY)

    def place(self, entry: BackendEntry, ready: bool) -> None:
        """Keep the rings of ready backends, for each group that drops its repeats."""
        for key in ((Group.ALL, 0), (Group.ZONE, entry.zone), (Group.CELL, entry.cell)):
            ring = self.rings.setdefault(key, [])
            at = bisect_left(ring, entry.backend)
            there = ring[at : at + 1] == [entry.backend]
            ring[at : at + there] = [entry.backend] * ready

    def patience(self, number: int) -> float:
        """The wait this class may meet: long-aimed cheap work must not fill a pressed fleet."""
        # work that is lighter than most waits less at the same pile, and so its aim counts for more
        own = self.settings.classes[number].worth / self.unit_ms[number]
        dear = [
            (cls.worth / ms, cls.aim_ms * max(1.0, self.asked_unit_ms / ms))
            for cls, ms in zip(self.settings.classes, self.unit_ms, strict=True)
            if cls.worth / ms >= own
        ]
        part = CHEAP_PATIENCE + (PATIENCE - CHEAP_PATIENCE) * own / (max(dear)[0] or 1.0)
        return part * min(aim for _, aim in dear)

    def pile(self, now: float, backend: Backend) -> float:
        """What stands there from here and a request more, as a warm backend of size one would feel it."""
        entry = backend.entry
        warmth = backend.warmth(now, self.settings) if entry.up_since_ms else 1.0
        return 1 + backend.load / (self.mean_work * (entry.size or 1) * warmth)

    def width(self, ready: int) -> int:
        """How many backends this gateway keeps to: each is kept to by NEAR gateways at least."""
        return min(ready, max(NEAR, ceil(ready * NEAR / self.settings.gateways)))

    def near(self, call: Call) -> list[Backend]:
        """This gateway's part of the ready backends, or of the group that drops a repeat."""
        ring = self.rings.get(call.ran_group or (Group.ALL, 0), [])
        width, start = self.width(len(ring)), self.settings.index * len(ring) // self.settings.gateways
        picked = range(width) if width <= LOOK else self.random.sample(range(width), LOOK)
        return [self.backends[ring[(start + i) % len(ring)]] for i in picked]

    def forecast(self, now: float, backend: Backend, call: Call, fleet: float) -> float:
        """Expected time of a send to this backend; silence bounds it from below. fleet: its slowness now."""
        expected = call.work * backend.slowness[call.event.cls].now(now, fleet) * self.pile(now, backend)
        for sent_at, own, _, _ in backend.out.values():  # the oldest tells how long it has been silent
            return max(expected, now - max(sent_at, self.woke_at, backend.heard_at) - own)
        return expected

    def cold_room(self, now: float, backend: Backend, work: float) -> bool:
        """Guards a cold backend: all gateways' work in a window stays well inside what pushes it over."""
        # it does one request at a time at least; a part below one request is rounded by chance
        s, warmth, ready = self.settings, backend.warmth(now, self.settings), len(self.rings[Group.ALL, 0])
        if warmth < 1 and backend.cold_turn != now // s.overload_ms:
            backend.cold_turn = now // s.overload_ms
            users = max(1.0, s.gateways * self.width(ready) / max(1, ready))
            budget = COLD_PART * s.fall_multiple * warmth * s.overload_ms / users
            backend.cold_left = budget + self.random.random() * self.mean_work
        return warmth >= 1 or backend.cold_left >= work

    def choose(self, now: float, call: Call, patience: float = inf) -> Backend | None:
        """The backend with the least expected delay, at random among near ties; None: refuse."""
        fleet = self.slowness.now(now)  # one bad backend is no sign of a pressed fleet
        near = [b for b in self.near(call) if not b.entry.up_since_ms or self.cold_room(now, b, call.work)]
        rated = [
            (self.forecast(now, b, call, fleet), b) for b in near if b not in call.tried or len(near) == 1
        ]
        if not rated:
            return None
        least = min(f for f, _ in rated)
        best = self.random.choice([b for f, b in rated if f <= least * TIE])
        drag = min(fleet, best.slowness[call.event.cls].now(now, fleet))
        wait = drag * self.mean_work * self.pile(now, best)
        late = (wait + call.work - self.mean_work) / max(1.0, call.aim - now) if patience < inf else 0.0
        over = max(1.0, wait / patience, late)
        return best if self.random.random() <= over**-RESOLVE else None

    def group(self, backend: Backend, cls: RequestClass) -> tuple[Group, int]:
        """The backends that drop each other's repeats of this class."""
        entry = backend.entry
        return cls.group, {Group.ALL: 0, Group.ZONE: entry.zone, Group.CELL: entry.cell}[cls.group]

    # ---- attempts

    def send(self, now: float, call: Call, backend: Backend) -> None:
        """Start an attempt and remember what it may do."""
        pile = self.pile(now, backend)
        backend.out[call.event.request, len(call.tried)] = now, call.work, pile, call.event.cls
        backend.load += call.work
        backend.cold_left -= call.work
        self.mean_work += (call.work - self.mean_work) * (1 - KEEP) / 2
        call.tried.append(backend)
        self.actions.append(Send(call.event.request, backend.entry.backend))

    def ended(self, now: float, event: AttemptEnded) -> None:
        """Learn from the outcome, then answer the request or try again as far as its class allows."""
        backend = self.backends.get(event.backend)
        known = backend.out.pop((event.request, event.attempt), None) if backend else None
        call = self.calls.get(event.request)
        if backend and known:
            backend.load = max(0.0, backend.load - known[1]) if backend.out else 0.0
            if known[0] >= self.woke_at:
                self.learn(now, backend, event, known)
        if call is None:
            return
        if event.used_percent is not None:  # the site has a meter: it takes the counter's place
            call.customer.follow(now, event.used_percent >= 100)
        if event.outcome is Outcome.OK:
            units = event.true_units or call.event.units
            call.customer.answers += 1
            call.customer.unit_sum += units
            call.customer.unit_squares += units * units
            call.customer.tokens -= units - call.event.units
            call.customer.debt += units - call.event.units
        if event.over:
            return self.withdrawn(now, event)
        if not event.outcome.never_ran:
            call.may_have_run = True
            if call.cls.effect is Effect.KEYED and call.ran_group is None:
                call.ran_group = self.group(call.tried[event.attempt], call.cls)
                call.ran_until = now - event.elapsed_ms + call.cls.window_ms
        self.again(now, call)

    def again(self, now: float, call: Call) -> None:
        """The one table of further attempts: by effect, and by what may have run."""
        call.cls = self.settings.classes[call.event.cls]  # it may be narrower by now
        safe, keyed = call.cls.effect is Effect.SAFE, call.cls.effect is Effect.KEYED
        harmless = safe or not call.may_have_run
        allowed = harmless or (keyed and now < call.ran_until - 1)
        refusable = harmless or (keyed and call.cls.group is Group.ALL)
        more = len(call.tried) < self.settings.max_attempts and now < call.give_up - self.settings.tick_ms
        if allowed and more and self.retries >= 1 and (backend := self.choose(now, call)) is not None:
            self.retries -= 1
            return self.send(now, call, backend)
        if refusable:
            return self.refuse(now, call, Why.TRIED)
        self.actions.append(Fail(call.event.request))
        self.calls.pop(call.event.request, None)

    def learn(self, now: float, backend: Backend, event: AttemptEnded, sent: Sent) -> None:
        """Every kind of sign moves one measure; what came of a request's run tells of its class only."""
        _, work, pile, cls = sent
        took = event.elapsed_ms / pile / work
        fleet = self.slowness.now(now)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            backend.heard_at = now
        if event.outcome is Outcome.OK:
            backend.slowness[cls].sign(now, took, 1 - KEEP, fleet)
            self.unit_ms[cls] *= 1 + min(took - 1, 1.0) * LEARN  # a jam is not learnt as usual
        elif event.outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            own = event.outcome in (Outcome.ERROR, Outcome.TIMEOUT)  # it may fail just this class
            for c in [cls] if own else range(len(self.unit_ms)):
                backend.slowness[c].sign(now, max(DREAD, took), BLAME, fleet)
        if event.outcome in (Outcome.OK, Outcome.FULL, Outcome.TIMEOUT):
            sign = DREAD / 2 if event.outcome is Outcome.FULL else took
            self.slowness.sign(now, min(sign, DREAD / 2), 1 - KEEP)  # one lost answer is no jam of the fleet
