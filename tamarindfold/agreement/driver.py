"""One instance's links to the keepers, its copy on disk, and the lock that proves an earlier life is over."""

from __future__ import annotations

import fcntl
import os
import time
import uuid
from collections.abc import Callable
from functools import partial
from pathlib import Path

import gevent
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey
from gevent import socket
from gevent.event import Event
from msgspec import Struct

from tamarindfold.agreement import wire
from tamarindfold.agreement.lease import Acting, Lease, Renewed
from tamarindfold.agreement.state import encode
from tamarindfold.ds.backoff import Backoff
from tamarindfold.ds.durable import replace
from tamarindfold.http1.client import send_request
from tamarindfold.http1.responses import ResponseReader
from tamarindfold.identity.wire import BadUpdate
from tamarindfold.links.subscription import Subscription
from tamarindfold.links.link import Link

WAITS = 8  # questions in a window, at least, while nothing is new
LOOK_S = 0.01  # the lease is looked at so often, beside each decision
CONNECT_S = 1.0
LEAST_PAUSE_S, MOST_PAUSE_S = 0.05, 0.5
SAVE_PAUSE_S = 0.05  # between two copies, so that a flood of changes is one write
LEAVE_S = 1.0  # a leaver waits so long for the keepers to know


def now_ms() -> float:
    """The lease's clock: monotonic."""
    return time.monotonic() * 1000


class Taken(Exception):
    """Another living process has this instance's folder."""


class Copy(Struct, frozen=True):
    """The file: what the log came to, and whether the one who wrote it has left."""

    state: bytes
    left: bool


