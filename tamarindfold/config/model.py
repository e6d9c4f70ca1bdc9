"""The gateway's configuration, as its YAML file holds it. Times are in milliseconds, sizes in bytes."""

from __future__ import annotations

import os
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

Ms = Annotated[float, Meta(ge=0)]
MsAboveNought = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Number = Annotated[float, Meta(ge=0)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Part = Annotated[float, Meta(gt=0, le=1)]
Word = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


class Section(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One section of the file; an unknown key is an error."""


class Instance(Section, frozen=True):
    """Which of the fleet's gateways this is."""

    index: Annotated[int, Meta(ge=0)] = 0
    gateways: Count = 1
    seed: int = 1
    zone: Annotated[int, Meta(ge=0)] = 0
    state_dir: str = ""  # where the last list, the registry's word and snapshots are kept; empty: nowhere
    stall_ms: MsAboveNought = 300  # the loop did not turn for so long: this instance stood still


class Listen(Section, frozen=True):
    """Where clients come in; port 0 lets the system choose."""

    host: str = "127.0.0.1"
    port: Port = 0
    backlog: Count = 1024


class Limits(Section, frozen=True):
    """Bounds for safety; each has a counter in the log line `ingress.counts`."""

    connections: Count = 20_000
    open_requests: Count = 5_000
    header_bytes: Count = 16_384
    header_count: Count = 100
    header_timeout_ms: MsAboveNought = 5_000
    body_bytes: Count = 262_144
    body_timeout_ms: MsAboveNought = 10_000
    ahead_bytes: Count = 16_384  # of further requests, kept while an answer is awaited; more stays unread
    idle_timeout_ms: MsAboveNought = 75_000
    write_timeout_ms: MsAboveNought = 5_000
    answer_bytes: Count = 1_048_576
    answer_margin_ms: Ms = 30  # the final answer is owed this long before the client's deadline
    stop_ms: MsAboveNought = 15_000  # a stopping gateway waits no longer than this for what it holds


class ClassConfig(Section, frozen=True):
    """A kind of request; see `RequestClass` for the meaning of each figure."""

    name: Word
    aim_ms: MsAboveNought
    deadline_ms: MsAboveNought
    worth: Number
    effect: Literal["safe", "keyed", "unsafe"]
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: Ms = 0
    late_worth: Number = 0
    # when the introspection server gives no answer: refuse, or take its last word a while longer
    unchecked: Literal["refuse", "stale"] = "refuse"


class Route(Section, frozen=True):
    """Requests of this method whose path is this one, or below it where it ends in a slash."""

    method: Annotated[str, Meta(pattern=r"^[A-Z]{1,16}$")]
    path: Annotated[str, Meta(pattern=r"^/")]
    cls: Word = field(name="class")
    scope: str = ""  # scopes needed, space-separated (RFC 6749 3.3)
    led_only: bool = False  # not served by an instance that cannot know whether its settings are in force


class PlanConfig(Section, frozen=True):
    """What a customer may use over all gateways, in units and units a second; 0: no such limit."""

    name: Word
    rate: Number
    burst: Number
    open_limit: Annotated[int, Meta(ge=0)] = 0
    price: Number = 1
    over_worth: Number = 0
    over_cost: Number = 0
    ceiling_rate: Number = 0
    ceiling_burst: Number = 0
    ceiling_slack: Number = 0


class Customers(Section, frozen=True):
    """Where a token's claims name customer and plan, and through how many gateways one comes."""

    customer_claim: str = "sub"
    plan_claim: str = "plan"
    default_plan: str = ""  # for tokens that name none; empty: such tokens are forbidden
    width: Annotated[int, Meta(ge=0)] = 0  # 0: all gateways
    most_units: Count = 8
    default_units: Count = 1


class Introspection(Section, frozen=True):
    """The authorization server's introspection endpoint (RFC 7662) and what may be kept of its answers."""

    url: Annotated[str, Meta(pattern=r"^http://")]
    client_id: str
    client_secret: str = ""
    client_secret_env: str = ""
    audience: str = ""
    issuer: str = ""
    timeout_ms: MsAboveNought = 1_000
    connections: Count = 8
    most_in_flight: Count = 8
    most_waiting: Count = 2_000
    cache_entries: Count = 20_000
    negative_entries: Count = 5_000
    max_age_ms: Ms = 30_000
    negative_age_ms: Ms = 5_000
    stale_ms: Ms = 0  # how long beyond its age an answer may serve classes with `unchecked: stale`
    leeway_ms: Ms = 0  # clock difference allowed for at nbf; never for exp
    trip_after: Count = 5  # look-ups that fail one after another before all are held back
    trip_ms: MsAboveNought = 500
    trip_most_ms: MsAboveNought = 8_000
    answer_bytes: Count = 65_536

    def secret(self) -> str:
        """The client secret; ValueError where the environment does not hold it."""
        if self.client_secret_env:
            if self.client_secret_env not in os.environ:
                raise ValueError(f"introspection.client_secret_env: {self.client_secret_env} is not set")
            return os.environ[self.client_secret_env]
        return self.client_secret


class IdentityConfig(Section, frozen=True):
    """The registry of keys, customers and plans; its word goes before a token's claims."""

    registry: str
    public_key: str  # file
    pepper: str  # file
    key_header: Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,63}$")] = "x-api-key"
    skew_ms: Ms = 1_000  # clocks' difference allowed for at the ends of a credential's time
    wait_ms: MsAboveNought = 20_000  # of a long poll
    reconnect_ms: MsAboveNought = 250


HeaderName = Annotated[str, Meta(pattern=r"^[A-Za-z][A-Za-z0-9-]{0,63}$")]


class ForwardNames(Section, frozen=True):
    """The headers in which the proxies tell the original request: of each kind, any of the names."""

    method: tuple[HeaderName, ...] = ("x-forwarded-method", "x-original-method")
    uri: tuple[HeaderName, ...] = ("x-forwarded-uri", "x-original-uri", "x-original-url")
    host: tuple[HeaderName, ...] = ("x-forwarded-host", "x-original-host")
    request: HeaderName = "x-request-id"  # the proxy's own name for a request; clients must not reach it


class Forward(Section, frozen=True):
    """Forward authentication: where proxies ask, and whose word is believed."""

    trusted: Annotated[list[str], Meta(min_length=1)]  # networks (CIDR) of the proxies
    host: str = "127.0.0.1"
    port: Port = 0
    backlog: Count = 128  # connections that wait to be accepted; beyond them the system turns away
    connections: Count = 2_000
    form: Literal["report", "decide"] = "report"  # decide: the proxy chooses the server and need not report
    refusals: Literal["as_is", "as_403"] = "as_is"  # as_403: for proxies that pass only 401 and 403 on
    names: ForwardNames = ForwardNames()
    prefix: Annotated[str, Meta(pattern=r"^(/[A-Za-z0-9._-]+)*$")] = ""
    hosts: list[str] = []  # original hosts that are served; empty: all
    decide_ms: MsAboveNought = 250  # a decision takes no longer, or is a refusal
    body_ms: MsAboveNought = 25  # a sub-request's body that was announced and does not come is not waited for
    most_deciding: Count = 1_000
    most_permits: Count = 10_000
    lapse_ms: Ms = 1_000  # a permit not reported so long after the client's deadline lapses
    hold_ms: Ms = 0  # form decide: how long a permit counts as work under way (docs/forward-auth.md)
    most_repeats: Annotated[int, Meta(ge=0)] = 2  # sub-requests under one name that are answered alike
    remember_ms: MsAboveNought = 60_000  # what became of a name, for reports that come late or twice
    most_remembered: Count = 50_000


class Network(Section, frozen=True):
    """What is so of clients from a network; the longest network that holds an address counts alone."""

    network: str
    refuse: bool = False
    zone: Annotated[int, Meta(ge=0)] | None = None  # handed on as tamarind-zone


class Admin(Section, frozen=True):
    """Health and counts, served by a thread of their own: no load on the fronts hides them."""

    host: str = "127.0.0.1"
    port: Port = 0
    connections: Count = 8
    stale_ms: MsAboveNought = 2_000  # the loop did not turn for so long: not healthy


class CounterConfig(Section, frozen=True):
    """The shared counter: servers of the Redis protocol, names spread over them."""

    parts: Annotated[list[str], Meta(min_length=1)]
    timeout_ms: MsAboveNought = 30
    price: Number = 0
    most_pending: Count = 1_000
    reconnect_ms: MsAboveNought = 200
    prefix: Word = "tf"


class Server(Section, frozen=True):
    """One server of the static list."""

    address: str
    zone: Annotated[int, Meta(ge=0)] = 0
    cell: Annotated[int, Meta(ge=0)] = 0
    kind: Annotated[int, Meta(ge=0)] = 0
    size: Number = 1
    state: Literal["ready", "draining"] = "ready"


class Fleet(Section, frozen=True):
    """The servers: a fixed list, or the address of a feed that pushes it."""

    static: list[Server] = []
    feed: str = ""
    reconnect_ms: MsAboveNought = 500
    first_list_ms: Ms = 1_500  # at start, with a saved list at hand: so long the feed's first line is awaited


class Safety(Section, frozen=True):
    """What the rules on cold servers and drains are held to."""

    start_capacity: Part = 0.2
    cold_ms: Ms = 15_000
    fall_multiple: MsAboveNought = 2
    overload_ms: MsAboveNought = 1_000
    drain_grace_ms: Ms = 250
    answer_grace_ms: Ms = 100


class Upstream(Section, frozen=True):
    """Connections to the servers."""

    max_attempts: Count = 3
    connect_timeout_ms: MsAboveNought = 250
    idle_ms: Ms = 20_000
    idle_per_server: Annotated[int, Meta(ge=0)] = 32
    connections_per_server: Count = 512
    source_address: str = ""


class RecoveryConfig(Section, frozen=True):
    """What is kept across a restart, in instance.state_dir; without one nothing is."""

    every_ms: MsAboveNought = 1_000  # after the end of a snapshot the next is begun
    max_age_ms: Ms = 600_000  # an older snapshot is not taken
    ahead_ms: Ms = 2_000  # nor one from further in the future than this
    background_part: Part = 0.05  # of the time, for all background work


class Log(Section, frozen=True):
    """Structured log lines on standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    counts_every_ms: MsAboveNought = 10_000


class OwnConfig(Section, frozen=True, kw_only=True):
    """What is an instance's own. fronts: not given, proxy, and forward-auth if there is a section of it."""

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
    """The whole file of a gateway whose settings are its own."""

    classes: Annotated[list[ClassConfig], Meta(min_length=1)]
    routes: Annotated[list[Route], Meta(min_length=1)]
    fleet: Fleet
    plans: list[PlanConfig] = []
    customers: Customers = Customers()
    counter: CounterConfig | None = None
    safety: Safety = Safety()


class AgreementConfig(Section, frozen=True):
    """Where the agreed settings are kept, and who this instance is among the others."""

    keepers: Annotated[list[str], Meta(min_length=1, max_length=9)]
    public_key: str  # file
    name: Word
    join_ms: MsAboveNought = 10_000  # a start waits so long for a place in the roster


class InstanceConfig(OwnConfig, frozen=True, kw_only=True):
    """The file of an instance whose settings are agreed: the rest of them is in agreement.document."""

    agreement: AgreementConfig
