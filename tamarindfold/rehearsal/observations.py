"""The ledgers of a run joined by try: what clients, servers and the server list each recorded."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from tamarindfold.rehearsal.scenario import ClassInfo, Scenario, plan_limits, routed_classes
from tamarindfold.standins.ledger import Entry, read_entries


@dataclass(slots=True)
class ReceivedAttempt:
    """An attempt that reached a server. Times in the clock's milliseconds."""

    received_at: float  # arrival of the first byte
    server: str  # address
    gateway: str  # address of the gateway that sent it, or that permitted it where a proxy sent it
    entry: Entry
    decided_at: float = 0.0  # arrival, or where a proxy sent it the time of the proxy's permit
    queue_full: bool = False  # rejected before it was examined, with an answer that says so
    runs: int = 0


@dataclass(slots=True)
class Try:
    """One try of a client. Times in the clock's milliseconds."""

    name: str
    sent: Entry
    answers: list[Entry] = field(default_factory=list)
    broken: Entry | None = None
    extra_bytes: bool = False  # received after the complete answer
    failed_open: bool = False  # sent on by a proxy without a gateway's decision
    attempts: list[ReceivedAttempt] = field(default_factory=list)


@dataclass(slots=True)
class Observations:
    """Everything that the judge takes into account."""

    tries: dict[str, Try]
    unmatched: list[ReceivedAttempt]  # attempts with a name that no client sent
    server_starts: dict[str, list[Entry]]  # by server address, in order
    list_updates: list[Entry]  # updates of the server list as sent to each gateway
    run_events: list[Entry]  # what the run did to the processes
    counter_additions: list[Entry]
    call_results: list[Entry]  # results that the client library returned to its callers
    classes: dict[str, ClassInfo]
    plans: dict[str, Entry]
    instances: dict[str, int]  # by source address
    zones: dict[str, int]
    cells: dict[str, int]
    probes: list[Entry] = field(default_factory=list)  # which version of the settings each instance acted on


def join_ledgers(
    scenario: Scenario,
    clients: list[Entry],
    servers: list[list[Entry]],
    list_updates: list[Entry],
    run_events: list[Entry],
    counter_entries: list[Entry] | None = None,
    proxies: list[list[Entry]] | None = None,
) -> Observations:
    """Join ledgers to observations. The ledger of a server covers all its incarnations."""
    tries = {e["try"]: Try(e["try"], e) for e in clients if e["what"] == "sent"}
    for entry in clients:
        if (client_try := tries.get(entry.get("try", ""))) is None:
            continue
        if entry["what"] == "answered":
            client_try.answers.append(entry)
        elif entry["what"] == "answered_again":
            client_try.extra_bytes = True
        elif entry["what"] == "broken":
            client_try.broken = entry
    permits = _permits(proxies or [], run_events)
    unmatched: list[ReceivedAttempt] = []
    server_starts: dict[str, list[Entry]] = {}
    zones, cells = {}, {}
    for i, ledger in enumerate(servers):
        address = ""
        latest: dict[tuple[str, int], ReceivedAttempt] = {}
        for entry in ledger:
            if entry["what"] == "up":
                address = entry["address"]
                server_starts.setdefault(address, []).append(entry)
                zones[address], cells[address] = i % scenario.servers.zones, i % scenario.servers.cells
                continue
            key = entry.get("try", ""), entry.get("attempt", 0)
            if entry["what"] == "received":
                attempt = latest[key] = ReceivedAttempt(entry["t"], address, entry["peer"], entry, entry["t"])
                if (permit := permits.get((entry["peer"], key[0]))) is not None:
                    attempt.decided_at, attempt.gateway = permit
                if key[0] in tries:
                    tries[key[0]].attempts.append(attempt)
                else:
                    unmatched.append(attempt)
            elif entry["what"] == "full":
                latest[key].queue_full = True
            elif entry["what"] == "ran":
                latest[key].runs += 1
    for client_try in tries.values():
        client_try.attempts.sort(key=lambda attempt: attempt.received_at)
    for ledger in proxies or []:
        for entry in ledger:
            if entry["what"] == "let_through" and (name := entry["try"]) in tries:
                tries[name].failed_open = True
    plans = plan_limits(scenario)
    instances = {e["source"]: e["index"] for e in run_events if e["what"] == "instance_up"}
    return Observations(
        tries,
        unmatched,
        server_starts,
        [e for e in list_updates if e["what"] == "told"],
        run_events,
        [e for e in counter_entries or [] if e["what"] == "added"],
        [e for e in clients if e["what"] == "ended"],
        routed_classes(scenario),
        plans,
        instances,
        zones,
        cells,
    )


def _permits(proxies: list[list[Entry]], run_events: list[Entry]) -> dict[tuple[str, str], tuple[float, str]]:
    """By proxy address and try name: when the proxy received its permit, and from which gateway."""
    sources = {
        e["forward"]: e["source"] for e in run_events if e["what"] == "instance_up" and e.get("forward")
    }
    return {
        (ledger[0]["source"], entry["try"]): (entry["t"], sources[entry["gateway"]])
        for ledger in proxies
        for entry in ledger
        if entry["what"] == "permitted"
    }


def load_observations(scenario: Scenario, out: Path) -> Observations:
    """Observations from the ledgers that a run left in a folder."""
    ledgers = out / "ledgers"
    servers = [read_entries(ledgers / f"server-{i}.jsonl") for i in range(scenario.servers.count)]
    parts = range(scenario.counter.parts if scenario.counter else 0)
    counter_entries = [entry for i in parts for entry in read_entries(ledgers / f"counter-{i}.jsonl")]
    observations = join_ledgers(
        scenario,
        read_entries(ledgers / "clients.jsonl"),
        servers,
        read_entries(ledgers / "fleet.jsonl"),
        read_entries(ledgers / "run.jsonl"),
        counter_entries,
        [read_entries(ledgers / f"proxy-{i}.jsonl") for i in range(len(scenario.proxies))],
    )
    observations.probes = read_entries(ledgers / "marks.jsonl")
    return observations
