"""One keeper on its sockets: what others say goes to the consensus object, what that says goes out."""

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
from tamarindfold.keeper.disk import DiskFailed, LogFile
from tamarindfold.links.link import Link

TICK_S = 0.01
STILL_MS = 250.0  # the loop did not turn for so long: what was heard before tells nothing of who is alive
TELL_EVERY_S = 10.0
DISK_AGAIN_S = 0.5  # after a disk that failed, the keeper begins anew from it, and is silent until it can
LEAST_PAUSE_S, MOST_PAUSE_S = 0.02, 0.5
CONNECT_S, ANSWER_S = 1.0, 1.0
IDLE_S = 60.0  # a connection on which nobody asks for so long ends: its other end may be gone without a word


def now_ms() -> float:
    """The keeper's clock: monotonic."""
    return time.monotonic() * 1000


class PeerLink:
    """What is said to one other keeper, in order, a batch at a time; what does not arrive is lost."""

    def __init__(self, keeper: KeeperServer, number: int, address: str) -> None:
        self.keeper, self.number = keeper, number
        self.queue: deque[KeeperMessage] = deque(maxlen=keeper.config.most_queued)
        self.more = Event()
        self.link = Link(
            split_address(address, f"keepers[{number}]"),
            CONNECT_S,
            Backoff(LEAST_PAUSE_S, MOST_PAUSE_S),
            keeper.config.source_address,
        )
        self.dropped = self.lost = 0

    def say(self, what: KeeperMessage) -> None:
        """Send it with the next batch."""
        if len(self.queue) == self.queue.maxlen:
            self.dropped += 1
        if isinstance(what, Heartbeat | HeartbeatReply):  # an older one says nothing that this does not
            for i, waiting in enumerate(self.queue):
                if type(waiting) is type(what):
                    del self.queue[i]
                    break
        self.queue.append(what)
        self.more.set()

    def _with_news(self, what: KeeperMessage) -> KeeperMessage:
        """What instances said goes with the answer to a beat as it leaves: none is replaced unsent."""
        return (
            replace(what, reports=self.keeper.reports.take_unsent(now_ms()))
            if isinstance(what, HeartbeatReply)
            else what
        )

    def run(self) -> None:
        """For ever."""
        self.link.maintain(self._talk, self._lost)

    def _lost(self, reason: Exception | None) -> None:
        self.lost += 1
        self.queue.clear()  # old by the time that there is a link again

    def _talk(self, sock: socket.socket) -> None:
        sock.settimeout(ANSWER_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = ResponseReader(1 << 16)
        host = "{}:{}".format(*self.link.address)
        while True:
            self.more.wait()
            self.more.clear()
            if not self.queue:
                continue
            said = tuple(map(self._with_news, self.queue))
            self.queue.clear()
            body = wire.pack(wire.MessageBatch(self.keeper.core.me, said), self.keeper.key, "keeper")
            status, _ = send_request(sock, reader, "POST", "/v1/keeper", host, body)
            if status != 204:
                raise ValueError(f"keeper {self.number} answered {status}")
            self.link.backoff.reset()


class KeeperServer:
    """A running keeper."""

    def __init__(self, config: KeeperConfig, log: Callable[..., None], trusted: bool = False) -> None:
        """OSError or ValueError where its folder or its key can't be used."""
        self.config, self.log = config, log
        self.key = signing_key(Path(config.key))
        self.first = load(Path(config.first_settings), Document, check) if config.first_settings else None
        self.public = self.key.public_key()
        self.disk = LogFile(Path(config.state_dir), config.log_bytes)
        self.core = self._begin(trusted)
        self.reports = Reports()
        self.steward = Reconciler(self.reports)
        self.changed = Event()
        self.tickets: dict[int, AsyncResult] = {}
        self.ticket = 0
        self.broken = False  # the disk failed: nothing is said until the keeper has begun anew
        self.led = False
        self.stewards_ticket = 0
        port = split_address(config.keepers[config.me], "keepers")[1]
        self.server = StreamServer(
            (config.host, config.port or port), self._serve, backlog=1024, spawn=Pool(config.connections)
        )
        self.links = {
            k: PeerLink(self, k, address) for k, address in enumerate(config.keepers) if k != config.me
        }
        self.greenlets: list[gevent.Greenlet] = []
        self.handlers: dict[bytes, Callable[[bytes], tuple[int, bytes]]] = {
            b"/v1/keeper": self._heard,
            b"/v1/renew": self._renew,
            b"/v1/propose": self._propose,
            b"/v1/command": self._command,
            b"/v1/look": self._look,
        }
        self.counts = dict.fromkeys(
            ("renewals", "proposals", "refused", "bad", "disk_failed", "stalls", "elected"), 0
        )

    def _begin(self, trusted: bool) -> Keeper:
        found, torn = self.disk.load()
        if torn:
            self.log("keeper.log_cut", bytes=torn)
        # another nonce in each life: answers to an earlier one prove nothing
        return Keeper(
            self.config.me, len(self.config.keepers), found, secrets.randbits(60), now_ms(), trusted
        )

    def start(self) -> str:
        """Open the port; where it is. OSError where it can't be had."""
        self.server.start()
        self._do(self.core.begin(now_ms()))
        self.greenlets = [gevent.spawn(link.run) for link in self.links.values()]
        self.greenlets += [gevent.spawn(self._tick), gevent.spawn(self._tell)]
        self.log(
            "keeper.listening",
            port=self.server.server_port,
            number=self.core.number,
            version=self.core.state.version,
        )
        return f"{self.server.server_host}:{self.server.server_port}"

    def stop(self) -> None:
        """Close everything."""
        self.server.close()
        gevent.killall(self.greenlets)
        self.disk.close()

    # ---- the consensus object

    def _do(self, actions: list[Action]) -> None:
        """Carry out what it says, in order."""
        if self.broken:
            return
        try:
            for action in actions:
                match action:
                    case Save():
                        self.disk.write(action, self.core.state)
                    case Send(to, what):
                        self.links[to].say(what)
                    case Outcome():
                        self._settle(action)
                    case EntriesChosen():
                        self.log("keeper.chose", **summary(self.core.state))
                        self.changed.set()
                        self.changed.clear()
        except DiskFailed as error:
            self._disk_failed(error)

    def _disk_failed(self, error: DiskFailed) -> None:
        """Guards against saying what is not on disk: silent, then begun anew as if just started."""
        self.broken = True
        self.counts["disk_failed"] += 1
        self.log("keeper.disk_failed", reason=str(error))
        for ticket in list(self.tickets):
            self._settle(Outcome(ticket, 0, "the disk failed", True))
        self.greenlets.append(gevent.spawn(self._mend))

    def _mend(self) -> None:
        while self.broken:
            gevent.sleep(DISK_AGAIN_S)
            try:
                self.disk.close()
                core = self._begin(False)
                # what can't be written now would fail again at once
                self.disk.write(Save(core.promised, core.vote, ()), core.state)
            except OSError:
                continue
            self.core, self.broken, self.led = core, False, False
            self._do(self.core.begin(now_ms()))
            self.log("keeper.disk_mended", number=core.number)

    def _settle(self, outcome: Outcome) -> None:
        if outcome.ticket == self.stewards_ticket:
            self.stewards_ticket = 0
        if (waiting := self.tickets.pop(outcome.ticket, None)) is not None:
            waiting.set(outcome)

    def _tick(self) -> None:
        last = now_ms()
        while True:
            gevent.sleep(TICK_S)
            now = now_ms()
            if self.broken:
                continue
            if now - last > STILL_MS:
                self.counts["stalls"] += 1
                self.log("keeper.stood_still", for_ms=round(now - last))
                self.steward.reset_waits(now)
            last = now
            self._do(self.core.tick(now))
            self._steer(now)

    def _steer(self, now: float) -> None:
        """While this keeper leads: write what is due."""
        if self.core.leads != self.led:
            self.led = self.core.leads
            if self.led:
                self.counts["elected"] += 1
                self.steward.reset_waits(now)
                self.stewards_ticket = 0
                self.log("keeper.leads", ballot=self.core.ballot[0], number=self.core.number)
        if self.led and not self.stewards_ticket and self.core.proposal is None:
            due = self.steward.next_entry(now, self.core.state) or self._first()
            if due is not None:
                self.ticket += 1
                self.stewards_ticket = self.ticket
                self._do(self.core.submit(now, self.ticket, due))

    def _first(self) -> Body | None:
        """The first settings of all, where the file names some and no version was ever proposed."""
        if self.first is None or self.core.state.history:
            return None
        return Proposed(
            self.first,
            0,
            "keeper",
            f"first settings, {self.config.first_settings}",
            "first",
            time.time() * 1000,
        )

    def _offer(self, body: Body) -> Outcome:
        self.ticket += 1
        ticket, waiting = self.ticket, AsyncResult()
        self.tickets[ticket] = waiting
        self._do(self.core.submit(now_ms(), ticket, body))
        outcome = waiting.wait(self.config.offer_ms / 1000)
        self.tickets.pop(ticket, None)
        return outcome if outcome is not None else Outcome(ticket, 0, "no majority in time", True)

    def _tell(self) -> None:
        while True:
            gevent.sleep(TELL_EVERY_S)
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
            sock.settimeout(IDLE_S)
            serve(sock, RequestReader(16_384, 100, wire.BODY_BYTES), self._response)
        finally:
            sock.close()

    def _response(self, request: Request) -> bytes:
        status, body = self._answer(request)
        kind = (b"content-type", b"application/x-protobuf")
        return write.response(status, [kind], body, request.keep_alive)

    def _answer(self, request: Request) -> tuple[int, bytes]:
        if self.broken:
            return 503, b"the disk failed"
        handler = self.handlers.get(request.target)
        if handler is None or request.method != "POST":
            return 404, b"POST " + b", ".join(self.handlers)
        try:
            return handler(request.body)
        except ValueError as error:
            self.counts["bad"] += 1
            return 400, str(error).encode()

    def _heard(self, body: bytes) -> tuple[int, bytes]:
        batch = wire.unpack(body, wire.MessageBatch, self.public, "keeper")
        if batch.sender not in self.links:
            raise ValueError(f"there is no other keeper {batch.sender}")
        now = now_ms()
        for said in batch.messages:
            if isinstance(said, HeartbeatReply):
                self.reports.merge(now, said.reports)
            self._do(self.core.receive(now, batch.sender, said))
        return 204, b""

    def _renew(self, body: bytes) -> tuple[int, bytes]:
        asked = wire.unpack_unsigned(body, RenewRequest)
        if not self.core.recovered:
            return 503, b"this keeper has just started"
        self.counts["renewals"] += 1
        self._take_report(asked)
        # a question may only wait while nothing that it would want to know is there
        if (
            asked.number == self.core.number
            and asked.wait_ms > 0
            and self.core.certain
            and asked.intent == "stay"
        ):
            self.changed.wait(min(asked.wait_ms, self.config.most_wait_ms) / 1000)
        if self.broken or not self.core.recovered:
            return 503, b"this keeper has just started"
        return 200, wire.pack(self._renewed(asked), self.key, "renewed")

    def _take_report(self, asked: RenewRequest) -> None:
        if asked.incarnation:
            self.reports.record(
                now_ms(),
                Report(
                    asked.incarnation,
                    asked.name,
                    asked.number,
                    asked.ready_version,
                    asked.apply_error,
                    asked.intent,
                    asked.replaces,
                    asked.zone,
                    asked.lease_remaining_ms,
                ),
            )

    def _renewed(self, asked: RenewRequest) -> RenewReply:
        core, state = self.core, self.core.state
        other = self._other_past(asked)
        member = asked.incarnation in state.members
        hindrance = (
            ""
            if member or not asked.incarnation
            else state.join_error(Newcomer(asked.name, asked.incarnation, asked.replaces, asked.zone))
        )
        news = CatchUp(()) if other or asked.number >= core.number else core.catch_up_since(asked.number)
        return RenewReply(asked.sent, core.number, core.certain and not other, member, other, hindrance, news)

    def _other_past(self, asked: RenewRequest) -> bool:
        """Whether the asker holds what this log does not, as far as this keeper can tell."""
        core = self.core
        if asked.number == core.number:
            return asked.chain != core.state.chain
        if core.snapshot_number < asked.number < core.number:
            return asked.chain != core.entries[asked.number - core.snapshot_number].previous_chain
        return False

    def _told(self, version: int, reason: str = "", again: bool = False) -> tuple[int, bytes]:
        return 200, wire.pack(wire.OperatorReply(version, reason, self.core.leader, again), self.key, "told")

    def _propose(self, body: bytes) -> tuple[int, bytes]:
        asked = wire.unpack(body, wire.Proposal, self.public, "propose")
        self.counts["proposals"] += 1
        if version := self._version_of(asked.token):
            return self._told(version)
        outcome = self._offer(
            Proposed(
                asked.document,
                asked.base,
                asked.author,
                asked.reason,
                asked.token,
                time.time() * 1000,
                asked.canaries,
            )
        )
        # its first sending may have come through meanwhile, and then refused this one
        if version := self._version_of(asked.token):
            return self._told(version)
        self.counts["refused"] += 1
        return self._told(0, outcome.reason, outcome.unknown)

    def _version_of(self, token: str) -> int:
        return next((n.version for n in reversed(self.core.state.history) if n.token == token), 0)

    def _command(self, body: bytes) -> tuple[int, bytes]:
        asked = wire.unpack(body, wire.OperatorCommand, self.public, "command")
        state = self.core.state
        if not self.core.leads:
            return self._told(0, "not the leader", True)
        self.log("keeper.command", what=asked.action, version=asked.version, name=asked.name, by=asked.author)
        if asked.action == "force" and state.dropped is not None and state.dropped.version == asked.version:
            return self._force_dropped(asked, state.dropped)
        if asked.action in ("force", "widen", "drop"):
            if not state.queue or state.queue[0].version != asked.version:
                return self._told(0, f"version {asked.version} is not the next in line")
            if asked.action == "drop":
                if state.phase:
                    return self._told(0, "some act on it already: propose the old settings anew")
                return self._wrote(
                    self._offer(Dropped(asked.version, (f"taken back by {asked.author}",))), asked.version
                )
            (self.steward.forced if asked.action == "force" else self.steward.widened).add(asked.version)
            return self._told(asked.version)
        if asked.action == "retire":
            lives = tuple(life for life, h in state.held.items() if h.name == asked.name)
            if not lives:
                return self._told(0, f"no instance {asked.name} is away with a share")
            return self._wrote(self._offer(Left(lives)), state.version)
        raise ValueError(f"no command {asked.action!r}")

    def _wrote(self, outcome: Outcome, version: int) -> tuple[int, bytes]:
        return self._told(version if outcome.number else 0, outcome.reason, outcome.unknown)

    def _force_dropped(self, asked: wire.OperatorCommand, dropped: PendingVersion) -> tuple[int, bytes]:
        """What instances refused is put in force as a version of its own, once."""
        token = f"force {asked.version}"
        if not self._version_of(token):
            outcome = self._offer(
                Proposed(
                    dropped.document,
                    self.core.state.newest,
                    asked.author,
                    f"version {asked.version} forced",
                    token,
                    time.time() * 1000,
                    forced=True,
                )
            )
            if not outcome.number:
                return self._wrote(outcome, 0)
        return self._told(self._version_of(token))

    def _look(self, body: bytes) -> tuple[int, bytes]:
        now, core = now_ms(), self.core
        reports = self.reports.with_ages(now, self.reports.known)
        look = wire.KeeperStatus(
            core.me,
            core.leader,
            core.recovered,
            core.certain,
            encode(core.state),
            tuple(reports),
            self.steward.waits_for(now, core.state) if core.leads else "",
        )
        return 200, wire.pack(look, self.key, "look")