class Folder:
    """An instance's own folder: only one living process has it, since the lock ends with the process."""

    def __init__(self, folder: Path, life: str) -> None:
        """OSError where it can't be used; Taken where another process has it."""
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / "agreed.bin"
        self.lock = os.open(folder / "instance.lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.lock)
            raise Taken(f"another process has {folder}") from None
        self.replaces = os.pread(self.lock, 64, 0).decode("ascii", "replace")
        os.ftruncate(self.lock, 0)
        os.pwrite(self.lock, life.encode(), 0)
        os.fsync(self.lock)

    def read(self) -> Copy | None:
        """What an earlier life left; ValueError where that can't be read."""
        if not self.path.exists():
            return None
        try:
            return msgspec.msgpack.decode(self.path.read_bytes(), type=Copy)
        except (OSError, msgspec.MsgspecError) as error:
            raise ValueError(f"{self.path}: {error}") from None

    def write(self, state: bytes, left: bool) -> None:
        """Replace the copy; OSError where that can't be done."""
        replace(self.path, [msgspec.msgpack.encode(Copy(state, left))])

    def close(self) -> None:
        """Let go of the lock."""
        os.close(self.lock)


class Agreement:
    """What is agreed, as one instance follows it. `changed` is called whenever what to act on may differ."""

    def __init__(
        self,
        name: str,
        keepers: list[tuple[str, int]],
        key: Ed25519PublicKey,
        folder: Path | None,
        source_address: str,
        changed: Callable[[], None],
        log: Callable[..., None],
        zone: int = 0,
    ) -> None:
        """OSError or Taken where the folder can't be had."""
        self.name, self.key, self.changed, self.log = name, key, changed, log
        life = uuid.uuid4().hex
        self.folder = Folder(folder, life) if folder is not None else None
        self.lease = Lease(life, name, len(keepers), self.folder.replaces if self.folder else "", zone)
        self.followers = [
            Subscription(
                Link(address, CONNECT_S, Backoff(LEAST_PAUSE_S, MOST_PAUSE_S), source_address),
                partial(self._talk, k),
                self._lost,
            )
            for k, address in enumerate(keepers)
        ]
        self.to_save = Event()
        self.hindrance = ""
        self.strange: set[int] = set()  # keepers of another past
        self.counts = dict.fromkeys(
            ("answers", "changes", "lost", "bad", "other_past", "not_saved", "unled"), 0
        )
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Take up what an earlier life left, then follow the keepers."""
        if self.folder is not None:
            try:
                if (copy := self.folder.read()) is not None:
                    self.lease.restore(copy.state, copy.left)
                    self.log("agreement.restored", version=self.lease.state.version, left=copy.left)
            except ValueError as error:
                self.log("agreement.copy_unusable", reason=str(error))
        for follower in self.followers:
            follower.start()
        self.greenlets = [gevent.spawn(self._watch), gevent.spawn(self._save)]

    def stop(self) -> None:
        """Leave the roster, if the keepers can be told in time, and end."""
        self.lease.leaving = True
        self.changed()
        self._hurry()  # a question that waits for news would hide that this instance leaves
        with gevent.Timeout(LEAVE_S, False):
            while self.lease.life in self.lease.state.members:
                gevent.sleep(LOOK_S)
        left = self.lease.life not in self.lease.state.members
        for follower in self.followers:
            follower.stop()
        gevent.killall(self.greenlets)
        if self.folder is not None:
            try:
                self.folder.write(encode(self.lease.state), left)
            except OSError as error:
                self.log("agreement.not_saved", reason=str(error))
            self.folder.close()

    def acting(self) -> Acting | None:
        """What to act on now."""
        return self.lease.acting(now_ms())

    @property
    def led_until_ms(self) -> float:
        """When the lease ends, by the monotonic clock."""
        return self.lease.until(now_ms())

    def could(self, version: int, cannot: str) -> None:
        """What was found out of the next version: whether it can be applied here."""
        if self.lease.judged(version, cannot):
            self._hurry()

    def _hurry(self) -> None:
        """Ask anew at once, with what there is to say."""
        for follower in self.followers:
            follower.link.disconnect()

    # ---- greenlets

    def _lost(self, reason: Exception | None) -> None:
        self.counts["lost"] += 1

    def _talk(self, keeper: int, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = ResponseReader(wire.BODY_BYTES)
        follower = self.followers[keeper]
        host = "{}:{}".format(*follower.link.address)
        while True:
            window_ms = self.lease.state.terms.window_ms
            wait_ms = window_ms / WAITS
            sock.settimeout((wait_ms + window_ms) / 1000)
            asked = self.lease.ask(now_ms(), wait_ms)
            status, body = send_request(
                sock, reader, "POST", "/v1/renew", host, msgspec.msgpack.encode(asked)
            )
            if status != 200:
                raise ValueError(f"keeper {keeper} answered {status}")
            self._answered(keeper, body)
            follower.message_received()
            if asked.number == self.lease.state.number and not self.lease.led:
                gevent.sleep(wait_ms / 4000)  # waits for a place: no need to ask in a row

    def _answered(self, keeper: int, body: bytes) -> None:
        try:
            answer = wire.unpack(body, Renewed, self.key, "renewed")
            new = self.lease.answered(keeper, answer)
        except (BadUpdate, ValueError) as error:
            self.counts["bad"] += 1
            raise ValueError(f"keeper {keeper}: {error}") from None
        self.counts["answers"] += 1
        if answer.other_past:
            self.counts["other_past"] += 1
            if keeper not in self.strange:  # told once, not with every answer
                self.log(
                    "agreement.other_past", keeper=keeper, number=answer.number, held=self.lease.state.number
                )
            self.strange.add(keeper)
        else:
            self.strange.discard(keeper)
        if answer.hindrance != self.hindrance:
            self.hindrance = answer.hindrance
            if answer.hindrance:
                self.log("agreement.no_place", reason=answer.hindrance)
        if new:
            self.counts["changes"] += 1
            self.to_save.set()
        if new or not self.lease.led:
            self.changed()

    def _watch(self) -> None:
        while True:
            gevent.sleep(LOOK_S)
            if self.lease.led and now_ms() >= self.led_until_ms:
                self.counts["unled"] += 1
                self.changed()
            elif not self.lease.led and self.lease.share:
                self.changed()  # its time on the old share may be over

    def _save(self) -> None:
        while True:
            self.to_save.wait()
            self.to_save.clear()
            if self.folder is None:
                continue
            state = self.lease.state
            try:
                gevent.get_hub().threadpool.apply(self.folder.write, (encode(state), False))
            except OSError as error:
                self.counts["not_saved"] += 1
                self.log("agreement.not_saved", reason=str(error))
            gevent.sleep(SAVE_PAUSE_S)
