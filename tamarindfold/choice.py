"""Every decision of the gateway; its settings, events and actions are in tamarindfold/interface.py."""

from __future__ import annotations

from collections import deque
from math import inf, sqrt
from random import Random

from tamarindfold.interface import (
    Actions, AttemptEnded, BackendEntry, BackendState, Count, CountAnswered, Effect, Event, Fail,
    FleetUpdate, Group, ListKind, Log, Outcome, Plan, Refuse, RequestArrived, RequestClass,
    RequestWithdrawn, Send, SetTimer, Settings, TimerFired,
)

# ---- tuned constants
RAISE = 1.5  # a dry slice grows by half (design page)
FALL = 0.5  # an over-used slice loses half of what it has above the even split
ROOM = 0.5  # of the burst: a shared store fuller than this has room, so that a slice may grow
SPENT = 0.25  # of the burst: a shared store emptier than this is over-used, before it is beyond its quota
RESERVE = 0.1  # of the slice's burst: what only marked retries may take
NO_SHOW_MS = 2000.0  # a marked retry this late has given up; it would hold its place in the queue for ever
SLOTS = 40  # the counter calls of a second are spread over so many moments
SECOND_MS = 1000.0  # how often the design looks at a customer's use
SLOWEST_COUNT_MS = 8000.0  # under time-outs the counter is asked at least this often
BACK_OFF, SPEED_UP = 1.1, 0.95  # what an unanswered and an answered call do to the time between calls
NAME_TTL_MS = 60_000.0  # the longest life of a counter's name
KEEP = 0.9  # weight of the past in moving means: about the last ten answers
LEARN = 0.01  # how far one answer moves what a class is known to take
PILE = 1.0  # outstanding requests that a backend serves side by side without being slower for it
BLAME = 0.3  # how far one bad sign moves a backend's trouble toward certain
FORGIVE_MS = 3000.0  # time in which trouble fades to a third, so that a suspect is tried again
DREAD = 10.0  # a certainly troubled backend counts as so many times slower
TIE = 1.15  # backends within this factor of the best are as good: choose at random, so that no herd forms
COLD_PART = 0.5  # of the work that would push a cold backend over, all gateways together
RETRY_PART = 0.1  # further attempts earned by each first try
RETRY_MOST = 10.0  # further attempts that may be saved up
PATIENCE = 0.4  # of the aim: a mean request may be forecast to take so long, or all is refused
CHEAP_PATIENCE = 0.25  # the same for work that is worth next to nothing
SPARE_PATIENCE = 0.5  # of that: what requests beyond their quota may meet


