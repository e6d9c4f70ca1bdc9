"""A fleet whose settings are agreed and nothing else: keepers, instances, links between them, a prober."""

from __future__ import annotations

import signal
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import gevent
import msgspec

from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.rehearsal.keepers import KeeperFleet, halt
from tamarindfold.rehearsal.marks import Contradictions, Prober, contradictions
from tamarindfold.rehearsal.processes import Program
from tamarindfold.standins.ledger import Entry, Ledger, read_entries

DOCUMENT: dict[str, Any] = {
    "classes": [{"name": "quote", "aim_ms": 1500, "deadline_ms": 4000, "worth": 3, "effect": "safe"}],
    "routes": [{"method": "GET", "path": "/quotes/", "class": "quote"}],
    "plans": [{"name": "corner", "rate": 6, "burst": 20}],
    "fleet": {"static": [{"address": "127.0.0.1:9"}]},
}


class AgreedFleet:
    """Keepers and instances, each a process; the history is a file that outlives them."""

    def __init__(
        self,
        out: Path,
        keepers: int = 3,
        instances: int = 3,
        seed: int = 1,
        terms: dict[str, Any] | None = None,
        document: dict[str, Any] | None = None,
        skews: dict[str, tuple[float, float]] | None = None,
        faulty: dict[str, str] | None = None,
        local: dict[int, dict[str, Any]] | None = None,
    ) -> None:
        """local: by instance, sections of its own file."""
        out.mkdir(parents=True, exist_ok=True)
        self.out, self.clock = out, SteadyClock().now
        self.path = out / "history.jsonl"
        self.ledger = Ledger(self.path)
        self.document = dict(document or DOCUMENT) | {"terms": terms or {}}
        self.window_ms = float(self.document["terms"].get("window_ms", 2000))
        self.keepers = KeeperFleet(out, keepers, instances, seed, self.clock, self.ledger, skews, faulty)
        self.local = local or {}
        self.programs = [self._instance(i) for i in range(instances)]
        self.up = [False] * instances
        self.newest = 1
        self.prober = Prober(
            [
                lambda i=i: self.programs[i].address if self.up[i] else ""  # type: ignore[misc]
                for i in range(instances)
            ],
            lambda: self.newest,
            self.clock,
            self.ledger,
        )

    def _instance(self, i: int) -> Program:
        name = f"i{i}"
        file = self.out / "config" / f"{name}.yaml"
        own: dict[str, Any] = {
            "agreement": self.keepers.section(i, name),
            "instance": {"state_dir": str(self.out / "state"), "seed": i + 1},
            "introspection": {"url": "http://127.0.0.1:9/introspect", "client_id": "gateway"},
        }
        for section, fields in self.local.get(i, {}).items():
            own[section] = own.get(section, {}) | fields
        file.write_bytes(msgspec.yaml.encode(own))
        return self.keepers.words(f"instance {i}", ["serve", str(file)])

    def start(self, instances: Iterable[int] | None = None) -> None:
        """Keepers, a first version, then these instances (all) and the prober."""
        self.keepers.start()
        self.keepers.propose(self.document, 0)
        self.keepers.in_force(1)
        self.begin(range(len(self.programs)) if instances is None else instances)
        self.prober.start()

    def begin(self, instances: Iterable[int]) -> None:
        """Start instances and wait until they serve."""

        def one(i: int) -> None:
            self.programs[i].address = self.programs[i].start().removeprefix("listening on ")
            self.up[i] = True
            self.ledger.record(self.clock(), "instance_up", index=i)

        gevent.joinall([gevent.spawn(one, i) for i in instances], raise_error=True)

    def stop(self) -> None:
        """End everything."""
        self.prober.stop()
        for program in self.programs:
            program.signal(signal.SIGCONT)
            program.kill()
        self.keepers.stop()

    # ---- what happens

    def propose(self, wait: bool = True, **changes: Any) -> int:
        """The next version: the document with these changes; its number."""
        self.document = self.document | changes
        told = self.keepers.propose(self.document)
        assert told.version, told.reason
        self.newest = told.version
        if wait:
            self.keepers.in_force(told.version)
        return told.version

    def kill(self, i: int) -> None:
        """End an instance at once."""
        self.up[i] = False
        self.ledger.record(self.clock(), "instance_down", index=i)
        self.programs[i].kill()

    def leave(self, i: int) -> int | None:
        """End an instance in good order; its exit status."""
        self.up[i] = False
        status = self.programs[i].stop()
        self.ledger.record(self.clock(), "instance_down", index=i)
        return status

    def halt(self, i: int) -> None:
        """Stop an instance where it stands."""
        halt(self.programs[i])
        self.ledger.record(self.clock(), "instance_stalls", index=i, for_ms=0)

    def wake(self, i: int) -> None:
        """Let a stopped instance go on."""
        self.ledger.record(self.clock(), "instance_resumes", index=i)
        self.programs[i].signal(signal.SIGCONT)

    # ---- what came of it

    def history(self) -> list[Entry]:
        """All that was written down."""
        return read_entries(self.path)

    def contradictions(self, window_ms: float | None = None) -> Contradictions:
        """Who acted on what beside what."""
        return contradictions(self.history(), self.window_ms if window_ms is None else window_ms)

    def status(self, i: int, version: int) -> int:
        """What an instance answered last when it was asked for a version's mark; 0: it was not."""
        return next(
            (
                e["status"]
                for e in reversed(self.history())
                if e["what"] == "mark" and e["index"] == i and e["mark"] == version
            ),
            0,
        )

    def shows(self, i: int, version: int) -> bool:
        """Whether an instance's last probe of a version showed that it acts on it."""
        return self.status(i, version) == 401

    def all_show(self, version: int, instances: Iterable[int] | None = None) -> bool:
        """Whether all of these instances act on a version."""
        return all(
            self.shows(i, version) for i in (range(len(self.programs)) if instances is None else instances)
        )

    def logged(self, who: str, event: str) -> list[dict[str, Any]]:
        """What a process said of one kind; for showing that a fault came to pass, never for a verdict."""
        file = self.out / "logs" / f"{who.replace(' ', '-')}.log"
        lines = file.read_text().splitlines() if file.exists() else []
        return [
            found
            for line in lines
            if line.startswith("{") and (found := msgspec.json.decode(line))["event"] == event
        ]
