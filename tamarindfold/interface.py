"""The interface of the decision module: its settings, events and actions. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum, IntEnum
from math import inf

BackendId = int


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended.

    FULL: rejected unprocessed by an overloaded receiver. MOOT: not sent, as the choice no longer applied.
    """

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the backend did not run the request."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Effect(Enum):
    """What running a request twice does.

    SAFE: no harm. KEYED: the backends of one group drop the repeat. UNSAFE: the effect occurs twice.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The backends that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Why(Enum):
    """The reason for a refusal; it only selects the text of the answer."""

    QUOTA = "quota"
    PRESSURE = "pressure"  # the fleet is overloaded
    TRIED = "tried"  # an attempt failed and no further one is possible
    OPEN = "open"  # too many requests of the customer are open at once; set by limits/open.py, not by Gateway


class ListKind(IntEnum):
    """What a fleet update holds: changes only, the full list, a saved list, or nothing."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class BackendState(IntEnum):
    """The state of a backend in the list of backends."""

    GONE = 0
    READY = 1
    DRAINING = 2


# ---- settings


def _check_minimums(owner: object, minimums: dict[str, float]) -> None:
    """Raise ValueError for the first field that is not a finite number of at least its minimum."""
    for name, minimum in minimums.items():
        value = getattr(owner, name)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not minimum <= value < float("inf")
        ):
            raise ValueError(
                f"{type(owner).__name__}.{name}: {value!r} is not a number of at least {minimum:g}"
            )


