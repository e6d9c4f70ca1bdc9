"""The ledgers of a run joined by try: what clients, servers and the list each saw."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from tamarindfold.rehearsal.day import ClassFacts, Day, classes, plan_figures
from tamarindfold.standins.ledger import Entry, read_entries


@dataclass(slots=True)
class Receipt:
    """A request that reached a server: when its first byte came, from which gateway's address."""

    at: float
    server: str  # its address
    peer: str  # the gateway that ordered it: the sender, or who permitted it where a proxy sent it
    entry: Entry
    ordered: float = 0.0  # when: as it came, or when its proxy got the permit
    full: bool = False  # turned away unexamined, and told so
    ran: int = 0


@dataclass(slots=True)
class Try:
    """A client's try. Times in the clock's milliseconds."""

    name: str
    sent: Entry
    answers: list[Entry] = field(default_factory=list)
    broken: Entry | None = None
    again: bool = False  # bytes beyond the one answer
    let_through: bool = False  # by a proxy, without a gateway's word
    receipts: list[Receipt] = field(default_factory=list)


@dataclass(slots=True)
class Evidence:
    """All that the judge goes by."""

    tries: dict[str, Try]
    strays: list[Receipt]  # with a name that no client sent
    births: dict[str, list[Entry]]  # by server address: each start, in order
    told: list[Entry]
    run: list[Entry]
    counted: list[Entry]  # what the counter added
    ended: list[Entry]  # what the client library told its callers
    classes: dict[str, ClassFacts]
    plans: dict[str, Entry]
    instances: dict[str, int]  # by source address
    zones: dict[str, int]
    cells: dict[str, int]
    marks: list[Entry] = field(default_factory=list)  # which settings each instance acted on


def join(
    day: Day,
    clients: list[Entry],
    servers: list[list[Entry]],
    told: list[Entry],
    run: list[Entry],
    counted: list[Entry] | None = None,
    proxies: list[list[Entry]] | None = None,
) -> Evidence:
    """Evidence from ledgers; each server's ledger holds all its lives."""
    tries = {e["try"]: Try(e["try"], e) for e in clients if e["what"] == "sent"}
    for entry in clients:
        if (known := tries.get(entry.get("try", ""))) is None:
            continue
        if entry["what"] == "answered":
            known.answers.append(entry)
        elif entry["what"] == "answered_again":
            known.again = True
        elif entry["what"] == "broken":
            known.broken = entry
    permits = _permits(proxies or [], run)
    strays: list[Receipt] = []
    births: dict[str, list[Entry]] = {}
    zones, cells = {}, {}
    for i, ledger in enumerate(servers):
        address = ""
        latest: dict[tuple[str, int], Receipt] = {}
        for entry in ledger:
            if entry["what"] == "up":
                address = entry["address"]
                births.setdefault(address, []).append(entry)
                zones[address], cells[address] = i % day.servers.zones, i % day.servers.cells
                continue
            key = entry.get("try", ""), entry.get("attempt", 0)
            if entry["what"] == "received":
                receipt = latest[key] = Receipt(entry["t"], address, entry["peer"], entry, entry["t"])
                if (permit := permits.get((entry["peer"], key[0]))) is not None:
                    receipt.ordered, receipt.peer = permit
                if key[0] in tries:
                    tries[key[0]].receipts.append(receipt)
                else:
                    strays.append(receipt)
            elif entry["what"] == "full":
                latest[key].full = True
            elif entry["what"] == "ran":
                latest[key].ran += 1
    for known in tries.values():
        known.receipts.sort(key=lambda r: r.at)
    for ledger in proxies or []:
        for entry in ledger:
            if entry["what"] == "let_through" and (name := entry["try"]) in tries:
                tries[name].let_through = True
    plans = plan_figures(day)
    instances = {e["source"]: e["index"] for e in run if e["what"] == "instance_up"}
    return Evidence(
        tries,
        strays,
        births,
        [e for e in told if e["what"] == "told"],
        run,
        [e for e in counted or [] if e["what"] == "added"],
        [e for e in clients if e["what"] == "ended"],
        classes(day),
        plans,
        instances,
        zones,
        cells,
    )


def _permits(proxies: list[list[Entry]], run: list[Entry]) -> dict[tuple[str, str], tuple[float, str]]:
    """By a proxy's address and a try's name: when the proxy got its permit, and which gateway gave it."""
    sources = {e["forward"]: e["source"] for e in run if e["what"] == "instance_up" and e.get("forward")}
    return {
        (ledger[0]["source"], entry["try"]): (entry["t"], sources[entry["gateway"]])
        for ledger in proxies
        for entry in ledger
        if entry["what"] == "permitted"
    }


def collect(day: Day, out: Path) -> Evidence:
    """Evidence from the ledgers that a run left in a folder."""
    ledgers = out / "ledgers"
    servers = [read_entries(ledgers / f"server-{i}.jsonl") for i in range(day.servers.count)]
    parts = range(day.counter.parts if day.counter else 0)
    counted = [entry for i in parts for entry in read_entries(ledgers / f"counter-{i}.jsonl")]
    made = join(
        day,
        read_entries(ledgers / "clients.jsonl"),
        servers,
        read_entries(ledgers / "fleet.jsonl"),
        read_entries(ledgers / "run.jsonl"),
        counted,
        [read_entries(ledgers / f"proxy-{i}.jsonl") for i in range(len(day.proxies))],
    )
    made.marks = read_entries(ledgers / "marks.jsonl")
    return made
