"""What a gateway is told and what it may do: settings, events, actions. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum, IntEnum

BackendId = int


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended."""

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
        """True where the outcome proves that the backend did not run the request."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which backends drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Why(Enum):
    """What a refusal is due to: a driver words its answer by it, and decides nothing."""

    QUOTA = "quota"
    PRESSURE = "pressure"
    TRIED = "tried"
    OPEN = "open"  # not the module's: too many of the customer's requests are open at once (limits/open.py)


class ListKind(IntEnum):
    """What a fleet update holds."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class BackendState(IntEnum):
    """What the list of backends knows of one."""

    GONE = 0
    READY = 1
    DRAINING = 2


# ---- settings


def _check(what: object, at_least: dict[str, float]) -> None:
    """Raise ValueError naming the first field that is not a number of at least the given size."""
    for name, least in at_least.items():
        value = getattr(what, name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < float("inf"):
            raise ValueError(f"{type(what).__name__}.{name}: {value!r} is not a number of at least {least:g}")


def _check_types(what: object, kinds: dict[str, type]) -> None:
    for name, kind in kinds.items():
        value = getattr(what, name)
        if not isinstance(value, kind):
            raise ValueError(f"{type(what).__name__}.{name}: {value!r} is not a {kind.__name__}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request."""

    aim_ms: float
    deadline_ms: float
    worth: float
    effect: Effect
    group: Group = Group.ALL
    window_ms: float = 0.0
    late_worth: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _check(self, {"aim_ms": 1e-3, "deadline_ms": 1e-3, "worth": 0, "window_ms": 0, "late_worth": 0})
        _check_types(self, {"effect": Effect, "group": Group})


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer of this plan may use over all gateways; 0 means no such limit."""

    rate: float
    burst: float
    open_limit: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    name: str = ""
    version: int = 0  # the counter's names tell it: totals of two versions are never mixed

    def __post_init__(self) -> None:
        _check(self, {f.name: 0 for f in fields(self) if f.name != "name"})


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment as one gateway is told it at start."""

    gateways: int
    index: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int
    start_capacity: float
    cold_ms: float
    fall_multiple: float
    overload_ms: float
    drain_grace_ms: float
    answer_grace_ms: float = 0.0
    zone: int = 0
    tick_ms: float = 1.0
    most_units: float = 1.0
    marks_retry: bool = False
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
    meter_ms: float = 0.0
    settled_after: bool = False
    report_fields: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        _check(
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
    """One line of the list of backends; up_since_ms 0 means long ago."""

    backend: BackendId
    state: BackendState = BackendState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0


@dataclass(slots=True)
class FleetUpdate:
    """News from the list of backends."""

    kind: ListKind
    entries: list[BackendEntry]
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's try; the gateway owes it one final answer within time_left_ms."""

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
    """A streamed answer has begun; from now on it is the client's."""

    request: int
    attempt: int
    backend: BackendId
    elapsed_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """The one outcome of an attempt; over: the request is concluded."""

    request: int
    attempt: int
    backend: BackendId
    outcome: Outcome
    elapsed_ms: float
    over: bool
    used_percent: float | None = None
    true_units: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class RequestWithdrawn:
    """The client left; nothing more is owed."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    label: int


@dataclass(slots=True)
class ProbeEnded:
    """What one probe found."""

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
    """The answer to one counter call; total is valid with OK."""

    name: int
    outcome: Outcome
    elapsed_ms: float
    total: float


@dataclass(slots=True)
class PlansChanged:
    """The plans from now on: those known before keep their places, new ones follow."""

    plans: tuple[Plan, ...]


@dataclass(slots=True)
class SettingsChanged:
    """The settings from now on: classes and plans known before keep their places, new ones follow.

    newcomer: this gateway's part of every quota is new, and whatever others spent of it is spent.
    """

    settings: Settings
    newcomer: bool = False


@dataclass(slots=True)
class UsePassed:
    """A customer's use that somebody let pass without our word, or against it: to be counted, not decided."""

    customer: int
    plan: int
    units: float
    width: int


@dataclass(slots=True)
class StoodStill:
    """This gateway did not run until now: what it sent before is late through no fault of the backends."""

    for_ms: float


@dataclass(slots=True)
class Remembered:
    """What is worth keeping of one customer across a restart; times as handed to `handle`."""

    customer: int
    plan: int  # its place in the settings
    width: int
    appointments: list[float]
    end_of_queue_ms: float
    answers: int = 0
    unit_sum: float = 0.0
    unit_squares: float = 0.0
    cap_tokens: float = 0.0  # of the ceiling, at `at_ms`
    at_ms: float = 0.0


@dataclass(slots=True)
class Restored:
    """What an earlier life of this gateway had promised, spent and learnt; before its first request."""

    customers: list[Remembered]
    unit_ms: list[float]  # by class; empty: not known


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
    | UsePassed
    | StoodStill
    | Restored
)


# ---- actions


@dataclass(slots=True)
class Send:
    """Start an attempt; timeout_ms 0: until the client gives up."""

    request: int
    backend: BackendId
    timeout_ms: float = 0.0


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused, coming back is harmless."""

    request: int
    retry_after_ms: float = 0.0
    why: Why = Why.PRESSURE


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Ask for TimerFired after so long."""

    after_ms: float
    label: int


@dataclass(slots=True)
class Probe:
    """Examine a backend."""

    backend: BackendId


@dataclass(slots=True)
class Tell:
    """Send bytes to one gateway, or to all others (None)."""

    gateway: int | None
    body: bytes


@dataclass(slots=True)
class Count:
    """Add to a named number of the shared counter and learn its total."""

    name: int
    amount: float
    ttl_ms: float


@dataclass(slots=True)
class Log:
    """A line for the operators; rare state changes only."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Tell | Count | Log
Actions = list[Action]
