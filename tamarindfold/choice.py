"""The decisions of a gateway, in terms of the settings, events and actions in tamarindfold/interface.py.

They cover quotas, load shedding, the choice of a backend, and further attempts. The module is deterministic:
it has no clock and no I/O, and all randomness comes from one seeded generator. Times are milliseconds on the
caller's clock.
"""

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
    CustomerSnapshot,
    Effect,
    Event,
    ExternalUse,
    Fail,
    FleetUpdate,
    GatewayStalled,
    Group,
    ListKind,
    Outcome,
    Plan,
    PlansChanged,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestWithdrawn,
    Send,
    Settings,
    SettingsChanged,
    StateRestored,
    Why,
)

# ---- a customer's share of its quota

SHARE_ADJUST_INTERVAL_MS = 1000.0
SHARE_GROWTH_FACTOR = 1.5  # applied to the share of a customer whose bucket ran dry
SHARE_DECAY_FACTOR = 0.5  # applied to what an over-used customer's share has beyond the even split
SHARED_ROOM_FRACTION = 0.9  # of the burst: a shared bucket above this level has room for every gateway
SHARED_OVERUSE_FRACTION = 0.25  # of the burst: below this level of the shared bucket the quota is over-used
RETRY_RESERVE_FRACTION = 0.1  # of the local bucket: kept for retries that the client has marked
MAX_APPOINTMENTS = 256  # of a customer; clients refused beyond them hold no place in the queue
APPOINTMENT_GRACE_MS = 2000.0  # a client this late is no longer expected; its place in the queue is freed

# ---- the shared counter

COUNTER_NAME_TTL_MS = 60_000.0  # a customer is counted under a new name after this time
MAX_DRIFT_FRACTION = 0.5  # of the burst: a total further off than this is corrected by a call of its own
REPORT_BATCH_FRACTION = 0.08  # of the burst: units that are reported with one call
BUSY_HEADROOM = 0.4  # with less headroom than this, calls to the counter are skipped at random
INITIAL_HEADROOM = 0.5
MIN_HEADROOM = 0.01
HEADROOM_DECREASE_FACTOR = 0.7  # after a late answer
HEADROOM_INCREASE = 0.04  # after a prompt answer
LATE_ANSWER_FRACTION = 0.5  # of the counter's time-out: a slower answer is a sign of an overloaded counter

# ---- the health of backends

EWMA_DECAY = 0.9  # weight of the old value in moving averages
UNIT_TIME_LEARNING_RATE = 0.01  # how far one answer moves the expected time of its class
FAILURE_WEIGHT = 0.3  # of a failure in a moving average; also the most that a rare observation gets
FAILURE_SLOWNESS = 10.0  # the slowness that a failure is rated with, at least
MIN_DECAY_MS = 3000.0  # an observation fades to a third within this time,
DECAY_GAPS = 2.0  # or within this many gaps between observations, whichever is longer
MAX_GAP_MS = 60_000.0  # a gap this long does not extend the decay time

# ---- the choice of a backend

NEAR_TIE_FACTOR = 1.15  # a random choice among backends this close to the best prevents a thundering herd
MIN_SUBSET_SIZE = 5  # least number of backends that a gateway uses, and of gateways that use a backend
MAX_CANDIDATES = 16  # backends compared for one attempt
COLD_BUDGET_FRACTION = 0.8  # of the work, from all gateways, that would overload a cold backend
RETRY_TOKENS_PER_TRY = 0.1  # further attempts that each client's try adds to the retry budget
MAX_RETRY_TOKENS = 10.0
REPEAT_MARGIN_MS = 1.0  # a repeat may take longer on its way to the backend than the first attempt did
MAX_WAIT_FRACTION = 0.33  # of the aim: the longest expected wait, for the highest worth per ms
CHEAP_MAX_WAIT_FRACTION = 0.25  # the same for classes of worth zero
OVER_QUOTA_WAIT_FACTOR = 0.5  # applied to the longest wait of requests beyond their quota
SHEDDING_EXPONENT = 16.0  # how sharply the admitted fraction falls as the wait exceeds its limit


class Slowness:
    """The time that work takes relative to the time expected: 1 is normal, more is slower.

    A moving average that decays towards a baseline. It is kept for each backend and class, and for the fleet.
    """

    def __init__(self) -> None:
        self.value = 1.0
        self.updated_at = -inf
        self.decay_ms = MIN_DECAY_MS  # the time in which the deviation from the baseline falls to a third

    def current(self, now: float, baseline: float = 1.0) -> float:
        """The average at this time, decayed towards the baseline since the last observation."""
        return baseline + (self.value - baseline) * 3 ** ((self.updated_at - now) / self.decay_ms)

    def observe(self, now: float, value: float, weight: float, baseline: float = 1.0) -> None:
        """Add an observation; after a long gap it gets more than the given weight."""
        weight = max(weight, min(FAILURE_WEIGHT, 1 - 3 ** ((self.updated_at - now) / self.decay_ms)))
        self.value = self.current(now, baseline) + (value - self.current(now, baseline)) * weight
        gap = now - max(self.updated_at, now - MAX_GAP_MS)
        self.updated_at = now
        self.decay_ms = max(MIN_DECAY_MS, DECAY_GAPS * gap) if gap < MAX_GAP_MS else MIN_DECAY_MS


