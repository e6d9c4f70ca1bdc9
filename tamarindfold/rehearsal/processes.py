"""Programs of the fleet as child processes: started, told, stopped by their id, never left behind."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import socket, subprocess

from tamarindfold.http1.client import send_request
from tamarindfold.http1.responses import ResponseReader

READY_S = 30.0
STOP_S = 20.0


class StartFailed(RuntimeError):
    """A process did not come up: which, and its last words."""


class Program:
    """One program that may be killed and started again."""

    def __init__(self, name: str, words: list[str], log: Path) -> None:
        self.name, self.words, self.log = name, words, log
        self.child: subprocess.Popen | None = None
        self.address = self.admin = ""
        self.module: tuple[str, ...] = ("tamarindfold.cli.main",)  # or one that spoils it (skewed, faulty)

    def start(self) -> str:
        """Start it and wait for its first line, which tells that it serves."""
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", *self.module, *self.words],
                stdout=subprocess.PIPE,
                stderr=log,
                start_new_session=True,
            )
        return self.line()

    def line(self) -> str:
        """The next line that it says as it starts; StartFailed where none comes."""
        assert self.child is not None
        with gevent.Timeout(READY_S, False):
            line: str = self.child.stdout.readline().decode().strip()
            if line:
                return line
        self.kill()
        raise StartFailed(f"{self.name} did not start: {self._last_words()}")

    def _last_words(self) -> str:
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    @property
    def alive(self) -> bool:
        """Whether it runs."""
        return self.child is not None and self.child.poll() is None

    def kill(self) -> None:
        """End it at once."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def signal(self, number: int) -> None:
        """Send it a signal."""
        if self.alive:
            assert self.child is not None
            os.kill(self.child.pid, number)

    def stop(self) -> int | None:
        """End it in good order; its exit status, None where it had to be killed."""
        if not self.alive:
            return self.child.returncode if self.child is not None else None
        assert self.child is not None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        with gevent.Timeout(STOP_S, False):
            status: int = self.child.wait()
            return status
        self.kill()
        return None


class StandinProgram(Program):
    """A stand-in; its configuration is a file written anew at each start."""

    def __init__(self, kind: str, name: str, config: dict[str, Any], out: Path) -> None:
        self.config, self.file = config, out / "config" / f"{name}.yaml"
        super().__init__(name, ["standin", kind, "--config", str(self.file)], out / "logs" / f"{name}.log")

    def start(self) -> str:
        """Start it; a second start takes the port of the first."""
        self.file.write_bytes(msgspec.yaml.encode(self.config))
        line = super().start()
        ready = msgspec.json.decode(line)
        self.address, self.admin = ready["address"], ready["admin"]
        self.config["port"] = int(self.address.rpartition(":")[2])
        return line

    def command(self, method: str, path: str, body: Any = None) -> Any:
        """One admin call; RuntimeError where it is turned down."""
        host, _, port = self.admin.rpartition(":")
        data = msgspec.json.encode(body) if body is not None else b""
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            status, told = send_request(
                sock, ResponseReader(1 << 20), method, path, self.admin, data, [(b"connection", b"close")]
            )
        answer = msgspec.json.decode(told)
        if status != 200:
            raise RuntimeError(f"{self.name}: {method} {path}: {answer}")
        return answer
