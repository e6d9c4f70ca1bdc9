"""Which version each instance acts on, seen from outside: by routes that only one version has.

A prober asks each instance for the newest marks, again and again, on a connection of its own, without a
token: 401 says that the route is there, 404 that it is not, 503 that the instance holds no lease.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import socket

from tamarindfold.http1.client import send_request
from tamarindfold.http1.responses import BadResponse, ResponseReader
from tamarindfold.standins.ledger import Entry, Ledger

EVERY_S = 0.02  # for up to EVERY_FOR instances; with more so much less often that probing costs alike
EVERY_FOR = 8
ANSWER_S = 20.0  # a stopped instance answers when it is woken
NEWEST = 3  # marks that are asked for in turn


class Prober:
    """Probes instances; `address` may be empty while one is down."""

    def __init__(
        self,
        addresses: list[Callable[[], str]],
        newest: Callable[[], int],
        clock: Callable[[], float],
        ledger: Ledger,
    ) -> None:
        self.addresses, self.newest, self.clock, self.ledger = addresses, newest, clock, ledger
        self.every_s = EVERY_S * max(1.0, len(addresses) / EVERY_FOR)
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Begin."""
        self.greenlets = [gevent.spawn(self._run, i) for i in range(len(self.addresses))]

    def stop(self) -> None:
        """End."""
        gevent.killall(self.greenlets)

    def _run(self, i: int) -> None:
        while True:
            address = self.addresses[i]()
            try:
                if address:
                    self._probe(i, address)
            except (OSError, BadResponse):
                pass
            gevent.sleep(self.every_s)

    def _probe(self, i: int, address: str) -> None:
        host, _, port = address.rpartition(":")
        reader = ResponseReader(1 << 16)
        with socket.create_connection((host, int(port)), timeout=1.0) as sock:
            sock.settimeout(ANSWER_S)
            while self.addresses[i]() == address:
                newest = self.newest()
                for mark in range(max(1, newest - NEWEST + 1), newest + 1):
                    start = self.clock()
                    status, _ = send_request(sock, reader, "GET", f"/mark/{mark}", address)
                    self.ledger.record(self.clock(), "mark", index=i, mark=mark, start=start, status=status)
                gevent.sleep(self.every_s)


@dataclass
class Contradictions:
    """What a history shows. spread_ms: by version, from its first sight anywhere to its first at the last."""

    looked_at: int = 0
    max_ms: float = 0.0  # the longest that an older version was acted on beside a newer one
    breaches: list[dict[str, Any]] = field(default_factory=list)
    spread_ms: dict[int, float] = field(default_factory=dict)
    unled: int = 0  # probes of instances without a lease


def contradictions(history: list[Entry], window_ms: float) -> Contradictions:
    """Who acted on an older version for longer than the window beside a newer one.

    A probe tells of some moment between its start and its end. The newer version was in force no later than
    the end of the first probe that showed it, and the older one was acted on no earlier than the start of the
    probe that shows that, or than the moment at which a stopped instance was woken: so what is counted as a
    breach is one, however slow the machine.
    """
    made = Contradictions()
    marks = sorted((e for e in history if e["what"] == "mark"), key=lambda e: e["t"])
    stood: dict[int, list[tuple[float, float]]] = {}
    since: dict[int, float] = {}
    for entry in sorted(history, key=lambda e: e["t"]):
        if entry["what"] == "instance_stalls":
            since[entry["index"]] = entry["t"]
        elif entry["what"] == "instance_resumes" and entry["index"] in since:
            stood.setdefault(entry["index"], []).append((since.pop(entry["index"]), entry["t"]))
    first: dict[int, float] = {}
    seen: dict[int, dict[int, float]] = {}
    for entry in marks:
        made.unled += entry["status"] == 503
        if entry["status"] == 401:
            first.setdefault(entry["mark"], entry["t"])
            seen.setdefault(entry["mark"], {}).setdefault(entry["index"], entry["t"])
    versions = sorted(first)
    for entry in marks:
        if entry["status"] != 401:
            continue
        made.looked_at += 1
        earliest = max(
            [
                entry["start"],
                *(
                    until
                    for began, until in stood.get(entry["index"], ())
                    if began <= entry["start"] < until <= entry["t"]
                ),
            ]
        )
        later = [first[version] for version in versions[bisect_right(versions, entry["mark"]) :]]
        if later and (over := earliest - min(later)) > 0:
            made.max_ms = max(made.max_ms, over)
            if over > window_ms:
                made.breaches.append(
                    {
                        "t": entry["t"],
                        "instance": entry["index"],
                        "mark": entry["mark"],
                        "what": f"acted on {over:.0f} ms after a newer version",
                    }
                )
    made.spread_ms = {version: max(at.values()) - min(at.values()) for version, at in seen.items()}
    return made
