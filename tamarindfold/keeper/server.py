"""The keeper's network server: connects the consensus state machine to sockets, the clock and the disk.

Peers, instances and operators send POST requests. Each event is passed to the state machine
(`agreement.consensus`), and the actions that it returns are carried out in order: write to disk, send to a
peer, report the outcome of a proposal.
"""

from __future__ import annotations

import secrets
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event
from gevent.pool import Pool
from gevent.server import StreamServer
from msgspec.structs import replace

from tamarindfold.agreement import wire
from tamarindfold.agreement.consensus import (
    Action,
    Heartbeat,
    EntriesChosen,
    CatchUp,
    HeartbeatReply,
    Keeper,
    Outcome,
    KeeperMessage,
    Save,
    Send,
)
from tamarindfold.agreement.document import Document, check
from tamarindfold.agreement.lease import RenewRequest, RenewReply
from tamarindfold.agreement.log import Body, Dropped, Left, Newcomer, Proposed
from tamarindfold.agreement.reports import Report, Reports
from tamarindfold.agreement.state import PendingVersion, encode, summary
from tamarindfold.agreement.reconciler import Reconciler
from tamarindfold.config.addresses import split_address
from tamarindfold.config.load import load
from tamarindfold.ds.backoff import Backoff
from tamarindfold.http1 import write
from tamarindfold.http1.client import send_request
from tamarindfold.http1.requests import Request, RequestReader
from tamarindfold.http1.responses import ResponseReader
from tamarindfold.http1.serve import serve
from tamarindfold.identity.files import signing_key
from tamarindfold.keeper.config import KeeperConfig
from tamarindfold.keeper.disk import DiskWriteError, LogFile
from tamarindfold.links.link import Link
from tamarindfold.links.turns import FairSocket

TICK_S = 0.01
# After a longer stall of the event loop, silence of an instance no longer indicates that it is lost.
STALL_THRESHOLD_MS = 250.0
STATS_INTERVAL_S = 10.0
DISK_RETRY_S = 0.5  # between attempts to recover from a disk failure
MIN_RECONNECT_S = 0.02
MAX_RECONNECT_S = 0.5
CONNECT_TIMEOUT_S = 1.0
REPLY_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 60.0  # the peer of an idle connection may have vanished without closing it


def now_ms() -> float:
    """The keeper's monotonic clock."""
    return time.monotonic() * 1000