def _check_types(owner: object, types: dict[str, type]) -> None:
    """Raise ValueError for the first field that is not of its type."""
    for name, expected in types.items():
        value = getattr(owner, name)
        if not isinstance(value, expected):
            raise ValueError(f"{type(owner).__name__}.{name}: {value!r} is not a {expected.__name__}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, with its latency target, its worth and the effect of a repeat."""

    aim_ms: float  # latency target
    deadline_ms: float
    worth: float  # of an answer in time, relative to other classes
    effect: Effect
    group: Group = Group.ALL  # for KEYED: the backends that drop each other's repeats
    window_ms: float = 0.0  # for KEYED: how long a repeat is recognised
    late_worth: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _check_minimums(
            self, {"aim_ms": 1e-3, "deadline_ms": 1e-3, "worth": 0, "window_ms": 0, "late_worth": 0}
        )
        _check_types(self, {"effect": Effect, "group": Group})


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer of this plan may use at all gateways together; 0 means no such limit."""

    rate: float  # units per second
    burst: float  # units
    open_limit: int = 0  # requests open at the same time
    price: float = 1.0
    over_worth: float = 0.0  # the part of its worth that a request beyond the quota earns
    over_cost: float = 0.0  # the part of its worth that a request beyond the quota costs
    ceiling_rate: float = 0.0  # a hard limit beside the quota, units per second
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    name: str = ""
    version: int = 0  # part of the counter's names, so that totals of two versions are never mixed

    def __post_init__(self) -> None:
        _check_minimums(self, {f.name: 0 for f in fields(self) if f.name != "name"})


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment as one gateway sees it."""

    gateways: int
    index: int  # of this gateway, from 0
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int
    start_capacity: float  # fraction of its capacity that a backend has when it starts
    cold_ms: float  # time after its start in which a backend's capacity grows to the whole
    fall_multiple: float  # a backend fails under this multiple of its capacity,
    overload_ms: float  # if the overload lasts this long
    drain_grace_ms: float  # how long a draining backend may still get requests
    answer_grace_ms: float = 0.0
    zone: int = 0
    tick_ms: float = 1.0
    most_units: float = 1.0  # of one request, at most
    marks_retry: bool = False  # whether clients mark their retries
    retry_after: bool = True
    max_retry_after_ms: float = 0.0
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    peer_in_per_s: float = 0.0
    counter: bool = False
    counter_timeout_ms: float = 0.0
    counter_price: float = 0.0
    meter_ms: float = 0.0  # above 0: the site has a usage meter, which takes the counter's place
    settled_after: bool = False  # whether the true units are known only with the answer
    report_fields: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        _check_minimums(
            self,
            {
                "gateways": 1,
                "index": 0,
                "max_attempts": 1,
                "start_capacity": 1e-6,
                "cold_ms": 0,
                "fall_multiple": 1e-6,
                "overload_ms": 1e-3,
                "drain_grace_ms": 0,
                "answer_grace_ms": 0,
                "zone": 0,
                "tick_ms": 0,
                "most_units": 1e-6,
                "max_retry_after_ms": 0,
                "meter_ms": 0,
                "peer_in_per_s": 0,
                "counter_timeout_ms": 0,
                "counter_price": 0,
            },
        )
        if self.index >= self.gateways:
            raise ValueError(f"Settings.index: {self.index} is not below gateways ({self.gateways})")
        for name in ("classes", "plans"):
            if not getattr(self, name):
                raise ValueError(f"Settings.{name}: at least one is needed")


# ---- events


@dataclass(slots=True)
class BackendEntry:
    """One entry of the list of backends; up_since_ms 0: started long ago."""

    backend: BackendId
    state: BackendState = BackendState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0


@dataclass(slots=True)
class FleetUpdate:
    """An update of the list of backends."""

    kind: ListKind
    entries: list[BackendEntry]
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's try, to be given one final answer within time_left_ms.

    width: the number of gateways that the customer's quota is divided among. retry: marked so by the client.
    """

    request: int
    customer: int
    plan: int
    cls: int
    units: float
    first_gateway: int
    width: int
    time_left_ms: float
    retry: bool = False


@dataclass(slots=True)
class AnswerBegan:
    """A streamed answer has begun and is being passed on to the client."""

    request: int
    attempt: int
    backend: BackendId
    elapsed_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; reported once for each attempt. over: the request has its final answer.

    used_percent: use of the quota by the site's meter. true_units: 0 where the backend reported none.
    first_byte_ms: when the first byte was written, on the clock of `Gateway.handle`; None if that is unknown.
    """

    request: int
    attempt: int
    backend: BackendId
    outcome: Outcome
    elapsed_ms: float
    over: bool
    used_percent: float | None = None
    true_units: float = 0.0
    report: tuple[float, ...] = ()
    first_byte_ms: float | None = None


@dataclass(slots=True)
class RequestWithdrawn:
    """The request needs no answer any more, for instance because its client disconnected."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer is due."""

    label: int


@dataclass(slots=True)
class ProbeEnded:
    """The outcome of a probe."""

    backend: BackendId
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    body: bytes


@dataclass(slots=True)
class CountAnswered:
    """The answer to one Count; total is valid only if the outcome is OK."""

    name: int
    outcome: Outcome
    elapsed_ms: float
    total: float


@dataclass(slots=True)
class PlansChanged:
    """New plans; existing plans keep their indexes, and new ones are appended."""

    plans: tuple[Plan, ...]


@dataclass(slots=True)
class SettingsChanged:
    """New settings; existing classes and plans keep their indexes, and new ones are appended.

    newcomer: this gateway had no part of any quota before, and others may have spent the part it has now.
    """

    settings: Settings
    newcomer: bool = False


@dataclass(slots=True)
class ExternalUse:
    """Use that a proxy let through without this gateway's decision, or against it; only to be counted."""

    customer: int
    plan: int
    units: float
    width: int


@dataclass(slots=True)
class GatewayStalled:
    """This gateway was suspended until now; backends are not to blame for the delay of earlier attempts."""

    for_ms: float


@dataclass(slots=True)
class CustomerSnapshot:
    """The state of one customer that is kept across a restart; times as handed to `Gateway.handle`."""

    customer: int
    plan: int  # index in `Settings.plans`
    width: int
    appointments: list[float]  # retry times announced to refused clients
    end_of_queue_ms: float
    answers: int = 0
    unit_sum: float = 0.0
    unit_squares: float = 0.0
    cap_tokens: float = 0.0  # left of the ceiling, at `at_ms`
    at_ms: float = 0.0


@dataclass(slots=True)
class StateRestored:
    """The saved state of an earlier incarnation of this gateway; handed over before the first request."""

    customers: list[CustomerSnapshot]
    unit_ms: list[float]  # time of one unit on an idle backend, by class; empty: unknown


Event = (
    FleetUpdate
    | RequestArrived
    | AnswerBegan
    | AttemptEnded
    | RequestWithdrawn
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | CountAnswered
    | PlansChanged
    | SettingsChanged
    | ExternalUse
    | GatewayStalled
    | StateRestored
)


# ---- actions


@dataclass(slots=True)
class Send:
    """Start an attempt; timeout_ms 0: until the client gives up.

    write_until_ms: the attempt must not count as begun later than this, on the clock of `Gateway.handle`. An
    attempt that is too late is not sent and ends as MOOT.
    """

    request: int
    backend: BackendId
    timeout_ms: float = 0.0
    write_until_ms: float = inf


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt's answer."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; a retry does no harm."""

    request: int
    retry_after_ms: float = 0.0
    why: Why = Why.PRESSURE


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired with this label after the given time."""

    after_ms: float
    label: int


@dataclass(slots=True)
class Probe:
    """Check a backend's health."""

    backend: BackendId


@dataclass(slots=True)
class Tell:
    """Send bytes to one gateway, or to all others (None)."""

    gateway: int | None
    body: bytes


@dataclass(slots=True)
class Count:
    """Add to a named total of the shared counter; CountAnswered returns the new total."""

    name: int
    amount: float
    ttl_ms: float


@dataclass(slots=True)
class Log:
    """A log line; for rare changes of state only."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Tell | Count | Log
Actions = list[Action]
