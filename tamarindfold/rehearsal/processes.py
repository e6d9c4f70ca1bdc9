"""Programs of the fleet as child processes: start, admin calls, signals and stop, each by process id."""

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

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


class ProcessStartError(RuntimeError):
    """A process did not start; the message names it and quotes the last line of its log."""


class Program:
    """A program that may be killed and started again."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name, self.arguments, self.log = name, arguments, log
        self.child: subprocess.Popen | None = None
        self.address = self.admin = ""
        # The module to run, with its own arguments; the modules `skewed` and `faulty` wrap the command.
        self.module: tuple[str, ...] = ("tamarindfold.cli.main",)

    def start(self) -> str:
        """Start the process, and return its first line, which it prints once it serves."""
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", *self.module, *self.arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                start_new_session=True,
            )
        return self.read_line()

    def read_line(self) -> str:
        """The next line of the standard output; ProcessStartError if none comes in time."""
        assert self.child is not None
        with gevent.Timeout(START_TIMEOUT_S, False):
            line: str = self.child.stdout.readline().decode().strip()
            if line:
                return line
        self.kill()
        raise ProcessStartError(f"{self.name} did not start: {self._last_log_line()}")

    def _last_log_line(self) -> str:
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "its log is empty"

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.child is not None and self.child.poll() is None

    def kill(self) -> None:
        """Kill the process (SIGKILL)."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.alive:
            assert self.child is not None
            os.kill(self.child.pid, number)

    def stop(self) -> int | None:
        """Terminate the process (SIGTERM); its exit status, or None if it had to be killed."""
        if not self.alive:
            return self.child.returncode if self.child is not None else None
        assert self.child is not None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        with gevent.Timeout(STOP_TIMEOUT_S, False):
            status: int = self.child.wait()
            return status
        self.kill()
        return None


class StandinProgram(Program):
    """A stand-in. Its configuration file is written at each start."""

    def __init__(self, kind: str, name: str, config: dict[str, Any], out: Path) -> None:
        self.config, self.file = config, out / "config" / f"{name}.yaml"
        super().__init__(name, ["standin", kind, "--config", str(self.file)], out / "logs" / f"{name}.log")

    def start(self) -> str:
        """Start the stand-in; a restart reuses the port of the first start."""
        self.file.write_bytes(msgspec.yaml.encode(self.config))
        line = super().start()
        ready = msgspec.json.decode(line)
        self.address, self.admin = ready["address"], ready["admin"]
        self.config["port"] = int(self.address.rpartition(":")[2])
        return line

    def command(self, method: str, path: str, body: Any = None) -> Any:
        """Make an admin call and return the decoded response; RuntimeError unless its status is 200."""
        host, _, port = self.admin.rpartition(":")
        data = msgspec.json.encode(body) if body is not None else b""
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            status, content = send_request(
                sock, ResponseReader(1 << 20), method, path, self.admin, data, [(b"connection", b"close")]
            )
        answer = msgspec.json.decode(content)
        if status != 200:
            raise RuntimeError(f"{self.name}: {method} {path}: {answer}")
        return answer
