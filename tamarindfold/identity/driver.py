"""Follows the registry by HTTP long polls, keeps a saved copy of its data, and resolves credentials."""

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
from tamarindfold.identity import resolve, saved_copy
from tamarindfold.identity.confirm import Confirmations, ReleaseWaiters, SendQuery
from tamarindfold.identity.follower import Applied, Follower, Rejected
from tamarindfold.identity.model import PlanRow
from tamarindfold.identity.resolve import Denied, ResolvedCredential
from tamarindfold.identity.wire import BadUpdate, decode_update
from tamarindfold.links.subscription import Subscription
from tamarindfold.links.link import Link
from tamarindfold.links.turns import FairSocket

MAX_UPDATE_BYTES = 512 << 20
HOST_HEADER = "registry"
CONNECT_TIMEOUT_S = 2.0
CONFIRM_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 5.0  # on top of the waiting time of a long poll
THREAD_THRESHOLD_BYTES = 1 << 18  # a larger update is decoded in a thread, to not block requests
USE_REPORT_INTERVAL_S = 5.0
MAX_PENDING_USES = 20_000  # pairs of credential and network between two reports
REGISTRY_UNAVAILABLE = Denied("the registry's data are not here yet")


class RegistryClient:
    """One instance's client of the registry; usable without it from the data last received or saved."""

    def __init__(
        self,
        registry: tuple[str, int],
        key: Ed25519PublicKey,
        pepper: bytes,
        copy_path: Path | None,
        skew_ms: float,
        wait_ms: float,
        reconnect_ms: float,
        source_address: str,
        clock: Callable[[], float],
        on_plans: Callable[[list[PlanRow]], None],
        log: Callable[..., None],
    ) -> None:
        self.registry, self.key, self.pepper, self.copy_path = registry, key, pepper, copy_path
        self.skew_ms, self.wait_ms, self.reconnect_s = skew_ms, wait_ms, reconnect_ms / 1000
        self.source = (source_address, 0) if source_address else None
        self.clock, self.on_plans, self.log = clock, on_plans, log
        self.follower = Follower()
        self.subscription = Subscription(
            Link(registry, CONNECT_TIMEOUT_S, Backoff(self.reconnect_s, self.reconnect_s), source_address),
            self._poll,
            self._connection_lost,
        )
        self.reported_plan_count = 0
        self.applied_at_ms = 0.0
        self.uses: dict[tuple[int, str], list[float]] = {}  # id, network: first, last, requests
        self.counts = dict.fromkeys(("applied", "snapshots", "rejected", "lost", "uses_dropped"), 0)
        self.greenlets: list[gevent.Greenlet] = []
        self.confirmations = Confirmations()
        self.rounds: dict[int, AsyncResult] = {}

    # ---- resolving credentials

    @property
    def ready(self) -> bool:
        """Whether any data were received or loaded."""
        return self.follower.tables is not None

    @property
    def version(self) -> int:
        """The version of the data held; 0: none."""
        return self.follower.tables.version if self.follower.tables else 0

    def resolve_confirmed(
        self, look_up: Callable[[], ResolvedCredential | Denied], deadline_ms: float
    ) -> ResolvedCredential | Denied:
        """Look up a credential; where it is unknown, query the registry for newer data and look it up again.

        REGISTRY_UNAVAILABLE where the registry does not answer before `deadline_ms`: whether the credential
        is valid can't be determined then, which is not a refusal.
        """
        found = look_up()
        if not isinstance(found, Denied) or not found.unknown:
            return found
        return look_up() if self._confirm(deadline_ms) else REGISTRY_UNAVAILABLE

    def _confirm(self, deadline_ms: float) -> bool:
        """Wait for a query that starts after this call; return whether it was answered in time."""
        round_number, actions = self.confirmations.join_round()
        result = self.rounds.setdefault(round_number, AsyncResult())
        self._execute(actions)
        if result.wait(max(0.0, deadline_ms - self.clock()) / 1000) is None:
            return False
        succeeded: bool = result.get()
        return succeeded

    def _execute(self, actions: Sequence[SendQuery | ReleaseWaiters]) -> None:
        for action in actions:
            if isinstance(action, SendQuery):
                gevent.spawn(self._query)
            elif (result := self.rounds.pop(action.round, None)) is not None:
                result.set(action.succeeded)

    def _query(self) -> None:
        """Fetch all changes up to now, on a separate connection, since the long poll's is busy waiting."""
        succeeded = False
        try:
            with (
                gevent.Timeout(CONFIRM_TIMEOUT_S),
                socket.create_connection(self.registry, CONNECT_TIMEOUT_S, self.source) as sock,
            ):
                status, body = send_request(
                    FairSocket(sock), ResponseReader(MAX_UPDATE_BYTES), "GET", self._target(0.0), HOST_HEADER
                )
            succeeded = status == 200 and self._apply(body)
        except (OSError, BadResponse, gevent.Timeout) as error:
            self.log("identity.not_confirmed", reason=str(error) or type(error).__name__)
        self._execute(self.confirmations.answered(succeeded))

    def by_key(self, text: str) -> ResolvedCredential | Denied:
        """Resolve an API key as of now."""
        if (tables := self.follower.tables) is None:
            return REGISTRY_UNAVAILABLE
        return resolve.by_key(tables, text, self.pepper, self.clock(), self.skew_ms)

    def by_client(self, client_id: str) -> ResolvedCredential | Denied:
        """Resolve an OAuth client as of now."""
        if (tables := self.follower.tables) is None:
            return REGISTRY_UNAVAILABLE
        return resolve.by_client(tables, client_id, self.clock(), self.skew_ms)

    def is_still_valid(self, resolved: ResolvedCredential) -> bool:
        """Whether a credential that was resolved a moment ago is still valid."""
        tables = self.follower.tables
        return tables is not None and resolve.is_still_valid(tables, resolved, self.clock(), self.skew_ms)

    def record_use(self, resolved: ResolvedCredential, address: str) -> None:
        """Record a use for the audit, by network (the first three bytes of an IPv4 address)."""
        network = f"{address.rpartition('.')[0]}.0/24"
        now = self.clock()
        if (use := self.uses.get((resolved.credential_id, network))) is not None:
            use[1] = now
            use[2] += 1
        elif len(self.uses) < MAX_PENDING_USES:
            self.uses[resolved.credential_id, network] = [now, now, 1]
        else:
            self.counts["uses_dropped"] += 1

    # ---- following the registry

    def start(self) -> None:
        """Load the saved copy, then follow the registry."""
        if self.copy_path is not None and (fault := saved_copy.load(self.copy_path, self.key, self.follower)):
            self.log("identity.copy_faulty", path=str(self.copy_path), reason=fault, version=self.version)
            self.follower.want_snapshot = True
        self._report_new_plans()
        self.subscription.start()
        self.greenlets = [gevent.spawn(self._report_uses)]

    def stop(self) -> None:
        """Stop following and reporting."""
        self.subscription.stop()
        gevent.killall(self.greenlets)

    def _connection_lost(self, reason: Exception | None) -> None:
        self.counts["lost"] += 1
        self.log(
            "identity.registry_lost",
            reason=str(reason or "closed"),
            version=self.version,
            stale_ms=round(self.follower.stale_ms(self.clock())),
        )

    def _poll(self, sock: socket.socket) -> None:
        """Send long polls until the connection can't be reused."""
        reader = ResponseReader(MAX_UPDATE_BYTES)
        sock.settimeout(self.wait_ms / 1000 + RESPONSE_TIMEOUT_S)
        fair_sock = FairSocket(sock)
        while True:
            status, body = send_request(fair_sock, reader, "GET", self._target(self.wait_ms), HOST_HEADER)
            if status != 200:
                raise BadResponse(f"status {status}")
            if self._apply(body):
                self.subscription.message_received()
            else:
                gevent.sleep(self.reconnect_s)  # nothing usable at present: poll at a lower rate
            if not reader.reusable:
                return

    def _target(self, wait_ms: float) -> str:
        request = self.follower.next_request()
        return (
            f"/v1/updates?epoch={request.epoch}&after={request.after}&chain={request.chain:x}"
            f"&whole={int(request.want_snapshot)}&wait_ms={wait_ms:.0f}"
        )

    def _apply(self, envelope: bytes) -> bool:
        """Verify and apply an update; return False where it is invalid or the registry was rolled back."""
        try:
            if len(envelope) > THREAD_THRESHOLD_BYTES:
                body, made_at = gevent.get_hub().threadpool.apply(decode_update, (envelope, self.key))
            else:
                body, made_at = decode_update(envelope, self.key)
        except BadUpdate as error:
            self.counts["rejected"] += 1
            self.log("identity.update_rejected", reason=str(error))
            return False
        result = self.follower.apply_update(body, made_at)
        if isinstance(result, Rejected):
            self.counts["rejected"] += 1
            self.log(
                "identity.registry_went_back" if result.rolled_back else "identity.update_rejected",
                reason=result.reason,
            )
            return not result.rolled_back
        if isinstance(result, Applied):
            self.counts["applied"] += 1
            self.counts["snapshots"] += result.is_snapshot
            self.applied_at_ms = self.clock()
            self._report_new_plans()
            self._save(envelope, result.is_snapshot)
            self.log(
                "identity.applied",
                version=result.version,
                whole=result.is_snapshot,
                made_at_ms=round(made_at, 3),
                took_ms=round(self.applied_at_ms - made_at, 3),
            )
        return True

    def _report_new_plans(self) -> None:
        tables = self.follower.tables
        if tables is not None and len(tables.plans) != self.reported_plan_count:
            self.reported_plan_count = len(tables.plans)
            self.on_plans(tables.plans)

    def _save(self, envelope: bytes, is_snapshot: bool) -> None:
        if self.copy_path is None:
            return
        try:
            saved_copy.save(self.copy_path, envelope, is_snapshot)
        except OSError as error:
            self.log("identity.copy_not_saved", path=str(self.copy_path), reason=str(error))

    # ---- reporting uses

    def _report_uses(self) -> None:
        while True:
            gevent.sleep(USE_REPORT_INTERVAL_S)
            if not self.uses:
                continue
            uses, self.uses = self.uses, {}
            body = msgspec.json.encode(
                [
                    [credential_id, network, first, last, int(count)]
                    for (credential_id, network), (first, last, count) in uses.items()
                ]
            )
            try:
                with socket.create_connection(self.registry, CONNECT_TIMEOUT_S, self.source) as sock:
                    sock.settimeout(RESPONSE_TIMEOUT_S)
                    status, _ = send_request(
                        sock, ResponseReader(1 << 16), "POST", "/v1/use", HOST_HEADER, body
                    )
                if status != 200:
                    self.log("identity.use_not_reported", reason=f"status {status}")
            except (OSError, BadResponse) as error:
                self.log("identity.use_not_reported", reason=str(error))
