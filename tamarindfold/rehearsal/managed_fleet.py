"""A fleet with agreed settings and no backends: keepers, instances, their links, and a version prober."""

from __future__ import annotations

import signal
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import gevent
import msgspec

from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.rehearsal.keepers import KeeperGroup, suspend
from tamarindfold.rehearsal.processes import Program
from tamarindfold.rehearsal.version_probe import StaleVersionReport, VersionProber, find_stale_versions
from tamarindfold.standins.ledger import Entry, Ledger, read_entries

DOCUMENT: dict[str, Any] = {
    "classes": [{"name": "quote", "aim_ms": 1500, "deadline_ms": 4000, "worth": 3, "effect": "safe"}],
    "routes": [{"method": "GET", "path": "/quotes/", "class": "quote"}],
    "plans": [{"name": "corner", "rate": 6, "burst": 20}],
    "fleet": {"static": [{"address": "127.0.0.1:9"}]},
}


class ManagedFleet:
    """Keepers and instances, each a process. The history is a file, so that it survives them."""

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
        """Write the configurations; `start` starts the processes.

        skews, faulty: see KeeperGroup. local: by instance, sections of its own configuration file.
        """
        out.mkdir(parents=True, exist_ok=True)
        self.out, self.clock = out, SteadyClock().now
        self.path = out / "history.jsonl"
        self.ledger = Ledger(self.path)
        self.document = dict(document or DOCUMENT) | {"terms": terms or {}}
        self.window_ms = float(self.document["terms"].get("window_ms", 2000))
        self.keepers = KeeperGroup(out, keepers, instances, seed, self.clock, self.ledger, skews, faulty)
        self.local = local or {}
        self.programs = [self._instance_program(i) for i in range(instances)]
        self.up = [False] * instances
        self.newest_version = 1
        self.prober = VersionProber(
            [
                lambda i=i: self.programs[i].address if self.up[i] else ""  # type: ignore[misc]
                for i in range(instances)
            ],
            lambda: self.newest_version,
            self.clock,
            self.ledger,
        )

    def _instance_program(self, i: int) -> Program:
        name = f"i{i}"
        file = self.out / "config" / f"{name}.yaml"
        config: dict[str, Any] = {
            "agreement": self.keepers.agreement_section(i, name),
            "instance": {"state_dir": str(self.out / "state"), "seed": i + 1},
            "introspection": {"url": "http://127.0.0.1:9/introspect", "client_id": "gateway"},
        }
        for section, fields in self.local.get(i, {}).items():
            config[section] = config.get(section, {}) | fields
        file.write_bytes(msgspec.yaml.encode(config))
        return self.keepers.create_program(f"instance {i}", ["serve", str(file)])

    def start(self, instances: Iterable[int] | None = None) -> None:
        """Start the keepers, put version 1 in force, then start instances (default: all) and the prober."""
        self.keepers.start()
        self.keepers.propose(self.document, 0)
        self.keepers.wait_in_force(1)
        self.start_instances(range(len(self.programs)) if instances is None else instances)
        self.prober.start()

    def start_instances(self, instances: Iterable[int]) -> None:
        """Start instances and wait until they serve."""

        def start_one(i: int) -> None:
            self.programs[i].address = self.programs[i].start().removeprefix("listening on ")
            self.up[i] = True
            self.ledger.record(self.clock(), "instance_up", index=i)

        gevent.joinall([gevent.spawn(start_one, i) for i in instances], raise_error=True)

    def stop(self) -> None:
        """Stop the prober and kill all processes."""
        self.prober.stop()
        for program in self.programs:
            program.signal(signal.SIGCONT)
            program.kill()
        self.keepers.stop()

    # ---- changes and faults

    def propose(self, wait: bool = True, **changes: Any) -> int:
        """Propose the document with these changes; its version. wait: until it is in force."""
        self.document = self.document | changes
        reply = self.keepers.propose(self.document)
        assert reply.version, reply.reason
        self.newest_version = reply.version
        if wait:
            self.keepers.wait_in_force(reply.version)
        return reply.version

    def kill(self, i: int) -> None:
        """Kill an instance."""
        self.up[i] = False
        self.ledger.record(self.clock(), "instance_down", index=i)
        self.programs[i].kill()

    def leave(self, i: int) -> int | None:
        """Terminate an instance, which leaves the group; its exit status."""
        self.up[i] = False
        status = self.programs[i].stop()
        self.ledger.record(self.clock(), "instance_down", index=i)
        return status

    def suspend(self, i: int) -> None:
        """Suspend an instance (SIGSTOP)."""
        suspend(self.programs[i])
        self.ledger.record(self.clock(), "instance_stalls", index=i, for_ms=0)

    def resume(self, i: int) -> None:
        """Resume a suspended instance."""
        self.ledger.record(self.clock(), "instance_resumes", index=i)
        self.programs[i].signal(signal.SIGCONT)

    # ---- what was observed

    def history(self) -> list[Entry]:
        """All entries of the ledger."""
        return read_entries(self.path)

    def find_stale_versions(self, window_ms: float | None = None) -> StaleVersionReport:
        """Which instances acted on an old version for too long after a newer one was first used."""
        return find_stale_versions(self.history(), self.window_ms if window_ms is None else window_ms)

    def probe_status(self, i: int, version: int) -> int:
        """The status of the last probe of a version's marker route at an instance; 0 if there was none."""
        return next(
            (
                e["status"]
                for e in reversed(self.history())
                if e["what"] == "mark" and e["index"] == i and e["mark"] == version
            ),
            0,
        )

    def acts_on(self, i: int, version: int) -> bool:
        """Whether the last probe of a version at an instance showed that it acts on the version."""
        return self.probe_status(i, version) == 401

    def all_act_on(self, version: int, instances: Iterable[int] | None = None) -> bool:
        """Whether all of these instances (default: all) act on a version."""
        return all(
            self.acts_on(i, version) for i in (range(len(self.programs)) if instances is None else instances)
        )

    def log_entries(self, process: str, event: str) -> list[dict[str, Any]]:
        """The log lines of one event of a process; to show that a fault took effect, never for a verdict."""
        file = self.out / "logs" / f"{process.replace(' ', '-')}.log"
        lines = file.read_text().splitlines() if file.exists() else []
        return [
            found
            for line in lines
            if line.startswith("{") and (found := msgspec.json.decode(line))["event"] == event
        ]