class Customer:
    """One customer at this gateway: its share of the quota, and the virtual queue of its refused clients.

    width: the number of gateways that the quota is divided among.
    """

    __slots__ = (
        "admitted_unasked",
        "answers",
        "appointments",
        "cap_tokens",
        "counted_at",
        "end_of_queue_time",
        "even_share",
        "number",
        "plan",
        "ran_dry",
        "refilled_at",
        "refused_unasked",
        "share",
        "share_adjusted_at",
        "shared_tokens",
        "tokens",
        "unit_squares",
        "unit_sum",
        "unreported_units",
        "unused_fraction",
        "waived_units",
    )

    def __init__(
        self, plan: Plan, width: int, now: float, number: int = 0, unreported_units: float = 0.0
    ) -> None:
        self.plan = plan
        self.number = number
        self.even_share = 1 / width
        self.share = self.even_share  # this gateway's part of rate and burst
        self.tokens = plan.burst * self.even_share  # in the local bucket; below zero: admitted on credit
        # left of the ceiling; starts empty, because a restarted gateway may have spent it all
        self.cap_tokens = 0.0
        self.refilled_at = now
        self.end_of_queue_time = now
        self.appointments: list[float] = []  # retry times announced to refused clients
        # number, sum and sum of squares of the units of answered requests
        self.answers = 0
        self.unit_sum = 0.0
        self.unit_squares = 0.0
        self.unreported_units = unreported_units  # used but not counted; below zero: counted but not used
        self.shared_tokens = plan.burst  # in the shared bucket, by the counter's last answer
        self.counted_at = -inf  # time of that answer
        self.unused_fraction = 1.0  # of the quota granted since the counter's current name began
        self.share_adjusted_at = now
        self.ran_dry = False  # whether the local bucket lacked units since the share was last adjusted
        # units decided without asking the counter since its last answer
        self.admitted_unasked = 0.0
        self.refused_unasked = 0.0
        # use that a change to a smaller plan has written off; a change to a larger plan counts it again
        self.waived_units = 0.0

    def refill(self, now: float) -> None:
        """Fill the bucket and the ceiling for the time since the last call."""
        plan = self.plan
        elapsed_s = (now - self.refilled_at) / 1000
        self.refilled_at = now
        self.tokens = min(plan.burst * self.share, self.tokens + elapsed_s * plan.rate * self.share)
        self.waived_units = max(0.0, self.waived_units - elapsed_s * plan.rate * self.share)
        cap = plan.ceiling_burst * self.even_share
        self.cap_tokens = min(cap, self.cap_tokens + elapsed_s * plan.ceiling_rate * self.even_share)

    def change_plan(self, plan: Plan) -> None:
        """Move to another plan: use carries over, but use that the old plan allowed leaves no debt."""
        old = self.plan
        full = plan.burst * self.share
        if old.rate:
            carried = full - (old.burst * self.share - self.tokens) - self.waived_units
            self.tokens = max(min(self.tokens, full), carried)
            self.waived_units = self.tokens - carried
            self.shared_tokens = max(
                min(self.shared_tokens, plan.burst), plan.burst - (old.burst - self.shared_tokens)
            )
        else:
            self.tokens = full
            self.shared_tokens = plan.burst
            self.unreported_units = min(self.unreported_units, 0.0)
        self.plan = plan

    def resize(self, now: float, width: int) -> None:
        """Divide the quota among another number of gateways.

        A smaller share cuts the tokens at the next refill; a larger one adds none until then.
        """
        self.refill(now)
        self.share = min(1.0, self.share / self.even_share / width)
        self.even_share = 1 / width

    def schedule_return(self, now: float, units: float, grace_ms: float) -> float:
        """Schedule the retry of a refused client, and return the time until then in ms (DIBA, Algorithm 6).

        The client is appended to a virtual queue that is served at the rate at which this gateway's share of
        the quota admits requests. units: those of the request, used until the customer's mean is known.
        grace_ms: how long an appointment is kept after its retry time.
        """
        while self.appointments and self.appointments[0] <= now - grace_ms:
            self.appointments.pop(0)
        mean = self.unit_sum / self.answers if self.answers else units
        variance = self.unit_squares / self.answers - mean * mean if self.answers >= 2 else 0.0
        fill = self.plan.rate * self.share if self.plan.rate else mean
        desired_return_rate = fill / mean * (1 + sqrt(max(0.0, variance)) / mean)
        queue_interval = 1000 / desired_return_rate
        client_wait_duration = queue_interval * (len(self.appointments) + 1)
        self.end_of_queue_time = max(self.end_of_queue_time, now)
        if now + client_wait_duration - self.end_of_queue_time < queue_interval:
            retry_at = now + client_wait_duration
            self.end_of_queue_time = max(self.end_of_queue_time, retry_at)
        else:
            retry_at = self.end_of_queue_time = self.end_of_queue_time + queue_interval
        if len(self.appointments) < MAX_APPOINTMENTS:
            self.appointments.append(retry_at)
        return retry_at - now

    def adjust_share(self, now: float, overused: bool) -> None:
        """Adjust the share, at most once per interval.

        The share of an over-used quota falls back towards the even split. Otherwise the share grows if the
        local bucket ran dry while the shared bucket has room.
        """
        if now - self.share_adjusted_at >= SHARE_ADJUST_INTERVAL_MS:
            grows = self.ran_dry and self.shared_tokens > SHARED_ROOM_FRACTION * self.plan.burst
            decayed = max(self.even_share, self.share - (self.share - self.even_share) * SHARE_DECAY_FACTOR)
            if overused:
                self.share = decayed
            elif grows:
                self.share = min(1.0, self.share * SHARE_GROWTH_FACTOR)
            self.share_adjusted_at = now
            self.ran_dry = False

    def exceeds_bucket(self, units: float) -> bool:
        """Whether even a full local bucket is too small for this request, so only the counter can decide."""
        return self.plan.burst * self.share < units

    def estimated_fill(self, now: float, refill_fraction: float) -> float:
        """The estimated level of the shared bucket, relative to the level at which it has room for all.

        It serves as the chance that a request beyond the local bucket is within the quota; it may exceed 1.
        refill_fraction: the part of the rate that is assumed to have been added since the last answer.
        """
        estimate = self.shared_tokens + refill_fraction * (now - self.counted_at) / 1000 * self.plan.rate
        estimate += min(0.0, self.tokens)  # admitted on credit here, and not reported yet
        return estimate / (SHARED_ROOM_FRACTION * self.plan.burst) if self.plan.burst else 0.0

    def apply_count(self, now: float, before: float, use: float, age_ms: float) -> float:
        """Update the shared and the local bucket from one answer of the counter.

        before: the total ahead of this call. use: the units that the call added. age_ms: how long the name
        has been in use. Returns the units to add to the total as a correction: above zero where more than a
        burst was left unused, below zero where the total was corrected twice.
        """
        plan = self.plan
        granted = plan.burst + age_ms / 1000 * plan.rate
        full = plan.burst
        level = granted - before
        self.unused_fraction = min(1.0, max(0.0, level / granted))
        if before < 0.01:  # a new or lost name: units that were missing before are missing still
            full = min(full, self.shared_tokens + (now - self.counted_at) / 1000 * plan.rate)
        self.shared_tokens = min(full, level) - use
        self.counted_at = now
        has_room = self.shared_tokens > SHARED_ROOM_FRACTION * plan.burst
        min_tokens = self.shared_tokens * self.share if has_room else 0.0
        self.tokens = max(min_tokens, min(self.tokens, self.shared_tokens)) - max(0.0, self.unreported_units)
        self.adjust_share(now, self.shared_tokens < SHARED_OVERUSE_FRACTION * plan.burst)
        # use beyond the quota is taken back from the counter, so a total this high was corrected twice
        if use > 0 and level < -MAX_DRIFT_FRACTION * plan.burst:
            return level
        return max(0.0, level - full)