class Customer:
    """One customer's slice of its quota here, and the virtual queue of those it was refused for."""

    def __init__(self, plan: Plan, width: int, now: float) -> None:
        self.plan, self.even = plan, 1 / width
        self.share, self.tokens = self.even, plan.burst * self.even
        self.cap_tokens = 0.0  # a restarted gateway cannot know what it spent of the ceiling
        self.dry = self.waiting = False
        self.filled_at = self.end_of_queue_time = now
        self.virtual_queue_length = 0
        self.appointments: deque[float] = deque()
        self.answers, self.unit_sum, self.unit_squares = 0, 0.0, 0.0
        self.unposted = self.in_flight = 0.0
        self.asked_at = self.total_at = -inf
        self.total: float | None = None
        self.store = plan.burst  # the shared store as the totals show it

    def refill(self, now: float) -> None:
        """Fill bucket and ceiling for the time gone by."""
        gone, self.filled_at = (now - self.filled_at) / 1000, now
        plan = self.plan
        self.tokens = min(plan.burst * self.share, self.tokens + gone * plan.rate * self.share)
        cap, cap_rate = plan.ceiling_burst * self.even, plan.ceiling_rate * self.even
        self.cap_tokens = min(cap, self.cap_tokens + gone * cap_rate)

    def covers(self, units: float, marked: bool, reserve: float) -> bool:
        """Whether the bucket lets this try pass; a full bucket does, or a large request never would."""
        burst = self.plan.burst * self.share
        left = self.tokens - (0 if marked else reserve * burst)
        return not self.plan.rate or left >= units or self.tokens >= burst

    def learn(self, units: float) -> None:
        """An answer's units go into the sums (never aged)."""
        self.answers += 1
        self.unit_sum += units
        self.unit_squares += units * units

    def return_time(self, now: float, units: float, no_show: float) -> float:
        """DIBA (the paper's Algorithm 6): how long the refused client is to stay away."""
        self.lapse(now - no_show)
        self.virtual_queue_length += 1
        mean = self.unit_sum / self.answers if self.answers else units
        spread = 0.0
        if self.answers >= 2:
            spread = sqrt(max(0.0, self.unit_squares / self.answers - mean * mean)) / mean
        fill = self.plan.rate * self.share if self.plan.rate else mean
        desired_return_rate = fill / mean * (1 + spread)
        queue_interval = 1000 / desired_return_rate
        client_wait_duration = queue_interval * self.virtual_queue_length
        self.end_of_queue_time = max(self.end_of_queue_time, now)
        if now + client_wait_duration - self.end_of_queue_time < queue_interval:
            back_at = now + client_wait_duration
            self.end_of_queue_time = max(self.end_of_queue_time, back_at)
        else:
            back_at = self.end_of_queue_time = self.end_of_queue_time + queue_interval
        self.appointments.append(back_at)
        return back_at - now

    def returned(self) -> None:
        """A marked retry leaves the queue."""
        self.virtual_queue_length = max(0, self.virtual_queue_length - 1)
        if self.appointments:
            self.appointments.popleft()

    def lapse(self, due: float) -> None:
        """Appointments up to then have been kept, or never will be."""
        while self.appointments and self.appointments[0] <= due:
            self.returned()

    def follow(self, over: bool) -> None:
        """Each second: a dry slice of a customer under quota grows, that of one over it falls back."""
        if over:
            self.share = max(self.even, self.share - (self.share - self.even) * FALL)
        elif self.dry and self.store > ROOM * self.plan.burst:
            self.share = min(1.0, self.share * RAISE)
        self.dry = False

    def counted(self, now: float, total: float) -> bool | None:
        """Take in the counter's total; tells whether the customer is over quota (None: no telling yet)."""
        last, last_at = self.total, self.total_at
        self.total, self.total_at = total, now
        if last is None or total < last - 1e-3 * abs(last) - 0.01:
            return None  # first answer, or the name expired or the counter was lost
        filled = self.store + (now - last_at) / 1000 * self.plan.rate - (total - last)
        self.store = min(self.plan.burst, max(0.0, filled))
        part = self.store * self.share if self.store > ROOM * self.plan.burst else 0.0
        self.tokens = max(part, min(self.tokens, self.store)) - self.unposted
        return filled < SPENT * self.plan.burst


class Backend:
    """What this gateway knows of one backend."""

    def __init__(self, entry: BackendEntry) -> None:
        self.entry = entry
        self.out: dict[tuple[int, int], tuple[float, float, float, float]] = {}  # sent at, work, load, pile
        self.load = 0.0  # work outstanding from here, in mean requests
        self.slowness, self.slow_at = 1.0, 0.0  # time taken over time expected at that pile
        self.trouble, self.trouble_at = 0.0, 0.0
        self.spent: deque[tuple[float, float]] = deque()  # sends in the cold window: when, work

    def warmth(self, now: float, settings: Settings) -> float:
        """The part of its capacity that is guaranteed at this time since its start."""
        age = now - self.entry.up_since_ms
        if not self.entry.up_since_ms or age >= settings.cold_ms:
            return 1.0
        return settings.start_capacity + (1 - settings.start_capacity) * max(0.0, age / settings.cold_ms)

    def pile(self, now: float, settings: Settings) -> float:
        """What stands there from here, as a warm backend of size one would feel it."""
        return PILE + self.load / (self.entry.size or 1.0) / self.warmth(now, settings)

    def worry(self, now: float) -> float:
        """Trouble, faded by the time since the last sign."""
        return self.trouble * 3 ** ((self.trouble_at - now) / FORGIVE_MS)

    def drag(self, now: float) -> float:
        """Slowness, forgotten as its last sign ages: few sends bring few answers to correct it."""
        return 1 + (self.slowness - 1) * 3 ** ((self.slow_at - now) / FORGIVE_MS)

    def timed(self, now: float, ratio: float) -> None:
        """Take in one answer's time; a rare answer weighs as much as the many it stands for."""
        weight = max(1 - KEEP, 1 - 3 ** ((self.slow_at - now) / FORGIVE_MS))
        self.slowness = self.drag(now) * (1 - weight) + weight * ratio
        self.slow_at = now

    def blame(self, now: float, amount: float) -> None:
        """A bad (positive) or good (negative) sign moves the one measure of health."""
        worry = self.worry(now)
        self.trouble = worry + amount * ((1 - worry) if amount > 0 else worry)
        self.trouble_at = now


