"""One instance's connections to the keepers, its saved copy of the state, and the lock on its folder.

The lock proves that the previous incarnation has ended, so that the new one may replace it at once.
"""

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
from tamarindfold.agreement.lease import EffectiveSettings, Lease, RenewReply
from tamarindfold.agreement.state import encode
from tamarindfold.ds.backoff import Backoff
from tamarindfold.ds.durable import replace_file
from tamarindfold.http1.client import send_request
from tamarindfold.http1.responses import ResponseReader
from tamarindfold.identity.wire import BadUpdate
from tamarindfold.links.subscription import Subscription
from tamarindfold.links.link import Link
from tamarindfold.links.turns import FairSocket

RENEWALS_PER_WINDOW = 8  # at least, to each keeper, while there are no updates
LEASE_CHECK_S = 0.01  # interval, in addition to the check before each decision
CONNECT_TIMEOUT_S = 1.0
MIN_RECONNECT_S, MAX_RECONNECT_S = 0.05, 0.5
SAVE_PAUSE_S = 0.05  # between two saves, so that a burst of changes is written once
LEAVE_TIMEOUT_S = 1.0  # for the keepers to take a leaving instance off the roster


def now_ms() -> float:
    """The clock of the lease: monotonic, in milliseconds."""
    return time.monotonic() * 1000


class FolderInUse(Exception):
    """Another running process has the lock on this instance's folder."""


class SavedState(Struct, frozen=True):
    """Content of the state file: the encoded state, and whether the instance had left the roster."""

    state: bytes
    left: bool


