"""Follows the registry over HTTP (long poll), keeps a durable copy, and answers whose a credential is."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

import gevent
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey
from gevent import socket
from gevent.event import AsyncResult

from tamarindfold.ds.backoff import Backoff
from tamarindfold.http1.client import send_request
from tamarindfold.http1.responses import BadResponse, ResponseReader
from tamarindfold.identity import copy, resolve
from tamarindfold.identity.confirm import Confirmations, Put, Release
from tamarindfold.identity.follower import Applied, Follower, Rejected
from tamarindfold.identity.model import PlanRow
from tamarindfold.identity.resolve import Denied, Known
from tamarindfold.identity.wire import BadUpdate, read
from tamarindfold.links.subscription import Subscription
from tamarindfold.links.link import Link

UPDATE_BYTES = 512 << 20
HOST = "registry"
CONNECT_S = 2.0
CONFIRM_S = 2.0
LATE_S = 5.0  # beyond the long poll's own time
THREAD_BYTES = 1 << 18  # a larger update is checked in a thread, so that requests go on meanwhile
USE_EVERY_S = 5.0
MOST_USES = 20_000  # credentials and networks noted between two reports
NOT_KNOWN = Denied("the registry's data are not here yet")


class Identity:
    """The registry as one instance sees it."""

    def __init__(
        self,
        registry: tuple[str, int],
        key: Ed25519PublicKey,
        pepper: bytes,
        saved_at: Path | None,
        skew_ms: float,
        wait_ms: float,
        reconnect_ms: float,
        source_address: str,
        clock: Callable[[], float],
        plans: Callable[[list[PlanRow]], None],
        log: Callable[..., None],
    ) -> None:
        self.registry, self.key, self.pepper, self.saved_at = registry, key, pepper, saved_at
        self.skew_ms, self.wait_ms, self.reconnect_s = skew_ms, wait_ms, reconnect_ms / 1000
        self.source = (source_address, 0) if source_address else None
        self.clock, self.tell_plans, self.log = clock, plans, log
        self.follower = Follower()
        self.news = Subscription(
            Link(registry, CONNECT_S, Backoff(self.reconnect_s, self.reconnect_s), source_address),
            self._read,
            self._lost,
        )
        self.plans_told = 0
        self.applied_at_ms = 0.0
        self.uses: dict[tuple[int, str], list[float]] = {}
        self.counts = dict.fromkeys(("applied", "snapshots", "rejected", "lost", "uses_dropped"), 0)
        self.greenlets: list[gevent.Greenlet] = []
        self.confirmations = Confirmations()
        self.rounds: dict[int, AsyncResult] = {}

    # ---- answers

    @property
    def ready(self) -> bool:
        """Whether anything is known at all."""
        return self.follower.tables is not None

    @property
    def version(self) -> int:
        """The version in force."""
        return self.follower.tables.version if self.follower.tables else 0

    def sure(self, look: Callable[[], Known | Denied], give_up_ms: float) -> Known | Denied:
        """What is found; where that is nothing, what is found once the registry has said that this is all.

        NOT_KNOWN where the registry says nothing in time: whose it is cannot be told, which is no refusal.
        """
        found = look()
        if not isinstance(found, Denied) or not found.unknown:
            return found
        return look() if self._confirm(give_up_ms) else NOT_KNOWN

    def _confirm(self, give_up_ms: float) -> bool:
        number, actions = self.confirmations.wait()
        result = self.rounds.setdefault(number, AsyncResult())
        self._act(actions)
        if result.wait(max(0.0, give_up_ms - self.clock()) / 1000) is None:
            return False
        good: bool = result.get()
        return good

    def _act(self, actions: Sequence[Put | Release]) -> None:
        for action in actions:
            if isinstance(action, Put):
                gevent.spawn(self._put)
            elif (result := self.rounds.pop(action.round, None)) is not None:
                result.set(action.good)

    def _put(self) -> None:
        """Ask for all there is up to now, on a connection of its own: the long poll's is waiting."""
        good = False
        try:
            with (
                gevent.Timeout(CONFIRM_S),
                socket.create_connection(self.registry, CONNECT_S, self.source) as sock,
            ):
                status, body = send_request(
                    sock, ResponseReader(UPDATE_BYTES), "GET", self._target(0.0), HOST
                )
            good = status == 200 and self._take(body)
        except (OSError, BadResponse, gevent.Timeout) as error:
            self.log("identity.not_confirmed", reason=str(error) or type(error).__name__)
        self._act(self.confirmations.answered(good))

    def by_key(self, text: str) -> Known | Denied:
        """Whose an API key is now."""
        if (tables := self.follower.tables) is None:
            return NOT_KNOWN
        return resolve.by_key(tables, text, self.pepper, self.clock(), self.skew_ms)

    def by_client(self, client_id: str) -> Known | Denied:
        """Whose an OAuth client is now."""
        if (tables := self.follower.tables) is None:
            return NOT_KNOWN
        return resolve.by_client(tables, client_id, self.clock(), self.skew_ms)

    def still(self, known: Known) -> bool:
        """Whether what opened the door a moment ago does so still."""
        tables = self.follower.tables
        return tables is not None and resolve.again(tables, known, self.clock(), self.skew_ms)

    def used(self, known: Known, address: str) -> None:
        """Note a use for the audit, by network (the first three bytes of an IPv4 address)."""
        network = f"{address.rpartition('.')[0]}.0/24"
        now = self.clock()
        if (use := self.uses.get((known.credential, network))) is not None:
            use[1] = now
            use[2] += 1
        elif len(self.uses) < MOST_USES:
            self.uses[known.credential, network] = [now, now, 1]
        else:
            self.counts["uses_dropped"] += 1

    # ---- following

    def start(self) -> None:
        """Take the durable copy, then follow the registry."""
        if self.saved_at is not None and (fault := copy.load(self.saved_at, self.key, self.follower)):
            self.log("identity.copy_faulty", path=str(self.saved_at), reason=fault, version=self.version)
            self.follower.want_snapshot = True
        self._tell_plans()
        self.news.start()
        self.greenlets = [gevent.spawn(self._report)]

    def stop(self) -> None:
        """End the greenlets."""
        self.news.stop()
        gevent.killall(self.greenlets)

    def _lost(self, reason: Exception | None) -> None:
        self.counts["lost"] += 1
        self.log(
            "identity.registry_lost",
            reason=str(reason or "closed"),
            version=self.version,
            stale_ms=round(self.follower.stale_ms(self.clock())),
        )

    def _read(self, sock: socket.socket) -> None:
        """Ask by long polls until the connection is of no use."""
        reader = ResponseReader(UPDATE_BYTES)
        sock.settimeout(self.wait_ms / 1000 + LATE_S)
        while True:
            status, body = send_request(sock, reader, "GET", self._target(self.wait_ms), HOST)
            if status != 200:
                raise BadResponse(f"status {status}")
            if self._take(body):
                self.news.message_received()
            else:
                gevent.sleep(self.reconnect_s)  # of no use now: no hurry to hear it again
            if not reader.reusable:
                return

    def _target(self, wait_ms: float) -> str:
        want = self.follower.ask()
        return (
            f"/v1/updates?epoch={want.epoch}&after={want.after}&chain={want.chain:x}"
            f"&whole={int(want.whole)}&wait_ms={wait_ms:.0f}"
        )

    def _take(self, envelope: bytes) -> bool:
        """Use an update; whether it was of use."""
        try:
            if len(envelope) > THREAD_BYTES:
                body, made_at = gevent.get_hub().threadpool.apply(read, (envelope, self.key))
            else:
                body, made_at = read(envelope, self.key)
        except BadUpdate as error:
            self.counts["rejected"] += 1
            self.log("identity.update_rejected", reason=str(error))
            return False
        result = self.follower.take(body, made_at)
        if isinstance(result, Rejected):
            self.counts["rejected"] += 1
            self.log(
                "identity.registry_went_back" if result.went_back else "identity.update_rejected",
                reason=result.reason,
            )
            return not result.went_back
        if isinstance(result, Applied):
            self.counts["applied"] += 1
            self.counts["snapshots"] += result.whole
            self.applied_at_ms = self.clock()
            self._tell_plans()
            self._save(envelope, result.whole)
            self.log(
                "identity.applied",
                version=result.version,
                whole=result.whole,
                made_at_ms=round(made_at, 3),
                took_ms=round(self.applied_at_ms - made_at, 3),
            )
        return True

    def _tell_plans(self) -> None:
        tables = self.follower.tables
        if tables is not None and len(tables.plans) != self.plans_told:
            self.plans_told = len(tables.plans)
            self.tell_plans(tables.plans)

    def _save(self, envelope: bytes, whole: bool) -> None:
        if self.saved_at is None:
            return
        try:
            copy.save(self.saved_at, envelope, whole)
        except OSError as error:
            self.log("identity.copy_not_saved", path=str(self.saved_at), reason=str(error))

    # ---- what was used

    def _report(self) -> None:
        while True:
            gevent.sleep(USE_EVERY_S)
            if not self.uses:
                continue
            uses, self.uses = self.uses, {}
            body = msgspec.json.encode(
                [
                    [name, network, first, last, int(count)]
                    for (name, network), (first, last, count) in uses.items()
                ]
            )
            try:
                with socket.create_connection(self.registry, CONNECT_S, self.source) as sock:
                    sock.settimeout(LATE_S)
                    status, _ = send_request(sock, ResponseReader(1 << 16), "POST", "/v1/use", HOST, body)
                if status != 200:
                    self.log("identity.use_not_reported", reason=f"status {status}")
            except (OSError, BadResponse) as error:
                self.log("identity.use_not_reported", reason=str(error))