class Call:
    """A request not yet answered: what has been tried and what may have run."""

    def __init__(self, event: RequestArrived, cls: RequestClass, customer: Customer, now: float) -> None:
        self.event, self.cls, self.customer = event, cls, customer
        self.give_up = now + event.time_left_ms
        self.aim = now + min(cls.aim_ms, event.time_left_ms)
        self.work, self.attempts = 0.0, 0
        self.tried: list[int] = []
        self.may_have_run = False
        self.ran_group: int | None = None
        self.ran_until = inf


class Gateway:
    """Decides for one gateway; hand it every event and carry out the actions it gives back."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.backends: dict[int, Backend] = {}
        self.customers: dict[int, Customer] = {}
        self.slots: list[list[int]] = [[] for _ in range(SLOTS)]
        self.calls: dict[int, Call] = {}
        self.ticking = False
        self.slot = self.attempts_out = 0
        self.count_every, self.retries = SECOND_MS, RETRY_MOST
        self.unit_ms = [cls.aim_ms / 10 for cls in settings.classes]  # time a unit takes on an idle backend
        self.mean_work = sum(self.unit_ms) / len(self.unit_ms)
        self.peak_work = 1000 / settings.gateways  # work a second that a warm backend surely takes from here
        self.done = self.done_since = 0.0
        self.actions: Actions = []

    def handle(self, now: float, event: Event) -> Actions:
        """Take in one event; the actions are to be carried out in order."""
        self.actions = []
        if not self.ticking and self.settings.counter and not self.settings.meter_ms:
            self.ticking = True
            self.actions.append(SetTimer(SECOND_MS / SLOTS, 0))
        match event:
            case RequestArrived():
                self.arrived(now, event)
            case AttemptEnded():
                self.ended(now, event)
            case TimerFired():
                self.tick(now)
            case CountAnswered():
                self.count_answered(now, event)
            case FleetUpdate():
                self.fleet(event)
            case RequestWithdrawn():
                self.calls.pop(event.request, None)
        return self.actions

    # ---- quotas: the ordinary path

    def customer(self, now: float, event: RequestArrived) -> Customer:
        known = self.customers.get(event.customer)
        if known is None:
            width = max(1, min(event.width, self.settings.gateways))
            known = self.customers[event.customer] = Customer(self.settings.plans[event.plan], width, now)
            spread = event.customer * 2654435761 / 2**32 + self.settings.index / self.settings.gateways
            self.slots[int(spread % 1 * SLOTS)].append(event.customer)
        known.refill(now)
        return known

    def arrived(self, now: float, event: RequestArrived) -> None:
        """The bucket decides; what it refuses gets a return time."""
        customer = self.customer(now, event)
        cls, plan = self.settings.classes[event.cls], customer.plan
        call = self.calls[event.request] = Call(event, cls, customer, now)
        call.work = self.unit_ms[event.cls] * max(event.units, 0.01)
        marks = self.settings.marks_retry
        if event.retry and marks:
            customer.returned()
        self.retries = min(RETRY_MOST, self.retries + RETRY_PART)
        if plan.ceiling_rate and customer.cap_tokens < event.units:
            customer.dry = True
            return self.refuse(now, call)
        inside = customer.covers(event.units, event.retry, RESERVE if marks else 0.0)
        if not inside:
            customer.dry = True
            if plan.over_worth <= plan.over_cost:
                return self.refuse(now, call)
        backend = self.choose(now, call, self.patience(event.cls) * (1.0 if inside else SPARE_PATIENCE))
        if backend is None:
            return self.refuse(now, call)
        customer.tokens -= event.units if inside else 0.0
        customer.cap_tokens -= event.units if plan.ceiling_rate else 0.0
        customer.unposted += event.units
        self.send(now, call, backend)

    def refuse(self, now: float, call: Call) -> None:
        """Final answer: the client is told when to come back."""
        wait = call.customer.return_time(now, call.event.units, NO_SHOW_MS * self.settings.marks_retry)
        self.actions.append(Refuse(call.event.request, wait))
        self.calls.pop(call.event.request, None)

    def tick(self, now: float) -> None:
        """One of the second's moments: ask the counter for the customers whose turn it is."""
        self.actions.append(SetTimer(SECOND_MS / SLOTS, 0))
        self.slot = (self.slot + 1) % SLOTS
        self.slots[self.slot] = [n for n in self.slots[self.slot] if not self.forgotten(now, n)]
        for name in self.slots[self.slot]:
            c = self.customers[name]
            active = (c.unposted or c.dry) and c.plan.rate and not c.waiting
            if active and now - c.asked_at >= self.count_every - SECOND_MS / SLOTS:
                c.waiting, c.asked_at = True, now
                c.in_flight, c.unposted = c.unposted, 0.0
                self.actions.append(Count(name, c.in_flight, NAME_TTL_MS))

    def forgotten(self, now: float, name: int) -> bool:
        """Drop a customer idle for a name's life: a fresh one would be the same, but for its unit sums."""
        idle = now - self.customers[name].filled_at > NAME_TTL_MS and not self.customers[name].waiting
        return idle and self.customers.pop(name) is not None

    def count_answered(self, now: float, event: CountAnswered) -> None:
        """Guards against a slow, full or lost counter: never add twice, ask less, hold the last rate."""
        if (c := self.customers.get(event.name)) is None:
            return
        c.waiting = False
        if event.outcome is Outcome.OK:
            self.count_every = max(SECOND_MS, self.count_every * SPEED_UP)
            c.refill(now)
            if (over := c.counted(now, event.total)) is not None:
                c.follow(over)
            return
        if event.outcome.never_ran:
            c.unposted += c.in_flight
        slower = min(SLOWEST_COUNT_MS, self.count_every * BACK_OFF)
        if slower == SLOWEST_COUNT_MS > self.count_every:
            self.actions.append(Log("the quota counter is silent: slices are held"))
        self.count_every = slower

    # ---- backends

    def fleet(self, event: FleetUpdate) -> None:
        """Follow the list; what it does not name as ready gets nothing new from this moment on."""
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            for backend in self.backends.values():
                backend.entry.state = BackendState.GONE
        for entry in event.entries:
            known = self.backends.setdefault(entry.backend, Backend(entry))
            if entry.up_since_ms > known.entry.up_since_ms:
                known.slowness, known.trouble = 1.0, 0.0
            known.entry = entry

    def patience(self, number: int) -> float:
        """The wait that this class may meet: long-aimed cheap work must not fill a pressed fleet."""
        classes = self.settings.classes
        worth = [c.worth / ms for c, ms in zip(classes, self.unit_ms, strict=True)]
        aim = min(c.aim_ms for c, w in zip(classes, worth, strict=True) if w >= worth[number])
        return aim * (CHEAP_PATIENCE + (PATIENCE - CHEAP_PATIENCE) * worth[number] / max(worth))

    def forecast(self, now: float, backend: Backend, work: float) -> float:
        """Expected time of a send to this backend; silence bounds it from below."""
        expected = work * backend.drag(now) * backend.pile(now, self.settings) / PILE
        if backend.out:
            sent_at, own, _, _ = next(iter(backend.out.values()))
            expected = max(expected, now - sent_at - own)
        return expected

    def cold_room(self, now: float, backend: Backend, work: float) -> bool:
        """Guards a cold backend: the work of any window stays well inside what pushes it over."""
        s, warmth = self.settings, backend.warmth(now, self.settings)
        if warmth >= 1:
            return True
        while backend.spent and backend.spent[0][0] <= now - s.overload_ms:
            backend.spent.popleft()
        budget = COLD_PART * s.fall_multiple * warmth * self.peak_work * s.overload_ms / 1000
        return sum(w for _, w in backend.spent) + work <= budget

    def choose(self, now: float, call: Call, patience: float = inf) -> Backend | None:
        """The backend with the least expected delay, at random among near ties; None: refuse."""
        ready = [b for b in self.backends.values() if b.entry.state is BackendState.READY
                 and (call.ran_group is None or self.group(b, call.cls) == call.ran_group)]
        ready = [b for b in ready if b.entry.backend not in call.tried] or ready
        rated = [(self.forecast(now, b, call.work) * (1 + DREAD * b.worry(now)), b) for b in ready
                 if self.cold_room(now, b, call.work)]
        if not rated:
            return None
        least = min(f for f, _ in rated)
        best = self.random.choice([b for f, b in rated if f <= least * TIE])
        wait = self.forecast(now, best, self.mean_work)
        if self.attempts_out and (wait > patience or wait + call.work - self.mean_work > call.aim - now):
            return None
        return best

    @staticmethod
    def group(backend: Backend, cls: RequestClass) -> int:
        """The backends that drop each other's repeats of this class."""
        return {Group.ALL: 0, Group.ZONE: backend.entry.zone, Group.CELL: backend.entry.cell}[cls.group]

    # ---- attempts

    def send(self, now: float, call: Call, backend: Backend) -> None:
        """Start an attempt and remember what it may do."""
        work, load = call.work, call.work / self.mean_work
        backend.out[call.event.request, call.attempts] = (now, work, load, backend.pile(now, self.settings))
        backend.load += load
        if backend.warmth(now, self.settings) < 1:
            backend.spent.append((now, work))
        self.mean_work += (work - self.mean_work) * LEARN
        self.attempts_out += 1
        call.attempts += 1
        call.tried.append(backend.entry.backend)
        self.actions.append(Send(call.event.request, backend.entry.backend))

    def ended(self, now: float, event: AttemptEnded) -> None:
        """Learn from the outcome, then answer the request or try again as far as its class allows."""
        backend = self.backends.get(event.backend)
        known = backend.out.pop((event.request, event.attempt), None) if backend else None
        call = self.calls.get(event.request)
        if backend and known:
            self.attempts_out -= 1
            _, work, load, pile = known
            backend.load = max(0.0, backend.load - load) if backend.out else 0.0
            self.learn(now, backend, event, call, work, pile)
        if call is None:
            return
        if event.used_percent is not None and now - call.customer.asked_at >= SECOND_MS:
            call.customer.asked_at = now  # the site has a meter: each second it takes the counter's place
            call.customer.follow(event.used_percent >= 100)
        if event.outcome is Outcome.OK:
            units = event.true_units or call.event.units
            call.customer.learn(units)
            if self.settings.settled_after and event.true_units:
                call.customer.tokens -= units - call.event.units
                call.customer.unposted += units - call.event.units
        if event.over:
            self.calls.pop(event.request, None)
            return
        if not event.outcome.never_ran:
            call.may_have_run = True
            if backend and call.cls.effect is Effect.KEYED and call.ran_group is None:
                call.ran_group = self.group(backend, call.cls)
                call.ran_until = now - event.elapsed_ms + call.cls.window_ms
        self.again(now, call)

    def again(self, now: float, call: Call) -> None:
        """The one table of further attempts: by effect, and by what may have run."""
        harmless = not call.may_have_run or call.cls.effect is Effect.SAFE
        keyed = call.cls.effect is Effect.KEYED
        allowed = harmless or (keyed and now < call.ran_until - 1)
        refusable = harmless or (keyed and call.cls.group is Group.ALL)
        in_time = now < call.give_up - self.settings.tick_ms
        if allowed and in_time and call.attempts < self.settings.max_attempts and self.retries >= 1:
            backend = self.choose(now, call)
            if backend is not None:
                self.retries -= 1
                return self.send(now, call, backend)
        if refusable:
            return self.refuse(now, call)
        self.actions.append(Fail(call.event.request))
        self.calls.pop(call.event.request, None)

    def learn(self, now: float, backend: Backend, event: AttemptEnded, call: Call | None, work: float,
              pile: float) -> None:
        """One measure of health from every kind of sign; service times from good answers."""
        if event.outcome is Outcome.OK:
            backend.blame(now, -BLAME)
            took = event.elapsed_ms / (pile / PILE)
            backend.timed(now, took / work)
            if call is not None:
                cls, seen = call.event.cls, took / max(call.event.units, 0.01)
                self.unit_ms[cls] += (seen - self.unit_ms[cls]) * LEARN
            if backend.warmth(now, self.settings) >= 1:
                self.done += work
                if now - self.done_since >= self.settings.overload_ms:
                    warm = sum(b.warmth(now, self.settings) >= 1 for b in self.backends.values())
                    rate = self.done / (now - self.done_since) * 1000 / warm
                    self.peak_work = max(self.peak_work, rate)
                    self.done, self.done_since = 0.0, now
        elif event.outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            backend.blame(now, BLAME)
            if event.outcome is Outcome.TIMEOUT:
                backend.timed(now, max(1.0, event.elapsed_ms / work))
