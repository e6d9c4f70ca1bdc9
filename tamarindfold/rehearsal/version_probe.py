"""Observes from outside which version of the settings each instance acts on.

Each version has a marker route, which needs a lease. The prober requests the marker routes of the newest
versions from each instance in turn, on a connection of its own and without a token: 401 shows that the
instance has the route, 404 that it does not, and 503 that it has no lease.
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

INTERVAL_S = 0.02  # between probes of an instance, for up to INTERVAL_INSTANCES instances
# above this number of instances the interval grows in proportion, so that the total cost stays constant
INTERVAL_INSTANCES = 8
ANSWER_TIMEOUT_S = 20.0  # long, as a suspended instance answers only after it resumed
PROBED_VERSIONS = 3  # the newest ones


class VersionProber:
    """Probes instances and records the results. An address is empty while its instance is down."""

    def __init__(
        self,
        addresses: list[Callable[[], str]],
        newest_version: Callable[[], int],
        clock: Callable[[], float],
        ledger: Ledger,
    ) -> None:
        self.addresses, self.newest_version, self.clock, self.ledger = (
            addresses,
            newest_version,
            clock,
            ledger,
        )
        self.interval_s = INTERVAL_S * max(1.0, len(addresses) / INTERVAL_INSTANCES)
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start probing all instances."""
        self.greenlets = [gevent.spawn(self._run, i) for i in range(len(self.addresses))]

    def stop(self) -> None:
        """Stop probing."""
        gevent.killall(self.greenlets)

    def _run(self, i: int) -> None:
        while True:
            address = self.addresses[i]()
            try:
                if address:
                    self._probe(i, address)
            except (OSError, BadResponse):
                pass
            gevent.sleep(self.interval_s)

    def _probe(self, i: int, address: str) -> None:
        host, _, port = address.rpartition(":")
        reader = ResponseReader(1 << 16)
        with socket.create_connection((host, int(port)), timeout=1.0) as sock:
            sock.settimeout(ANSWER_TIMEOUT_S)
            while self.addresses[i]() == address:
                newest = self.newest_version()
                for mark in range(max(1, newest - PROBED_VERSIONS + 1), newest + 1):
                    start = self.clock()
                    status, _ = send_request(sock, reader, "GET", f"/mark/{mark}", address)
                    self.ledger.record(self.clock(), "mark", index=i, mark=mark, start=start, status=status)
                gevent.sleep(self.interval_s)


@dataclass
class StaleVersionReport:
    """What a history of probes shows. Times in milliseconds."""

    examined: int = 0  # probes that showed a version
    max_overlap_ms: float = 0.0  # longest time for which an old version was used after a newer one first was
    breaches: list[dict[str, Any]] = field(default_factory=list)
    # by version: from the first instance that acts on it to the last
    rollout_ms: dict[int, float] = field(default_factory=dict)
    probes_without_lease: int = 0


def find_stale_versions(history: list[Entry], window_ms: float) -> StaleVersionReport:
    """Find the instances that acted on an old version later than the window after a newer one was first used.

    A probe reflects some moment between its start and its end. So the newer version was in force no later
    than the end of the first probe that showed it, and the older one was acted on no earlier than the start
    of the probe that showed it, or than the moment at which the suspended instance resumed. A breach that is
    found is therefore real, however slow the machine is.
    """
    report = StaleVersionReport()
    probes = sorted((e for e in history if e["what"] == "mark"), key=lambda e: e["t"])
    suspensions: dict[int, list[tuple[float, float]]] = {}
    since: dict[int, float] = {}
    for entry in sorted(history, key=lambda e: e["t"]):
        if entry["what"] == "instance_stalls":
            since[entry["index"]] = entry["t"]
        elif entry["what"] == "instance_resumes" and entry["index"] in since:
            suspensions.setdefault(entry["index"], []).append((since.pop(entry["index"]), entry["t"]))
    first_seen: dict[int, float] = {}
    seen_by_instance: dict[int, dict[int, float]] = {}
    for entry in probes:
        report.probes_without_lease += entry["status"] == 503
        if entry["status"] == 401:
            first_seen.setdefault(entry["mark"], entry["t"])
            seen_by_instance.setdefault(entry["mark"], {}).setdefault(entry["index"], entry["t"])
    versions = sorted(first_seen)
    for entry in probes:
        if entry["status"] != 401:
            continue
        report.examined += 1
        earliest = max(
            [
                entry["start"],
                *(
                    until
                    for started_at, until in suspensions.get(entry["index"], ())
                    if started_at <= entry["start"] < until <= entry["t"]
                ),
            ]
        )
        newer_seen = [first_seen[version] for version in versions[bisect_right(versions, entry["mark"]) :]]
        if newer_seen and (overlap := earliest - min(newer_seen)) > 0:
            report.max_overlap_ms = max(report.max_overlap_ms, overlap)
            if overlap > window_ms:
                report.breaches.append(
                    {
                        "t": entry["t"],
                        "instance": entry["index"],
                        "mark": entry["mark"],
                        "what": f"acted on {overlap:.0f} ms after a newer version",
                    }
                )
    report.rollout_ms = {
        version: max(at.values()) - min(at.values()) for version, at in seen_by_instance.items()
    }
    return report
