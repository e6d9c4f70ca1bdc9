"""The schema of the gateway's YAML configuration. Times are in milliseconds, sizes in bytes."""

from __future__ import annotations

import os
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

NonNegativeMs = Annotated[float, Meta(ge=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Fraction = Annotated[float, Meta(gt=0, le=1)]
Identifier = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


class Section(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A section of a configuration file; unknown keys are errors."""


class Instance(Section, frozen=True):
    """Identity of this gateway within the fleet."""

    index: Annotated[int, Meta(ge=0)] = 0
    gateways: PositiveInt = 1
    seed: int = 1
    zone: Annotated[int, Meta(ge=0)] = 0
    state_dir: str = ""  # folder of the saved server list, registry copy and snapshots; empty: keep none
    # the process counts as stalled if its event loop made no progress for this long
    stall_ms: PositiveFloat = 300


class Listen(Section, frozen=True):
    """The address for clients; with port 0 the system chooses a port."""

    host: str = "127.0.0.1"
    port: Port = 0
    backlog: PositiveInt = 1024


class Limits(Section, frozen=True):
    """Resource limits; each has a counter in the log line `ingress.counts`."""

    connections: PositiveInt = 20_000
    open_requests: PositiveInt = 5_000
    header_bytes: PositiveInt = 16_384
    header_count: PositiveInt = 100
    header_timeout_ms: PositiveFloat = 5_000
    body_bytes: PositiveInt = 262_144
    body_timeout_ms: PositiveFloat = 10_000
    # pipelined requests kept while a response is pending; beyond it the socket is not read
    ahead_bytes: PositiveInt = 16_384
    idle_timeout_ms: PositiveFloat = 75_000
    write_timeout_ms: PositiveFloat = 5_000
    answer_bytes: PositiveInt = 1_048_576
    answer_margin_ms: NonNegativeMs = 30  # the final response is due this long before the client's deadline
    # memory of all client connections, with what is kept and answered on them; beyond it connections are
    # ended, those without a request first
    client_memory_bytes: PositiveInt = 268_435_456
    customers: PositiveInt = 1_000_000  # that the decision module remembers
    # upper bound on the time that a stopping gateway waits for requests in flight
    stop_ms: PositiveFloat = 15_000


class ClassConfig(Section, frozen=True):
    """A class of requests; see `interface.RequestClass`."""

    name: Identifier
    aim_ms: PositiveFloat
    deadline_ms: PositiveFloat
    worth: NonNegativeFloat
    effect: Literal["safe", "keyed", "unsafe"]
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: NonNegativeMs = 0
    late_worth: NonNegativeFloat = 0
    # when the introspection server does not answer: refuse, or use an expired answer for up to `stale_ms`
    unchecked: Literal["refuse", "stale"] = "refuse"


class Route(Section, frozen=True):
    """Requests with this method and exactly this path, or any path below it if it ends in a slash."""

    method: Annotated[str, Meta(pattern=r"^[A-Z]{1,16}$")]
    path: Annotated[str, Meta(pattern=r"^/")]
    cls: Identifier = field(name="class")
    scope: str = ""  # required scopes, space-separated (RFC 6749 section 3.3)
    led_only: bool = False  # requires a lease on agreed settings, without which they may be out of date


class PlanConfig(Section, frozen=True):
    """What a customer may use over all gateways, in units and units per second; 0: unlimited."""

    name: Identifier
    rate: NonNegativeFloat
    burst: NonNegativeFloat
    open_limit: Annotated[int, Meta(ge=0)] = 0
    price: NonNegativeFloat = 1
    over_worth: NonNegativeFloat = 0
    over_cost: NonNegativeFloat = 0
    ceiling_rate: NonNegativeFloat = 0
    ceiling_burst: NonNegativeFloat = 0
    ceiling_slack: NonNegativeFloat = 0


class Customers(Section, frozen=True):
    """The token claims that name customer and plan, and how many gateways serve one customer."""

    customer_claim: str = "sub"
    plan_claim: str = "plan"
    default_plan: str = ""  # for tokens without the plan claim; empty: they are forbidden
    width: Annotated[int, Meta(ge=0)] = 0  # gateways that serve one customer; 0: all
    most_units: PositiveInt = 8
    default_units: PositiveInt = 1


class Introspection(Section, frozen=True):
    """The authorization server's introspection endpoint (RFC 7662) and the caching of its answers."""

    url: Annotated[str, Meta(pattern=r"^http://")]
    client_id: str
    client_secret: str = ""
    client_secret_env: str = ""
    audience: str = ""
    issuer: str = ""
    timeout_ms: PositiveFloat = 1_000
    connections: PositiveInt = 8
    most_in_flight: PositiveInt = 8
    most_waiting: PositiveInt = 2_000
    cache_entries: PositiveInt = 20_000
    negative_entries: PositiveInt = 5_000
    max_age_ms: NonNegativeMs = 30_000
    negative_age_ms: NonNegativeMs = 5_000
    # how long after expiry a cached answer may serve classes with `unchecked: stale`
    stale_ms: NonNegativeMs = 0
    leeway_ms: NonNegativeMs = 0  # tolerated clock difference when checking nbf; never applied to exp
    trip_after: PositiveInt = 5  # consecutive failed look-ups after which the circuit breaker opens
    trip_ms: PositiveFloat = 500
    trip_most_ms: PositiveFloat = 8_000
    answer_bytes: PositiveInt = 65_536

    def secret(self) -> str:
        """The client secret; ValueError if the environment variable is not set."""
        if self.client_secret_env:
            if self.client_secret_env not in os.environ:
                raise ValueError(f"introspection.client_secret_env: {self.client_secret_env} is not set")
            return os.environ[self.client_secret_env]
        return self.client_secret


class IdentityConfig(Section, frozen=True):
    """The registry of keys, customers and plans; its data takes precedence over a token's claims."""

    registry: str
    public_key: str  # path of a file
    pepper: str  # path of a file
    key_header: Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,63}$")] = "x-api-key"
    # tolerated clock difference at the start and end of a credential's validity
    skew_ms: NonNegativeMs = 1_000
    wait_ms: PositiveFloat = 20_000  # of a long poll
    reconnect_ms: PositiveFloat = 250


HeaderName = Annotated[str, Meta(pattern=r"^[A-Za-z][A-Za-z0-9-]{0,63}$")]


class ForwardNames(Section, frozen=True):
    """The headers in which proxies describe the original request; any name of a kind may be used."""

    method: tuple[HeaderName, ...] = ("x-forwarded-method", "x-original-method")
    uri: tuple[HeaderName, ...] = ("x-forwarded-uri", "x-original-uri", "x-original-url")
    host: tuple[HeaderName, ...] = ("x-forwarded-host", "x-original-host")
    # the proxy's own id of a request; clients must not be able to set it
    request: HeaderName = "x-request-id"


class Forward(Section, frozen=True):
    """Forward authentication: the address for proxies, and which proxies are trusted."""

    trusted: Annotated[list[str], Meta(min_length=1)]  # networks of the proxies (CIDR)
    host: str = "127.0.0.1"
    port: Port = 0
    backlog: PositiveInt = 128  # connections waiting to be accepted; the system rejects further ones
    connections: PositiveInt = 2_000
    # decide: the proxy selects the backend itself and need not report the outcome
    form: Literal["report", "decide"] = "report"
    refusals: Literal["as_is", "as_403"] = "as_is"  # as_403: for proxies that pass on only 401 and 403
    names: ForwardNames = ForwardNames()
    prefix: Annotated[str, Meta(pattern=r"^(/[A-Za-z0-9._-]+)*$")] = ""
    hosts: list[str] = []  # original hosts that are served; empty: all
    decide_ms: PositiveFloat = 250  # a decision that would take longer is a refusal
    body_ms: PositiveFloat = 25  # wait no longer than this for the announced body of a sub-request
    most_deciding: PositiveInt = 1_000
    most_permits: PositiveInt = 10_000
    # a permit lapses if it is not reported within this time after the client's deadline
    lapse_ms: NonNegativeMs = 1_000
    hold_ms: NonNegativeMs = 0  # form decide: how long a permit counts as work in progress
    most_repeats: Annotated[int, Meta(ge=0)] = 2  # sub-requests with the same id that get the same answer
    remember_ms: PositiveFloat = 60_000  # how long the outcome of an id is kept, for late or repeated reports
    most_remembered: PositiveInt = 50_000


class Network(Section, frozen=True):
    """Rules for clients from a network; only the longest matching network applies."""

    network: str
    refuse: bool = False
    zone: Annotated[int, Meta(ge=0)] | None = None  # passed on as the header tamarind-zone


class Admin(Section, frozen=True):
    """Health checks and counts, served by a separate thread, unaffected by load on the fronts."""

    host: str = "127.0.0.1"
    port: Port = 0
    connections: PositiveInt = 8
    stale_ms: PositiveFloat = 2_000  # unhealthy if the event loop made no progress for this long


class CounterConfig(Section, frozen=True):
    """The shared counter: servers with the Redis protocol, across which names are partitioned."""

    parts: Annotated[list[str], Meta(min_length=1)]
    timeout_ms: PositiveFloat = 30
    price: NonNegativeFloat = 0
    most_pending: PositiveInt = 1_000
    reconnect_ms: PositiveFloat = 200
    prefix: Identifier = "tf"


class Server(Section, frozen=True):
    """One server of the static list."""

    address: str
    zone: Annotated[int, Meta(ge=0)] = 0
    cell: Annotated[int, Meta(ge=0)] = 0
    kind: Annotated[int, Meta(ge=0)] = 0
    size: NonNegativeFloat = 1
    state: Literal["ready", "draining"] = "ready"


class Fleet(Section, frozen=True):
    """The backends: a static list, or the address of a feed that pushes updates."""

    static: list[Server] = []
    feed: str = ""
    reconnect_ms: PositiveFloat = 500
    # at start, with a saved list: how long to wait for the first message of the feed
    first_list_ms: NonNegativeMs = 1_500


class Safety(Section, frozen=True):
    """Parameters of the rules for cold and draining servers."""

    start_capacity: Fraction = 0.2
    cold_ms: NonNegativeMs = 15_000
    fall_multiple: PositiveFloat = 2
    overload_ms: PositiveFloat = 1_000
    drain_grace_ms: NonNegativeMs = 250
    answer_grace_ms: NonNegativeMs = 100


class Upstream(Section, frozen=True):
    """Connections to the backends."""

    max_attempts: PositiveInt = 3
    connect_timeout_ms: PositiveFloat = 250
    idle_ms: NonNegativeMs = 20_000
    idle_per_server: Annotated[int, Meta(ge=0)] = 32
    connections_per_server: PositiveInt = 512
    source_address: str = ""


class RecoveryConfig(Section, frozen=True):
    """What is kept across a restart, in instance.state_dir; nothing is kept without it."""

    every_ms: PositiveFloat = 1_000  # from the end of a snapshot to the start of the next
    max_age_ms: NonNegativeMs = 600_000  # an older snapshot is rejected
    ahead_ms: NonNegativeMs = 2_000  # a snapshot dated further into the future than this is rejected
    background_part: Fraction = 0.05  # fraction of the time that all background work may use


class Log(Section, frozen=True):
    """Structured log lines on standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    counts_every_ms: PositiveFloat = 10_000


class OwnConfig(Section, frozen=True, kw_only=True):
    """Settings of one instance. Default of `fronts`: proxy, and forward-auth if it has a section."""

    introspection: Introspection
    identity: IdentityConfig | None = None
    fronts: Annotated[list[Literal["proxy", "forward-auth"]], Meta(min_length=1)] | None = None
    forward: Forward | None = None
    networks: list[Network] = []
    admin: Admin | None = None
    instance: Instance = Instance()
    listen: Listen = Listen()
    limits: Limits = Limits()
    upstream: Upstream = Upstream()
    recovery: RecoveryConfig = RecoveryConfig()
    log: Log = Log()


class GatewayConfig(OwnConfig, frozen=True, kw_only=True):
    """The configuration file of a gateway that has all settings in its own file."""

    classes: Annotated[list[ClassConfig], Meta(min_length=1)]
    routes: Annotated[list[Route], Meta(min_length=1)]
    fleet: Fleet
    plans: list[PlanConfig] = []
    customers: Customers = Customers()
    counter: CounterConfig | None = None
    safety: Safety = Safety()


class AgreementConfig(Section, frozen=True):
    """The keepers that store the agreed settings, and the identity of this instance among the others."""

    keepers: Annotated[list[str], Meta(min_length=1, max_length=9)]
    public_key: str  # path of a file
    name: Identifier
    join_ms: PositiveFloat = 10_000  # how long a starting instance waits for a place in the roster


class InstanceConfig(OwnConfig, frozen=True, kw_only=True):
    """The file of an instance with agreed settings; see agreement.document for the shared ones."""

    agreement: AgreementConfig