# an outstanding attempt: time of sending, work in ms, the backend's queue factor at that time, class
SentAttempt = tuple[float, float, float, int]


class Backend:
    """What this gateway knows of one backend."""

    def __init__(self, entry: BackendEntry, classes: int) -> None:
        self.entry = entry
        self.load = 0.0  # work outstanding from this gateway, in ms
        self.last_answer_at = -inf  # of any request: tells a lost connection from a silent backend
        self.outstanding: dict[tuple[int, int], SentAttempt] = {}  # by request and attempt
        self.slowness = [Slowness() for _ in range(classes)]
        self.cold_window = -1.0  # number of the time window that the budget is for
        self.cold_budget_ms = 0.0  # work that this gateway may still send in the window

    def warmth(self, now: float, settings: Settings) -> float:
        """The fraction of its capacity that a backend is guaranteed to have this long after its start."""
        age_ms = now - self.entry.up_since_ms
        if not self.entry.up_since_ms or age_ms >= settings.cold_ms:
            return 1.0
        return settings.start_capacity + (1 - settings.start_capacity) * max(0.0, age_ms / settings.cold_ms)


class Call:
    """A request without a final answer: the backends it was sent to, and whether it may have run."""

    def __init__(
        self, event: RequestArrived, cls: RequestClass, customer: Customer, now: float, work_ms: float
    ) -> None:
        self.event = event
        self.cls = cls
        self.customer = customer
        self.work_ms = work_ms  # expected time on an idle backend
        self.deadline = now + event.time_left_ms
        self.aim_at = now + min(cls.aim_ms, event.time_left_ms)
        self.attempted: list[Backend] = []  # one for each attempt
        self.decided_at: list[float] = []  # when each attempt was decided on
        self.may_have_run = False
        self.dedup_group: tuple[Group, int] | None = None  # the backends that drop a repeat
        self.dedup_until = inf
        self.counted_units = 0.0  # added to the counter for this request


