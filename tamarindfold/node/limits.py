"""Bounds for safety of an ingress on the platform; none of them decides which requests are served."""

from __future__ import annotations

from dataclasses import dataclass

RESERVE = 40  # descriptors for the listener, discovery, counter, the loop, and connections just closing
ANSWERS_PART = 0.15  # of the memory; as much again may wait for clients that read slowly
KEPT_PART = 1 / 6  # of all, for idle connections of clients: half of what usual clients may hold
CLIENT_PART = 0.55  # of the rest; usual clients hold a third of all at the most


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, times in milliseconds."""

    connections: int  # of clients
    backend_connections: int
    open_requests: int
    answers_bytes: int  # of all answers that are being read
    header_bytes: int = 16_384
    header_count: int = 64
    header_timeout_ms: float = 2_000
    body_bytes: int = 65_536
    body_timeout_ms: float = 2_000
    ahead_bytes: int = 0  # what comes before the answer ends the connection, so none of it is kept
    idle_timeout_ms: float = 20_000
    idle_least_ms: float = 2_000  # where room is short, a connection idle for so long is closed
    first_ms: float = 2_000  # a new connection's whole first request has come by then
    write_timeout_ms: float = 2_000
    answer_margin_ms: float = 20
    answer_bytes: int = 1 << 20  # the protocol says 64 KiB; answers of 320 KB were seen
    kept_trust_ms: float = 2_000  # none broke for so long: kept connections serve what must not run twice
    pending_counts: int = 512
    counter_reconnect_ms: float = 20
    counter_keep_ms: float = 2_500  # the counter closes what stood idle for 10 s, or less
    ending: int = 8  # client connections beyond the bound while those chosen to make room close
    stall_ms: float = 300
    timer_slot_ms: float = 10  # the wheel turns a hundred times a second while a time-out is set
    counts_every_ms: float = 10_000
    kept_idle: int = 64  # with so many idle connections of clients, an answer ends its own
    first_list_ms: float = 1_500  # at start: so long the news since the list at hand is awaited


def budget(sockets: int, memory_mb: float, open_cap: int) -> Limits:
    """One budget of descriptors, shared between clients and backends; a part of the memory for answers."""
    free = sockets - RESERVE
    clients = int(free * CLIENT_PART)
    return Limits(
        clients,
        free - clients,
        min(clients, open_cap),
        int(memory_mb * 1e6 * ANSWERS_PART),
        kept_idle=int(sockets * KEPT_PART),
    )