class PeerLink:
    """The outgoing connection to one other keeper.

    Messages are sent in order, in batches. Delivery is not guaranteed: messages are dropped if the queue is
    full or the connection is lost.
    """

    def __init__(self, keeper: KeeperServer, number: int, address: str) -> None:
        self.keeper, self.number = keeper, number
        self.queue: deque[KeeperMessage] = deque(maxlen=keeper.config.most_queued)
        self.message_queued = Event()
        self.link = Link(
            split_address(address, f"keepers[{number}]"),
            CONNECT_TIMEOUT_S,
            Backoff(MIN_RECONNECT_S, MAX_RECONNECT_S),
            keeper.config.source_address,
        )
        self.dropped = self.disconnects = 0

    def enqueue(self, message: KeeperMessage) -> None:
        """Queue a message for the next batch."""
        if len(self.queue) == self.queue.maxlen:
            self.dropped += 1
        # a newer heartbeat or heartbeat reply supersedes a queued one
        if isinstance(message, Heartbeat | HeartbeatReply):
            for i, queued in enumerate(self.queue):
                if type(queued) is type(message):
                    del self.queue[i]
                    break
        self.queue.append(message)
        self.message_queued.set()

    def _attach_reports(self, message: KeeperMessage) -> KeeperMessage:
        """Add the instances' reports to a heartbeat reply.

        This happens only when the message is sent, so that no report is lost with a superseded message.
        """
        return (
            replace(message, reports=self.keeper.reports.take_unsent(now_ms()))
            if isinstance(message, HeartbeatReply)
            else message
        )

    def run(self) -> None:
        """Keep the connection up and send what is queued, forever."""
        self.link.maintain(self._send_batches, self._on_disconnect)

    def _on_disconnect(self, reason: Exception | None) -> None:
        self.disconnects += 1
        self.queue.clear()  # outdated by the time of the next connection

    def _send_batches(self, sock: socket.socket) -> None:
        sock.settimeout(REPLY_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = ResponseReader(1 << 16)
        host = "{}:{}".format(*self.link.address)
        while True:
            self.message_queued.wait()
            self.message_queued.clear()
            if not self.queue:
                continue
            messages = tuple(map(self._attach_reports, self.queue))
            self.queue.clear()
            body = wire.pack(wire.MessageBatch(self.keeper.core.me, messages), self.keeper.key, "keeper")
            status, _ = send_request(FairSocket(sock), reader, "POST", "/v1/keeper", host, body)
            if status != 204:
                raise ValueError(f"keeper {self.number} answered {status}")
            self.link.backoff.reset()


class KeeperServer:
    """One keeper process: the consensus state machine with its disk, peers, clients and timers."""

    def __init__(self, config: KeeperConfig, log: Callable[..., None], trusted: bool = False) -> None:
        """Load key, initial settings and log file; OSError or ValueError if one of them can't be used.

        `trusted`: vote by this disk at once, without asking all other keepers first.
        """
        self.config, self.log = config, log
        self.key = signing_key(Path(config.key))
        self.initial_settings = (
            load(Path(config.first_settings), Document, check) if config.first_settings else None
        )
        self.public_key = self.key.public_key()
        self.disk = LogFile(Path(config.state_dir), config.log_bytes)
        self.core = self._load_core(trusted)
        self.reports = Reports()
        self.reconciler = Reconciler(self.reports)
        self.state_changed = Event()
        self.waiters: dict[int, AsyncResult] = {}
        self.last_ticket = 0
        self.disk_failed = False  # after a disk failure: nothing is sent until the keeper has recovered
        self.was_leader = False
        self.reconciler_ticket = 0
        port = split_address(config.keepers[config.me], "keepers")[1]
        self.server = StreamServer(
            (config.host, config.port or port), self._serve, backlog=1024, spawn=Pool(config.connections)
        )
        self.links = {
            k: PeerLink(self, k, address) for k, address in enumerate(config.keepers) if k != config.me
        }
        self.greenlets: list[gevent.Greenlet] = []
        self.handlers: dict[bytes, Callable[[bytes], tuple[int, bytes]]] = {
            b"/v1/keeper": self._handle_batch,
            b"/v1/renew": self._handle_renew,
            b"/v1/propose": self._handle_propose,
            b"/v1/command": self._handle_command,
            b"/v1/look": self._handle_status,
        }
        self.counts = dict.fromkeys(
            ("renewals", "proposals", "refused", "bad", "disk_failed", "stalls", "elected"), 0
        )

    def _load_core(self, trusted: bool) -> Keeper:
        recovered, truncated_bytes = self.disk.load()
        if truncated_bytes:
            self.log("keeper.log_cut", bytes=truncated_bytes)
        # a new nonce in each incarnation, so that replies to an earlier one are not accepted as current
        return Keeper(
            self.config.me, len(self.config.keepers), recovered, secrets.randbits(60), now_ms(), trusted
        )

    def start(self) -> str:
        """Start listening; returns "host:port". OSError if the port can't be bound."""
        self.server.start()
        self._carry_out(self.core.begin(now_ms()))
        self.greenlets = [gevent.spawn(link.run) for link in self.links.values()]
        self.greenlets += [gevent.spawn(self._run_timer), gevent.spawn(self._log_stats)]
        self.log(
            "keeper.listening",
            port=self.server.server_port,
            number=self.core.number,
            version=self.core.state.version,
        )
        return f"{self.server.server_host}:{self.server.server_port}"

    def stop(self) -> None:
        """Stop listening, end all tasks and close the log file."""
        self.server.close()
        gevent.killall(self.greenlets)
        self.disk.close()

    # ---- the consensus state machine

    def _carry_out(self, actions: list[Action]) -> None:
        """Carry out the actions of the state machine, in order."""
        if self.disk_failed:
            return
        try:
            for action in actions:
                match action:
                    case Save():
                        self.disk.write(action, self.core.state)
                    case Send(to, message):
                        self.links[to].enqueue(message)
                    case Outcome():
                        self._resolve(action)
                    case EntriesChosen():
                        self.log("keeper.chose", **summary(self.core.state))
                        self.state_changed.set()
                        self.state_changed.clear()
        except DiskWriteError as error:
            self._on_disk_failure(error)

    def _on_disk_failure(self, error: DiskWriteError) -> None:
        """Stop sending, since nothing can be made durable; reload from disk later, as after a restart."""
        self.disk_failed = True
        self.counts["disk_failed"] += 1
        self.log("keeper.disk_failed", reason=str(error))
        for ticket in list(self.waiters):
            self._resolve(Outcome(ticket, 0, "the disk failed", True))
        self.greenlets.append(gevent.spawn(self._recover_disk))

    def _recover_disk(self) -> None:
        while self.disk_failed:
            gevent.sleep(DISK_RETRY_S)
            try:
                self.disk.close()
                core = self._load_core(False)
                # a trial write: if it fails, so would the first write after the recovery
                self.disk.write(Save(core.promised, core.vote, ()), core.state)
            except OSError:
                continue
            self.core, self.disk_failed, self.was_leader = core, False, False
            self._carry_out(self.core.begin(now_ms()))
            self.log("keeper.disk_mended", number=core.number)

    def _resolve(self, outcome: Outcome) -> None:
        if outcome.ticket == self.reconciler_ticket:
            self.reconciler_ticket = 0
        if (result := self.waiters.pop(outcome.ticket, None)) is not None:
            result.set(outcome)

    def _run_timer(self) -> None:
        last_tick_at = now_ms()
        while True:
            gevent.sleep(TICK_S)
            now = now_ms()
            if self.disk_failed:
                continue
            if now - last_tick_at > STALL_THRESHOLD_MS:
                self.counts["stalls"] += 1
                self.log("keeper.stood_still", for_ms=round(now - last_tick_at))
                self.reconciler.reset_waits(now)
            last_tick_at = now
            self._carry_out(self.core.tick(now))
            self._drive_leader(now)

    def _drive_leader(self, now: float) -> None:
        """While this keeper leads, propose the entry that the reconciler finds due, one at a time."""
        if self.core.leads != self.was_leader:
            self.was_leader = self.core.leads
            if self.was_leader:
                self.counts["elected"] += 1
                self.reconciler.reset_waits(now)
                self.reconciler_ticket = 0
                self.log("keeper.leads", ballot=self.core.ballot[0], number=self.core.number)
        if self.was_leader and not self.reconciler_ticket and self.core.proposal is None:
            entry = self.reconciler.next_entry(now, self.core.state) or self._initial_proposal()
            if entry is not None:
                self.last_ticket += 1
                self.reconciler_ticket = self.last_ticket
                self._carry_out(self.core.submit(now, self.last_ticket, entry))

    def _initial_proposal(self) -> Body | None:
        """The configured initial settings, unless there are none or a version was proposed before."""
        if self.initial_settings is None or self.core.state.history:
            return None
        return Proposed(
            self.initial_settings,
            0,
            "keeper",
            f"first settings, {self.config.first_settings}",
            "first",
            time.time() * 1000,
        )

    def _submit(self, body: Body) -> Outcome:
        """Propose an entry and wait for the outcome, for at most `offer_ms`."""
        self.last_ticket += 1
        ticket, result = self.last_ticket, AsyncResult()
        self.waiters[ticket] = result
        self._carry_out(self.core.submit(now_ms(), ticket, body))
        outcome = result.wait(self.config.offer_ms / 1000)
        self.waiters.pop(ticket, None)
        return outcome if outcome is not None else Outcome(ticket, 0, "no majority in time", True)

    def _log_stats(self) -> None:
        while True:
            gevent.sleep(STATS_INTERVAL_S)
            state = self.core.state
            self.reports.expire(now_ms(), state.members.keys() | state.held.keys())
            self.log(
                "keeper.counts",
                **self.counts,
                **summary(self.core.state),
                leads=self.core.leads,
                proven=self.core.recovered,
                log_bytes=self.disk.size,
                saves=self.disk.saves,
                reports=len(self.reports.known),
                reports_dropped=self.reports.dropped,
                dropped=sum(link.dropped for link in self.links.values()),
            )

    # ---- requests

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        try:
            sock.settimeout(IDLE_TIMEOUT_S)
            serve(FairSocket(sock), RequestReader(16_384, 100, wire.BODY_BYTES), self._response)
        finally:
            sock.close()

    def _response(self, request: Request) -> bytes:
        status, body = self._dispatch(request)
        content_type = (b"content-type", b"application/x-protobuf")
        return write.response(status, [content_type], body, request.keep_alive)

    def _dispatch(self, request: Request) -> tuple[int, bytes]:
        if self.disk_failed:
            return 503, b"the disk failed"
        handler = self.handlers.get(request.target)
        if handler is None or request.method != "POST":
            return 404, b"POST " + b", ".join(self.handlers)
        try:
            return handler(request.body)
        except ValueError as error:
            self.counts["bad"] += 1
            return 400, str(error).encode()

    def _handle_batch(self, body: bytes) -> tuple[int, bytes]:
        batch = wire.unpack(body, wire.MessageBatch, self.public_key, "keeper")
        if batch.sender not in self.links:
            raise ValueError(f"there is no other keeper {batch.sender}")
        now = now_ms()
        for message in batch.messages:
            if isinstance(message, HeartbeatReply):
                self.reports.merge(now, message.reports)
            self._carry_out(self.core.receive(now, batch.sender, message))
        return 204, b""

    def _handle_renew(self, body: bytes) -> tuple[int, bytes]:
        request = wire.unpack_unsigned(body, RenewRequest)
        if not self.core.recovered:
            return 503, b"this keeper has just started"
        self.counts["renewals"] += 1
        self._record_report(request)
        # Long poll: wait only while there are no updates for the instance.
        if (
            request.number == self.core.number
            and request.wait_ms > 0
            and self.core.certain
            and request.intent == "stay"
        ):
            self.state_changed.wait(min(request.wait_ms, self.config.most_wait_ms) / 1000)
        if self.disk_failed or not self.core.recovered:
            return 503, b"this keeper has just started"
        return 200, wire.pack(self._renew_reply(request), self.key, "renewed")

    def _record_report(self, request: RenewRequest) -> None:
        if request.incarnation:
            self.reports.record(
                now_ms(),
                Report(
                    request.incarnation,
                    request.name,
                    request.number,
                    request.ready_version,
                    request.apply_error,
                    request.intent,
                    request.replaces,
                    request.zone,
                    request.lease_remaining_ms,
                ),
            )

    def _renew_reply(self, request: RenewRequest) -> RenewReply:
        core, state = self.core, self.core.state
        diverged = self._is_diverged(request)
        is_member = request.incarnation in state.members
        join_error = (
            ""
            if is_member or not request.incarnation
            else state.join_error(Newcomer(request.name, request.incarnation, request.replaces, request.zone))
        )
        updates = (
            CatchUp(()) if diverged or request.number >= core.number else core.catch_up_since(request.number)
        )
        return RenewReply(
            request.sent, core.number, core.certain and not diverged, is_member, diverged, join_error, updates
        )

    def _is_diverged(self, request: RenewRequest) -> bool:
        """Whether the instance's history is known to differ from this keeper's log."""
        core = self.core
        if request.number == core.number:
            return request.chain != core.state.chain
        if core.snapshot_number < request.number < core.number:
            return request.chain != core.entries[request.number - core.snapshot_number].previous_chain
        return False

    def _operator_reply(self, version: int, reason: str = "", retry: bool = False) -> tuple[int, bytes]:
        return 200, wire.pack(wire.OperatorReply(version, reason, self.core.leader, retry), self.key, "told")

    def _handle_propose(self, body: bytes) -> tuple[int, bytes]:
        request = wire.unpack(body, wire.Proposal, self.public_key, "propose")
        self.counts["proposals"] += 1
        if version := self._version_of(request.token):
            return self._operator_reply(version)
        outcome = self._submit(
            Proposed(
                request.document,
                request.base,
                request.author,
                request.reason,
                request.token,
                time.time() * 1000,
                request.canaries,
            )
        )
        # A retry may have lost to its own first transmission, which has been chosen meanwhile.
        if version := self._version_of(request.token):
            return self._operator_reply(version)
        self.counts["refused"] += 1
        return self._operator_reply(0, outcome.reason, outcome.unknown)

    def _version_of(self, token: str) -> int:
        """The version that was proposed with this token; 0 if there is none."""
        return next((r.version for r in reversed(self.core.state.history) if r.token == token), 0)

    def _handle_command(self, body: bytes) -> tuple[int, bytes]:
        request = wire.unpack(body, wire.OperatorCommand, self.public_key, "command")
        state = self.core.state
        if not self.core.leads:
            return self._operator_reply(0, "not the leader", True)
        self.log(
            "keeper.command",
            what=request.action,
            version=request.version,
            name=request.name,
            by=request.author,
        )
        if (
            request.action == "force"
            and state.dropped is not None
            and state.dropped.version == request.version
        ):
            return self._force_dropped(request, state.dropped)
        if request.action in ("force", "widen", "drop"):
            if not state.queue or state.queue[0].version != request.version:
                return self._operator_reply(0, f"version {request.version} is not the next in line")
            if request.action == "drop":
                if state.phase:
                    return self._operator_reply(0, "some act on it already: propose the old settings anew")
                return self._outcome_reply(
                    self._submit(Dropped(request.version, (f"taken back by {request.author}",))),
                    request.version,
                )
            (self.reconciler.forced if request.action == "force" else self.reconciler.widened).add(
                request.version
            )
            return self._operator_reply(request.version)
        if request.action == "retire":
            incarnations = tuple(i for i, held in state.held.items() if held.name == request.name)
            if not incarnations:
                return self._operator_reply(0, f"no instance {request.name} is away with a share")
            return self._outcome_reply(self._submit(Left(incarnations)), state.version)
        raise ValueError(f"no command {request.action!r}")

    def _outcome_reply(self, outcome: Outcome, version: int) -> tuple[int, bytes]:
        """The reply for a submission: this version, if the entry was chosen."""
        return self._operator_reply(version if outcome.number else 0, outcome.reason, outcome.unknown)

    def _force_dropped(self, request: wire.OperatorCommand, dropped: PendingVersion) -> tuple[int, bytes]:
        """Propose a version that instances rejected again, as a new one that needs no consent; idempotent."""
        token = f"force {request.version}"
        if not self._version_of(token):
            outcome = self._submit(
                Proposed(
                    dropped.document,
                    self.core.state.newest,
                    request.author,
                    f"version {request.version} forced",
                    token,
                    time.time() * 1000,
                    forced=True,
                )
            )
            if not outcome.number:
                return self._outcome_reply(outcome, 0)
        return self._operator_reply(self._version_of(token))

    def _handle_status(self, body: bytes) -> tuple[int, bytes]:
        now, core = now_ms(), self.core
        reports = self.reports.with_ages(now, self.reports.known)
        status = wire.KeeperStatus(
            core.me,
            core.leader,
            core.recovered,
            core.certain,
            encode(core.state),
            tuple(reports),
            self.reconciler.waits_for(now, core.state) if core.leads else "",
        )
        return 200, wire.pack(status, self.key, "look")