class Gateway:
    """The decisions of one gateway: hand it every event, and carry out the actions that it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.uses_counter = settings.counter and not settings.meter_ms
        self.backends: dict[int, Backend] = {}
        self.customers: dict[int, Customer] = {}  # in the order of their last use, the longest idle first
        self.newcomers: dict[int, None] = {}  # those of them that have sent one request, the oldest first
        self.max_customers = inf
        self.customers_forgotten = 0  # for want of room
        # unanswered calls to the counter by name, oldest first: customer, use, correction, held request
        self.pending_counts: dict[int, deque[tuple[Customer, float, float, Call | None]]] = {}
        self.calls: dict[int, Call] = {}
        # ready backends by group, sorted
        self.rings: dict[tuple[Group, int], list[int]] = {(Group.ALL, 0): []}
        self.fleet_slowness = Slowness()
        self.counter_headroom = INITIAL_HEADROOM  # 0 to 1: how freely the counter may be called
        self.retry_tokens = MAX_RETRY_TOKENS
        # Units of tries, for the log. Decided after a counter call (asked) or without one: admitted (unasked)
        # or refused (refused_unasked). Admitted beyond the quota on purpose (over_known) or, as the next
        # answer showed, by mistake (over_unknown); refused by mistake (refused_with_room).
        self.account = dict.fromkeys(
            ("asked", "unasked", "over_known", "over_unknown", "refused_unasked", "refused_with_room"), 0.0
        )
        self.mean_overrun_cost = 0.0  # moving average of the cost of admitting a request beyond its quota
        # moving average: the part of customers' first counter calls that granted the held request
        self.first_count_granted_fraction = 1.0
        self.unit_ms = [cls.aim_ms / 10 for cls in settings.classes]  # time of one unit on an idle backend
        # moving averages of the work of attempts, and of the unit time of tries
        self.mean_work_ms = self.mean_unit_ms = sum(self.unit_ms) / len(self.unit_ms)
        # when this gateway's part of the quotas last grew, and among how many they were divided before
        self.share_grown_at = 0.0
        self.gateways_before = 1
        self.resumed_at = -inf  # end of this gateway's last stall: older attempts say nothing about backends
        self.actions: Actions = []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self.on_request_arrived,
            AttemptEnded: self.on_attempt_ended,
            CountAnswered: self.on_count_answered,
            FleetUpdate: self.on_fleet_update,
            RequestWithdrawn: self.on_request_withdrawn,
            PlansChanged: self.on_plans_changed,
            SettingsChanged: self.on_settings_changed,
            ExternalUse: self.on_external_use,
            GatewayStalled: self.on_gateway_stalled,
            StateRestored: self.on_state_restored,
        }

    def handle(self, now: float, event: Event) -> Actions:
        """Process one event; the actions returned are to be carried out in order."""
        self.actions = []
        if handler := self.handlers.get(type(event)):
            handler(now, event)
        return self.actions

    def on_request_withdrawn(self, now: float, event: RequestWithdrawn | AttemptEnded) -> None:
        """Drop a request that needs no answer any more, and cancel its outstanding attempt."""
        call = self.calls.pop(event.request, None)
        if call and call.attempted and self.settings.cancel:
            last = len(call.attempted) - 1
            if (event.request, last) in call.attempted[-1].outstanding:
                self.actions.append(Cancel(event.request, last))

    def on_plans_changed(self, now: float, event: PlansChanged) -> None:
        """Replace the plans; each customer moves to its new plan with its next request."""
        self.settings = replace(self.settings, plans=event.plans)

    def on_settings_changed(self, now: float, event: SettingsChanged) -> None:
        """Apply new settings, among them another number of gateways that the quotas are divided among.

        Where this gateway's part grows, it grants nothing that another gateway may have granted just before.
        """
        old, new = self.settings, event.settings
        # an earlier growth counts only while it is recent
        recently_before = self.gateways_before * (now - self.share_grown_at < COUNTER_NAME_TTL_MS)
        self.settings = new
        self.uses_counter = new.counter and not new.meter_ms
        for cls in new.classes[len(self.unit_ms) :]:
            self.unit_ms.append(cls.aim_ms / 10)
            for backend in self.backends.values():
                backend.slowness.append(Slowness())
        if new.gateways < old.gateways or event.newcomer:
            self.share_grown_at = now
            # the bucket of a customer that is new to a newcomer starts empty
            self.gateways_before = max(recently_before, old.gateways, 10**9 * event.newcomer)
        for customer in self.customers.values() if new.gateways != old.gateways else ():
            customer.resize(now, new.gateways)

    # ---- stalls and restarts

    def on_gateway_stalled(self, now: float, event: GatewayStalled) -> None:
        """Do not blame backends for the time in which this gateway was suspended."""
        self.resumed_at = now

    def customer_snapshot(self, customer: int) -> CustomerSnapshot | None:
        """The state of a customer that a restart must keep; None for an unknown customer."""
        if (known := self.customers.get(customer)) is None:
            return None
        plan_index = next((i for i, plan in enumerate(self.settings.plans) if plan is known.plan), -1)
        return CustomerSnapshot(
            customer,
            plan_index,
            round(1 / known.even_share),
            list(known.appointments),
            known.end_of_queue_time,
            known.answers,
            known.unit_sum,
            known.unit_squares,
            known.cap_tokens,
            known.refilled_at,
        )

    def on_state_restored(self, now: float, event: StateRestored) -> None:
        """Take over the state of an earlier incarnation.

        The virtual queues continue, and each ceiling has what was left of it plus the refill since then.
        """
        self.unit_ms = list(event.unit_ms) if len(event.unit_ms) == len(self.unit_ms) else self.unit_ms
        self.mean_work_ms = self.mean_unit_ms = sum(self.unit_ms) / len(self.unit_ms)
        for saved in event.customers:
            if saved.customer in self.customers or not 0 <= saved.plan < len(self.settings.plans):
                continue
            width = max(1, min(saved.width, self.settings.gateways))
            customer = Customer(self.settings.plans[saved.plan], width, min(now, saved.at_ms), saved.customer)
            customer.cap_tokens = saved.cap_tokens
            customer.refill(now)
            customer.appointments = list(saved.appointments[:MAX_APPOINTMENTS])
            customer.end_of_queue_time = saved.end_of_queue_ms
            customer.answers = saved.answers
            customer.unit_sum = saved.unit_sum
            customer.unit_squares = saved.unit_squares
            customer.share_adjusted_at = now
            self.customers[saved.customer] = customer

    # ---- quotas

    def customer_for(self, now: float, event: RequestArrived | ExternalUse) -> Customer:
        """The customer of an event, refilled and on its current plan; created where it is unknown.

        Each call also drops the customer that has been idle longest, if its last counter name has expired,
        and forgets one while there are too many.
        """
        known = self.customers.pop(event.customer, None)
        plan = self.settings.plans[event.plan]
        self.newcomers.pop(event.customer, None)
        if known is None:
            self.newcomers[event.customer] = None
            width = max(1, min(event.width, self.settings.gateways))
            # a random start makes reports in whole batches right on average, even where use is rare
            unreported = -self.random.random() * REPORT_BATCH_FRACTION * plan.burst
            known = Customer(plan, width, now, event.customer, unreported)
            # no more than this gateway's part before it last grew, and the refill since then
            known.tokens = min(
                known.tokens,
                plan.burst / self.gateways_before
                + (now - self.share_grown_at) / 1000 * plan.rate * known.even_share,
            )
        self.customers[event.customer] = known
        known.refill(now)
        if known.plan is not plan:
            known.change_plan(plan)
        oldest_number, oldest = next(iter(self.customers.items()))
        if now - oldest.refilled_at > COUNTER_NAME_TTL_MS:
            self.drop_customer(oldest_number)
        elif len(self.customers) > self.max_customers:
            self.customers_forgotten += 1
            newcomer = next(iter(self.newcomers), event.customer)
            self.drop_customer(oldest_number if newcomer == event.customer else newcomer)
        return known

    def drop_customer(self, number: int) -> None:
        """Forget a customer: its bucket starts full when it comes again, its ceiling empty."""
        del self.customers[number]
        self.newcomers.pop(number, None)

    def on_request_arrived(self, now: float, event: RequestArrived) -> None:
        """Decide on a client's try.

        The local bucket decides first. A request beyond it is refused where the shared bucket is estimated to
        be empty, or held until the counter answers, or decided by the estimate.
        """
        customer = self.customer_for(now, event)
        plan = customer.plan
        marks_retry = self.settings.marks_retry
        work_ms = self.unit_ms[event.cls] * max(event.units, 0.01)
        call = Call(event, self.settings.classes[event.cls], customer, now, work_ms)
        self.calls[event.request] = call
        if event.retry and marks_retry and customer.appointments:
            customer.appointments.pop(0)
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_TRY)
        self.mean_unit_ms += (self.unit_ms[event.cls] - self.mean_unit_ms) * (1 - EWMA_DECAY) / 2
        below_ceiling = not plan.ceiling_rate or customer.cap_tokens >= event.units
        reserve = (
            RETRY_RESERVE_FRACTION * plan.burst * customer.share if marks_retry and not event.retry else 0.0
        )
        if below_ceiling and (not plan.rate or customer.tokens - reserve >= event.units):
            return self.admit(now, call, True)
        customer.ran_dry = True
        exceeds_bucket = customer.exceeds_bucket(event.units)
        if below_ceiling and plan.over_worth > plan.over_cost:  # worth admitting beyond its quota
            self.account["over_known"] += 0.0 if exceeds_bucket else event.units
            return self.admit(now, call, exceeds_bucket)
        draw = self.random.random()
        refill_fraction = max(self.counter_headroom, customer.unused_fraction)
        if not below_ceiling or draw >= customer.estimated_fill(now, refill_fraction):
            customer.refused_unasked += event.units
            self.account["refused_unasked"] += event.units
            return self.refuse(now, call, Why.QUOTA)
        answered_by = now + self.settings.counter_timeout_ms + 2 * self.settings.tick_ms
        may_hold = self.uses_counter and answered_by < call.deadline
        chance = self.count_chance(call) if may_hold else 0.0
        if self.random.random() < chance:
            if exceeds_bucket:
                # also stands for similar requests that are decided without a call (inverse probability)
                call.counted_units = min(
                    event.units / chance, max(event.units, MAX_DRIFT_FRACTION * plan.burst)
                )
                self.account["asked"] += event.units
                return self.count(customer, now, call.counted_units, 0.0, call)
            if customer.unreported_units + event.units > 0:  # at most one request is held for each batch
                call.counted_units = event.units
                self.account["asked"] += event.units
                customer.unreported_units += event.units
                return self.report_use(now, customer, call)
        if customer.counted_at > -inf:
            within_chance = min(1.0, customer.estimated_fill(now, customer.unused_fraction))
        else:
            within_chance = self.first_count_granted_fraction
        # without a counter only a full bucket goes into debt, or larger requests would never be admitted
        if draw < within_chance - (1 - within_chance) * (plan.over_cost - plan.over_worth) and (
            self.uses_counter or customer.tokens >= plan.burst * customer.share
        ):
            return self.admit(now, call, True)
        self.refuse(now, call, Why.QUOTA)

    def count_chance(self, call: Call) -> float:
        """The probability of asking the counter about a request that the local bucket cannot cover.

        With little headroom, the requests that cost most when wrongly admitted are asked about first.
        """
        plan = call.customer.plan
        base = self.counter_headroom / BUSY_HEADROOM
        if not call.customer.exceeds_bucket(call.event.units):
            return min(1.0, base)
        on_credit = max(0.0, -call.customer.tokens)
        overrun_cost = (call.event.units + on_credit) * call.cls.worth * plan.price * plan.over_cost
        weight = (1 - EWMA_DECAY) / 2 if self.mean_overrun_cost else 1.0
        self.mean_overrun_cost += (overrun_cost - self.mean_overrun_cost) * weight
        relative_cost = overrun_cost / self.mean_overrun_cost if self.mean_overrun_cost else 1.0
        return min(1.0, base * (self.counter_headroom + (1 - self.counter_headroom) * relative_cost))

    def admit(self, now: float, call: Call, within_quota: bool) -> None:
        """Send a request that is admitted by quota, or refuse it where the fleet is overloaded."""
        event, customer = call.event, call.customer
        max_wait_ms = self.max_wait_ms(event.cls) * (1.0 if within_quota else OVER_QUOTA_WAIT_FACTOR)
        backend = self.choose_backend(now, call, max_wait_ms)
        if backend is None:
            customer.unreported_units -= call.counted_units
            return self.refuse(now, call, Why.PRESSURE)
        customer.cap_tokens -= event.units if customer.plan.ceiling_rate else 0.0
        if within_quota and not call.counted_units:
            if customer.ran_dry and customer.tokens < event.units:  # beyond the bucket, and not asked about
                customer.admitted_unasked += event.units
                self.account["unasked"] += event.units
            customer.tokens -= event.units
            # larger requests are covered by the higher count of those that the counter was asked about
            if not (self.uses_counter and customer.exceeds_bucket(event.units)):
                customer.unreported_units += event.units
                self.report_use(now, customer)
        self.send(now, call, backend)

    def refuse(self, now: float, call: Call, why: Why) -> None:
        """Refuse a request as its final answer, with a time to retry."""
        grace_ms = APPOINTMENT_GRACE_MS * self.settings.marks_retry
        wait_ms = call.customer.schedule_return(now, call.event.units, grace_ms)
        self.actions.append(Refuse(call.event.request, wait_ms, why))
        self.calls.pop(call.event.request, None)

    def on_external_use(self, now: float, event: ExternalUse) -> None:
        """Charge use that this gateway did not decide on to the bucket, the ceiling and the counter."""
        customer = self.customer_for(now, event)
        customer.tokens -= event.units if customer.plan.rate else 0.0
        customer.cap_tokens -= event.units if customer.plan.ceiling_rate else 0.0
        customer.unreported_units += event.units
        self.report_use(now, customer)

    # ---- the shared counter

    def report_use(self, now: float, customer: Customer, call: Call | None = None) -> None:
        """Add a customer's unreported use to the counter, or take back unused units, in whole batches.

        The call is always made for a held request; otherwise a busy counter is spared some calls at random.
        """
        batch = REPORT_BATCH_FRACTION * customer.plan.burst
        units = ceil(customer.unreported_units / batch) * batch if batch and self.uses_counter else 0.0
        # where requests beyond the quota are admitted anyway, only spare calls are used
        low_priority = customer.plan.over_worth > customer.plan.over_cost
        if units and (
            call
            or self.random.random() * BUSY_HEADROOM < self.counter_headroom - BUSY_HEADROOM * low_priority
        ):
            customer.unreported_units -= units
            self.count(customer, now, units, 0.0, call)

    def count(self, customer: Customer, now: float, use: float, correction: float, call: Call | None) -> None:
        """Call the counter to report use and to correct the total; call: the request held for the answer."""
        name, _ = self.counter_name(now, customer)
        self.pending_counts.setdefault(name, deque()).append((customer, use, correction, call))
        self.actions.append(Count(name, use + correction, COUNTER_NAME_TTL_MS))

    def counter_name(self, now: float, customer: Customer) -> tuple[int, float]:
        """The name that a customer is counted under at this time, and how long it has been in use, in ms.

        The name holds the plan's version, the number of the period and the customer.
        """
        # multiplicative hashing (Knuth) spreads the starts of the customers' periods
        offset_ms = customer.number * 2654435761 % 2**32 / 2**32 * COUNTER_NAME_TTL_MS
        period, age_ms = divmod(now + offset_ms, COUNTER_NAME_TTL_MS)
        return customer.plan.version << 64 | int(period) << 33 | customer.number, age_ms

    def on_count_answered(self, now: float, event: CountAnswered) -> None:
        """Apply the counter's answer, and decide on the request that was held for it.

        Without an answer for the current name the request is admitted. Units are reported again only if the
        counter certainly has not added them.
        """
        if not (pending := self.pending_counts.get(event.name)):
            return
        customer, use, correction, call = pending.popleft()
        if not pending:
            del self.pending_counts[event.name]
        answered = event.outcome is Outcome.OK
        if answered and event.elapsed_ms < LATE_ANSWER_FRACTION * self.settings.counter_timeout_ms:
            self.counter_headroom = min(1.0, self.counter_headroom + HEADROOM_INCREASE)
        elif event.outcome not in (Outcome.RESET, Outcome.ERROR):  # a broken connection is no sign of load
            self.counter_headroom = max(MIN_HEADROOM, self.counter_headroom * HEADROOM_DECREASE_FACTOR)
        held = call if call and call.event.request in self.calls else None
        name, age_ms = self.counter_name(now, customer)
        if not answered or name != event.name:
            if event.outcome.never_ran:
                customer.unreported_units += use - (call.counted_units if call else 0.0)
                if held:
                    held.counted_units = 0.0
            return self.admit(now, held, True) if held else None
        customer.refill(now)
        is_first = customer.counted_at == -inf
        needed = customer.apply_count(now, event.total - use - correction, use, age_ms) - correction
        self.update_account(customer, max(0.0, customer.shared_tokens + use))
        # a request that stands for others is admitted in proportion to the room for all of them
        granted = held is not None and customer.shared_tokens + use >= max(
            held.event.units, held.counted_units * self.random.random()
        )
        weight = (1 - EWMA_DECAY) / 2 * (is_first and held is not None)
        self.first_count_granted_fraction += (granted - self.first_count_granted_fraction) * weight
        # units beyond the quota must not remain counted: they are taken back from the counter
        over_quota = use if call and not granted else min(max(use, 0.0), max(0.0, -customer.shared_tokens))
        customer.unreported_units -= over_quota
        customer.shared_tokens += over_quota
        if held:
            self.admit(now, held, True) if granted else self.refuse(now, held, Why.QUOTA)
        if customer.unreported_units <= 0:
            self.report_use(now, customer)
        # where two gateways correct a total at the same time, the later one takes its correction back
        if abs(needed) > MAX_DRIFT_FRACTION * customer.plan.burst:
            self.count(customer, now, min(needed, 0.0), max(needed, 0.0), None)

    def update_account(self, customer: Customer, level: float) -> None:
        """Compare what was decided without the counter since its last answer with the level that it shows."""
        self.account["over_unknown"] += max(0.0, customer.admitted_unasked - level)
        self.account["refused_with_room"] += min(customer.refused_unasked, level)
        customer.admitted_unasked = customer.refused_unasked = 0.0

    # ---- backends

    def on_fleet_update(self, now: float, event: FleetUpdate) -> None:
        """Apply an update of the server list; a backend that is not listed as ready gets no new attempt."""
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            listed = {entry.backend: entry for entry in event.entries}
            for removed in [n for n in self.backends if n not in listed]:
                self.update_rings(self.backends.pop(removed).entry, False)
        for entry in event.entries:
            if (known := self.backends.pop(entry.backend, None)) is not None:
                self.update_rings(known.entry, False)
            if known is None or entry.up_since_ms > known.entry.up_since_ms:
                known = Backend(entry, len(self.unit_ms))
            known.entry = entry
            if entry.state is not BackendState.GONE:
                self.backends[entry.backend] = known
                self.update_rings(entry, entry.state is BackendState.READY)

    def update_rings(self, entry: BackendEntry, ready: bool) -> None:
        """Add a backend to the sorted lists of ready backends of its groups, or remove it from them."""
        for key in ((Group.ALL, 0), (Group.ZONE, entry.zone), (Group.CELL, entry.cell)):
            ring = self.rings.setdefault(key, [])
            at = bisect_left(ring, entry.backend)
            present = ring[at : at + 1] == [entry.backend]
            ring[at : at + present] = [entry.backend] * ready

    def max_wait_ms(self, cls: int) -> float:
        """The longest expected wait at which requests of this class are still admitted.

        It depends on the aims of all classes of at least the same worth per ms of work, so that cheap classes
        with a long aim do not fill an overloaded fleet.
        """
        worth_per_ms = self.settings.classes[cls].worth / self.unit_ms[cls]
        # behind the same queue lighter work waits less, so the aim of a lighter class counts for more
        valuable = [
            (other.worth / ms, other.aim_ms * max(1.0, self.mean_unit_ms / ms))
            for other, ms in zip(self.settings.classes, self.unit_ms, strict=True)
            if other.worth / ms >= worth_per_ms
        ]
        fraction = CHEAP_MAX_WAIT_FRACTION + (MAX_WAIT_FRACTION - CHEAP_MAX_WAIT_FRACTION) * worth_per_ms / (
            max(valuable)[0] or 1.0
        )
        return fraction * min(aim_ms for _, aim_ms in valuable)

    def queue_factor(self, now: float, backend: Backend) -> float:
        """The factor by which queueing prolongs a request at a backend: 1 if the backend is idle.

        It is derived from the work outstanding from this gateway, in mean requests, and from the backend's
        present capacity.
        """
        entry = backend.entry
        warmth = backend.warmth(now, self.settings) if entry.up_since_ms else 1.0
        return 1 + backend.load / (self.mean_work_ms * (entry.size or 1) * warmth)

    def subset_size(self, ready: int) -> int:
        """How many of the ready backends a gateway uses, so that enough gateways use each backend."""
        return min(ready, max(MIN_SUBSET_SIZE, ceil(ready * MIN_SUBSET_SIZE / self.settings.gateways)))

    def candidates(self, call: Call) -> list[Backend]:
        """The backends of this gateway's subset, or of the group that drops a repeat of this request."""
        ring = self.rings.get(call.dedup_group or (Group.ALL, 0), [])
        size = self.subset_size(len(ring))
        start = self.settings.index * len(ring) // self.settings.gateways
        picked = range(size) if size <= MAX_CANDIDATES else self.random.sample(range(size), MAX_CANDIDATES)
        return [self.backends[ring[(start + i) % len(ring)]] for i in picked]

    def forecast(self, now: float, backend: Backend, call: Call, fleet_slowness: float) -> float:
        """The expected time of an attempt at this backend, in ms; at least the time of its silence."""
        slowness = backend.slowness[call.event.cls].current(now, fleet_slowness)
        expected = call.work_ms * slowness * self.queue_factor(now, backend)
        # only the oldest attempt matters: it shows how long the backend has been silent
        for sent_at, own_ms, _, _ in backend.outstanding.values():
            return max(expected, now - max(sent_at, self.resumed_at, backend.last_answer_at) - own_ms)
        return expected

    def within_cold_budget(self, now: float, backend: Backend, work_ms: float) -> bool:
        """Whether a backend is warm, or has this much left of its budget in the current time window.

        The budgets of all gateways together stay below the work that would overload the cold backend.
        """
        s = self.settings
        warmth = backend.warmth(now, s)
        ready = len(self.rings[Group.ALL, 0])
        if warmth < 1 and backend.cold_window != now // s.overload_ms:
            backend.cold_window = now // s.overload_ms
            gateways_per_backend = max(1.0, s.gateways * self.subset_size(ready) / max(1, ready))
            budget_ms = COLD_BUDGET_FRACTION * s.fall_multiple * warmth * s.overload_ms / gateways_per_backend
            # a backend runs at least one request at a time; a budget below one request is rounded at random
            backend.cold_budget_ms = budget_ms + self.random.random() * self.mean_work_ms
        return warmth >= 1 or backend.cold_budget_ms >= work_ms

    def choose_backend(self, now: float, call: Call, max_wait_ms: float = inf) -> Backend | None:
        """The backend with the shortest expected time, at random among near ties.

        None: no backend may be used, or the request is shed because the expected wait exceeds its limit.
        """
        fleet = self.fleet_slowness.current(now)
        usable = [
            backend
            for backend in self.candidates(call)
            if not backend.entry.up_since_ms or self.within_cold_budget(now, backend, call.work_ms)
        ]
        rated = [
            (self.forecast(now, backend, call, fleet), backend)
            for backend in usable
            if backend not in call.attempted or len(usable) == 1
        ]
        if not rated:
            return None
        shortest = min(forecast for forecast, _ in rated)
        best = self.random.choice(
            [backend for forecast, backend in rated if forecast <= shortest * NEAR_TIE_FACTOR]
        )
        # limited to the slowness of the fleet: one slow backend is no sign of an overloaded fleet
        slowness = min(fleet, best.slowness[call.event.cls].current(now, fleet))
        wait_ms = slowness * self.mean_work_ms * self.queue_factor(now, best)
        limited = max_wait_ms < inf
        # the expected time of completion, relative to the time left until the aim
        lateness = (
            (wait_ms + call.work_ms - self.mean_work_ms) / max(1.0, call.aim_at - now) if limited else 0.0
        )
        excess = max(1.0, wait_ms / max_wait_ms, lateness)
        return best if self.random.random() <= excess**-SHEDDING_EXPONENT else None

    def dedup_group(self, backend: Backend, cls: RequestClass) -> tuple[Group, int]:
        """The group of backends that drop each other's repeats of a request of this class."""
        entry = backend.entry
        return cls.group, {Group.ALL: 0, Group.ZONE: entry.zone, Group.CELL: entry.cell}[cls.group]

    # ---- attempts

    def send(self, now: float, call: Call, backend: Backend, write_until_ms: float = inf) -> None:
        """Start an attempt at this backend, unless it can't be written until then."""
        attempt = call.event.request, len(call.attempted)
        queue_factor = self.queue_factor(now, backend)
        backend.outstanding[attempt] = now, call.work_ms, queue_factor, call.event.cls
        backend.load += call.work_ms
        backend.cold_budget_ms -= call.work_ms
        self.mean_work_ms += (call.work_ms - self.mean_work_ms) * (1 - EWMA_DECAY) / 2
        call.attempted.append(backend)
        call.decided_at.append(now)
        self.actions.append(Send(call.event.request, backend.entry.backend, write_until_ms=write_until_ms))

    def on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        """Learn from an attempt's outcome; then conclude the request or make a further attempt."""
        backend = self.backends.get(event.backend)
        sent = backend.outstanding.pop((event.request, event.attempt), None) if backend else None
        call = self.calls.get(event.request)
        if backend and sent:
            sent_at, work_ms, _, _ = sent
            backend.load = max(0.0, backend.load - work_ms) if backend.outstanding else 0.0
            if sent_at >= self.resumed_at:
                self.update_slowness(now, backend, event, sent)
        if call is None:
            return
        if event.used_percent is not None:  # the site has a meter of its own in place of the counter
            call.customer.adjust_share(now, event.used_percent >= 100)
        if event.outcome is Outcome.OK:
            units = event.true_units or call.event.units
            call.customer.answers += 1
            call.customer.unit_sum += units
            call.customer.unit_squares += units * units
            call.customer.tokens -= units - call.event.units
            call.customer.unreported_units += units - call.event.units
        if event.over:
            return self.on_request_withdrawn(now, event)
        if not event.outcome.never_ran:
            call.may_have_run = True
            if call.cls.effect is Effect.KEYED and call.dedup_group is None:
                call.dedup_group = self.dedup_group(call.attempted[event.attempt], call.cls)
                # never derived from `now`: the outcome may be reported late
                decided_at = call.decided_at[event.attempt]
                started_at = decided_at if event.first_byte_ms is None else event.first_byte_ms
                call.dedup_until = started_at + call.cls.window_ms
        self.retry_or_finish(now, call)

    def retry_or_finish(self, now: float, call: Call) -> None:
        """Make a further attempt where that can do no harm; otherwise refuse the request or fail it."""
        call.cls = self.settings.classes[call.event.cls]  # the settings may have become stricter
        safe = call.cls.effect is Effect.SAFE
        keyed = call.cls.effect is Effect.KEYED
        harmless = safe or not call.may_have_run
        repeat_until = inf if harmless else call.dedup_until - REPEAT_MARGIN_MS
        repeatable = harmless or (keyed and now < repeat_until)
        refusable = harmless or (keyed and call.cls.group is Group.ALL)
        in_time = now < call.deadline - self.settings.tick_ms
        attempts_left = len(call.attempted) < self.settings.max_attempts and in_time
        if (
            repeatable
            and attempts_left
            and self.retry_tokens >= 1
            and (backend := self.choose_backend(now, call)) is not None
        ):
            self.retry_tokens -= 1
            return self.send(now, call, backend, repeat_until)
        if refusable:
            return self.refuse(now, call, Why.TRIED)
        self.actions.append(Fail(call.event.request))
        self.calls.pop(call.event.request, None)

    def update_slowness(self, now: float, backend: Backend, event: AttemptEnded, sent: SentAttempt) -> None:
        """Update the slowness of the backend and of the fleet from an attempt's outcome.

        Outcomes of running a request affect its class only; failures to reach the backend affect all classes.
        """
        _, work_ms, queue_factor, cls = sent
        slowness = event.elapsed_ms / queue_factor / work_ms
        fleet = self.fleet_slowness.current(now)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            backend.last_answer_at = now
        if event.outcome is Outcome.OK:
            backend.slowness[cls].observe(now, slowness, 1 - EWMA_DECAY, fleet)
            # limited, so that the times of an overload are not learnt as the usual ones
            self.unit_ms[cls] *= 1 + min(slowness - 1, 1.0) * UNIT_TIME_LEARNING_RATE
        elif event.outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            one_class = event.outcome in (Outcome.ERROR, Outcome.TIMEOUT)
            for c in [cls] if one_class else range(len(self.unit_ms)):
                backend.slowness[c].observe(now, max(FAILURE_SLOWNESS, slowness), FAILURE_WEIGHT, fleet)
        if event.outcome in (Outcome.OK, Outcome.FULL, Outcome.TIMEOUT):
            observed = FAILURE_SLOWNESS / 2 if event.outcome is Outcome.FULL else slowness
            # limited, because a single lost answer is no sign of an overloaded fleet
            self.fleet_slowness.observe(now, min(observed, FAILURE_SLOWNESS / 2), 1 - EWMA_DECAY)