class InstanceFolder:
    """An instance's folder, held by one running process at a time: the lock ends with the process."""

    def __init__(self, folder: Path, incarnation: str) -> None:
        """Raises OSError if the folder can't be used, FolderInUse if another process holds it."""
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / "agreed.bin"
        self.lock = os.open(folder / "instance.lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.lock)
            raise FolderInUse(f"another process holds the lock on {folder}") from None
        self.replaces = os.pread(self.lock, 64, 0).decode("ascii", "replace")  # the previous incarnation
        os.ftruncate(self.lock, 0)
        os.pwrite(self.lock, incarnation.encode(), 0)
        os.fsync(self.lock)

    def read(self) -> SavedState | None:
        """What an earlier incarnation saved, if anything. Raises ValueError if it can't be read."""
        if not self.path.exists():
            return None
        try:
            return msgspec.msgpack.decode(self.path.read_bytes(), type=SavedState)
        except (OSError, msgspec.MsgspecError) as error:
            raise ValueError(f"{self.path}: {error}") from None

    def write(self, state: bytes, left: bool) -> None:
        """Replace the saved state. Raises OSError if that fails."""
        replace_file(self.path, [msgspec.msgpack.encode(SavedState(state, left))])

    def close(self) -> None:
        """Release the lock."""
        os.close(self.lock)


class AgreementClient:
    """Follows the replicated settings for one instance.

    `changed` is called whenever the effective settings may differ from those returned last.
    """

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
        """Raises OSError or FolderInUse if the folder can't be used."""
        self.name, self.key, self.changed, self.log = name, key, changed, log
        incarnation = uuid.uuid4().hex
        self.folder = InstanceFolder(folder, incarnation) if folder is not None else None
        self.lease = Lease(incarnation, name, len(keepers), self.folder.replaces if self.folder else "", zone)
        self.followers = [
            Subscription(
                Link(address, CONNECT_TIMEOUT_S, Backoff(MIN_RECONNECT_S, MAX_RECONNECT_S), source_address),
                partial(self._renew_continually, k),
                self._count_lost_connection,
            )
            for k, address in enumerate(keepers)
        ]
        self.save_needed = Event()
        self.join_error = ""
        self.diverged: set[int] = set()  # keepers whose log is not the one that this instance follows
        self.counts = dict.fromkeys(
            ("answers", "changes", "lost", "bad", "other_past", "not_saved", "unled"), 0
        )
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Restore what an earlier incarnation saved, then follow the keepers."""
        if self.folder is not None:
            try:
                if (saved := self.folder.read()) is not None:
                    self.lease.restore(saved.state, saved.left)
                    self.log("agreement.restored", version=self.lease.state.version, left=saved.left)
            except ValueError as error:
                self.log("agreement.copy_unusable", reason=str(error))
        for follower in self.followers:
            follower.start()
        self.greenlets = [gevent.spawn(self._watch_lease), gevent.spawn(self._save_changes)]

    def stop(self) -> None:
        """Leave the roster, if the keepers confirm that in time, and stop."""
        self.lease.leaving = True
        self.changed()
        self._renew_at_once()  # a request that waits for updates would delay the departure
        with gevent.Timeout(LEAVE_TIMEOUT_S, False):
            while self.lease.incarnation in self.lease.state.members:
                gevent.sleep(LEASE_CHECK_S)
        left = self.lease.incarnation not in self.lease.state.members
        for follower in self.followers:
            follower.stop()
        gevent.killall(self.greenlets)
        if self.folder is not None:
            try:
                self.folder.write(encode(self.lease.state), left)
            except OSError as error:
                self.log("agreement.not_saved", reason=str(error))
            self.folder.close()

    def effective_settings(self) -> EffectiveSettings | None:
        """What to act on now; None if no settings are known."""
        return self.lease.effective_settings(now_ms())

    @property
    def lease_until_ms(self) -> float:
        """When the lease ends, by the monotonic clock; minus infinity if there is none."""
        return self.lease.expires_at(now_ms())

    def report_applicability(self, version: int, error: str) -> None:
        """Report to the keepers whether the next version can be applied here; error: why not, or empty."""
        if self.lease.record_applicability(version, error):
            self._renew_at_once()

    def _renew_at_once(self) -> None:
        """Drop all connections, so that new requests with the latest report go out at once."""
        for follower in self.followers:
            follower.link.disconnect()

    # ---- greenlets

    def _count_lost_connection(self, reason: Exception | None) -> None:
        self.counts["lost"] += 1

    def _renew_continually(self, keeper: int, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = ResponseReader(wire.BODY_BYTES)
        follower, fair_sock = self.followers[keeper], FairSocket(sock)
        host = "{}:{}".format(*follower.link.address)
        while True:
            window_ms = self.lease.state.terms.window_ms
            wait_ms = window_ms / RENEWALS_PER_WINDOW
            sock.settimeout((wait_ms + window_ms) / 1000)
            request = self.lease.renew_request(now_ms(), wait_ms)
            status, body = send_request(
                fair_sock, reader, "POST", "/v1/renew", host, msgspec.msgpack.encode(request)
            )
            if status != 200:
                raise ValueError(f"keeper {keeper} answered {status}")
            self._handle_reply(keeper, body)
            follower.message_received()
            if request.number == self.lease.state.number and not self.lease.has_lease:
                # The keeper answers at once while this instance waits for a place, so the pause is made here.
                gevent.sleep(wait_ms / 4000)

    def _handle_reply(self, keeper: int, body: bytes) -> None:
        try:
            reply = wire.unpack(body, RenewReply, self.key, "renewed")
            new = self.lease.handle_reply(keeper, reply)
        except (BadUpdate, ValueError) as error:
            self.counts["bad"] += 1
            raise ValueError(f"keeper {keeper}: {error}") from None
        self.counts["answers"] += 1
        if reply.diverged:
            self.counts["other_past"] += 1
            if keeper not in self.diverged:  # logged once, not with every reply
                self.log(
                    "agreement.other_past", keeper=keeper, number=reply.number, held=self.lease.state.number
                )
            self.diverged.add(keeper)
        else:
            self.diverged.discard(keeper)
        if reply.join_error != self.join_error:
            self.join_error = reply.join_error
            if reply.join_error:
                self.log("agreement.no_place", reason=reply.join_error)
        if new:
            self.counts["changes"] += 1
            self.save_needed.set()
        if new or not self.lease.has_lease:
            self.changed()

    def _watch_lease(self) -> None:
        while True:
            gevent.sleep(LEASE_CHECK_S)
            if self.lease.has_lease and now_ms() >= self.lease_until_ms:
                self.counts["unled"] += 1
                self.changed()
            elif not self.lease.has_lease and self.lease.share:
                self.changed()  # the time for which it keeps its share may have ended

    def _save_changes(self) -> None:
        while True:
            self.save_needed.wait()
            self.save_needed.clear()
            if self.folder is None:
                continue
            state = self.lease.state
            try:
                gevent.get_hub().threadpool.apply(self.folder.write, (encode(state), False))
            except OSError as error:
                self.counts["not_saved"] += 1
                self.log("agreement.not_saved", reason=str(error))
            gevent.sleep(SAVE_PAUSE_S)
