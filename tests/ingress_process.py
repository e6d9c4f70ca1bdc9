"""An ingress as a process of its own, with the limits of its configuration, and what it costs."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import yaml
from gevent import socket
from rig import Standins
from testbed import PlatformTestbed, free_port

ROOT = Path(__file__).parent.parent
STARTED_EVENTS = ("node.listening", "ingress.listening")


class IngressProcess:
    """A started `run` or `serve`, and the means to talk to it; `address` is where clients connect."""

    def __init__(self, command: list[str], environment: dict[str, str], descriptors: int, log: Path) -> None:
        self.log, self.address = log, ("127.0.0.1", 0)
        with log.open("wb") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=os.environ | environment,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
            )

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address, timeout=10)

    def is_listening(self) -> bool:
        assert self.process.poll() is None, self.log.read_text()
        return any(event in self.log.read_text() for event in STARTED_EVENTS)

    def memory_bytes(self, field: str = "VmHWM") -> int:
        """Resident memory: now (VmRSS) or its peak (VmHWM)."""
        status = (Path("/proc") / str(self.process.pid) / "status").read_text()
        return int(status.split(f"{field}:")[1].split()[0]) * 1024

    def descriptors(self) -> int:
        return len(os.listdir(Path("/proc") / str(self.process.pid) / "fd"))

    def counts(self, event: str) -> list[dict[str, Any]]:
        """The log lines of one event."""
        lines = [line for line in self.log.read_bytes().splitlines() if line.startswith(b"{")]
        return [found for line in lines if (found := msgspec.json.decode(line))["event"] == event]

    def stop(self) -> None:
        with suppress(ProcessLookupError):
            self.process.kill()
        self.process.wait()


def start_run(testbed: PlatformTestbed, folder: Path, memory_mb: int, descriptors: int) -> IngressProcess:
    """The deploy file's `run` with the testbed's stand-ins."""
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors}
    (folder / "config.json").write_bytes(msgspec.json.encode(testbed.config | {"limits": limits}))
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    started = IngressProcess(
        ["/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)],
        {"RELAY_CONFIG": str(folder / "config.json")},
        descriptors,
        folder / "log",
    )
    host, _, port = testbed.config["listen"].partition(":")
    started.address = host, int(port)
    return started


def start_serve(standins: Standins, folder: Path, descriptors: int, **limits: Any) -> IngressProcess:
    """`tamarindfold serve` with the stand-ins."""
    port = free_port()
    data = standins.configuration | {
        "listen": {"host": "127.0.0.1", "port": port},
        "limits": limits,
        "log": {"counts_every_ms": 1000},
    }
    (folder / "gateway.yaml").write_text(yaml.safe_dump(data))
    started = IngressProcess(
        [sys.executable, "-m", "tamarindfold.cli.main", "serve", str(folder / "gateway.yaml")],
        {},
        descriptors,
        folder / "log",
    )
    started.address = "127.0.0.1", port
    return started
