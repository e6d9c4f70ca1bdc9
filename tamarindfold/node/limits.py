"""Resource limits of an ingress on the platform; they protect the process and don't decide what is served."""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_DESCRIPTORS = 40  # for the listener, discovery, counter, event loop and connections being closed
# of the memory that the program does not need at rest; what is left is for lists and fragmentation
CONNECTION_MEMORY_SHARE = 0.6
CUSTOMER_MEMORY_SHARE = 0.2
ANSWER_SHARE = 0.5  # of the memory for connections: all responses that are being read
LEAST_SPARE_BYTES = 2_000_000  # if the program itself leaves less than this
CUSTOMER_BYTES = 1_500  # of one customer in the decision module, with some refused clients
IDLE_CLIENTS_SHARE = 1 / 6  # of all descriptors; well-behaved clients hold at most a third of them
CLIENT_SHARE = 0.55  # of the descriptors that are not reserved
READY_TARGET_MS = 10_000  # the platform's limit for nine in ten restarted ingresses, from the process's start
STARTUP_RESERVE_MS = 1_000  # of that, for loading the program and opening the listener


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, times in milliseconds."""

    connections: int  # from clients
    backend_connections: int
    open_requests: int
    total_answer_bytes: int  # memory of all responses being read
    connection_bytes: int  # memory of all connections, with what is kept and read on them
    customers: int  # that the decision module remembers
    header_bytes: int = 16_384
    header_count: int = 64
    header_timeout_ms: float = 2_000
    body_bytes: int = 65_536
    body_timeout_ms: float = 2_000
    ahead_bytes: int = 0  # a request sent before the previous response closes the connection, so none is kept
    idle_timeout_ms: float = 20_000
    evictable_idle_ms: float = 2_000  # connections idle for this long are closed when there is no room
    first_request_timeout_ms: float = 2_000  # from accept to the end of the connection's first request
    write_timeout_ms: float = 2_000
    answer_margin_ms: float = 20
    answer_bytes: int = 1 << 20  # the protocol says 64 KiB, but responses of 320 KB occur
    # non-idempotent requests use idle connections only if none broke within this time
    reuse_after_break_ms: float = 2_000
    max_pending_counts: int = 512
    counter_reconnect_ms: float = 20
    counter_keepalive_ms: float = 2_500  # the counter's idle time-out is 10 s or less
    eviction_headroom: int = 8  # connections beyond the limit while evicted ones are being closed
    stall_ms: float = 300  # a longer gap between iterations of the event loop counts as a stall
    timer_slot_ms: float = 10  # the timer wheel advances every 10 ms while a timer is set
    counts_interval_ms: float = 10_000
    # with this many idle client connections, each response closes its own connection
    max_idle_connections: int = 64
    # wait at start for the changes since the initial list: an outage of discovery of 8 s passes meanwhile
    first_list_timeout_ms: float = READY_TARGET_MS - STARTUP_RESERVE_MS


def allocate_limits(sockets: int, memory_mb: float, open_cap: int, rest_bytes: int = 0) -> Limits:
    """Divide the descriptors between clients and backends, and the spare memory between what can grow.

    rest_bytes: what the program needs at rest.
    """
    available = sockets - RESERVED_DESCRIPTORS
    clients = int(available * CLIENT_SHARE)
    spare_bytes = max(LEAST_SPARE_BYTES, memory_mb * 1e6 - rest_bytes)
    connection_bytes = int(spare_bytes * CONNECTION_MEMORY_SHARE)
    return Limits(
        clients,
        available - clients,
        min(clients, open_cap),
        int(connection_bytes * ANSWER_SHARE),
        connection_bytes,
        int(spare_bytes * CUSTOMER_MEMORY_SHARE / CUSTOMER_BYTES),
        max_idle_connections=int(sockets * IDLE_CLIENTS_SHARE),
    )
