"""One keeper, a replica of the log: an entry is chosen once a majority has it on disk. No I/O, no clock.

Single-decree Paxos for each entry, one entry at a time, with a leader that keeps its ballot from entry to
entry (as in Multi-Paxos and Viewstamped Replication). Each keeper is proposer, acceptor and learner. Two
points go beyond the textbook protocol:

- A keeper does not trust its own disk when it starts. It queries all other keepers, adopts the highest
  promise and the newest vote that any of them has seen, and takes part in votes only then: a wiped or older
  disk thus cannot break promises that the keeper made in an earlier incarnation. Only an operator may skip
  this (`trust_disk`), when another keeper is gone for good.
- A keeper that has accepted an entry, but does not know whether it was chosen, is not certain that its log is
  complete, and does not confirm that to any instance (`certain`).

A Save action precedes the Send actions that rely on it; the caller must carry out actions in order.

Class names are message tags, which keepers of other builds must understand; `tag=` and `field(name=...)` keep
the names of the format where the Python names differ.
"""

from __future__ import annotations

from collections import deque
from random import Random

from msgspec import Struct, field
from msgspec.structs import replace

from tamarindfold.agreement.log import Body, Entry, make_entry
from tamarindfold.agreement.state import InvalidEntry, State, decode, encode

HEARTBEAT_MS = 50.0
ELECTION_TIMEOUT_MS = 300.0  # lower bound; each timeout is drawn from one to two times this
STATE_QUERY_MS = 100.0  # interval at which a starting keeper queries the others
KEPT_ENTRIES = 500  # newest entries in memory; a peer that lacks older ones is sent a snapshot
CATCH_UP_ENTRIES = 64  # in one message

Ballot = tuple[int, int]  # round, keeper
ZERO_BALLOT: Ballot = (0, 0)


class Vote(Struct, frozen=True):
    """An entry that an acceptor accepted, with the ballot."""

    ballot: Ballot
    entry: Entry


class _Message(Struct, frozen=True, tag=True):
    """A message between keepers."""


class StateQuery(_Message, frozen=True, tag="Ask"):
    """A starting keeper asks what another one has promised, accepted and learned."""

    nonce: int


class StateReply(_Message, frozen=True, tag="Word"):
    """Reply to a StateQuery: highest promise, pending vote, and number of entries known to be chosen."""

    nonce: int
    promised: Ballot
    vote: Vote | None
    number: int


class Prepare(_Message, frozen=True):
    """Phase 1 request: promise not to vote in lower ballots, and report what was accepted."""

    ballot: Ballot


class Promise(_Message, frozen=True):
    """Phase 1 reply: the vote that was accepted before this ballot, and how many entries are known chosen."""

    ballot: Ballot
    vote: Vote | None
    number: int


class Accept(_Message, frozen=True):
    """Phase 2 request: accept this entry. The first `number` entries are chosen."""

    ballot: Ballot
    entry: Entry
    number: int


class Accepted(_Message, frozen=True):
    """Phase 2 reply: the entry is on disk here."""

    ballot: Ballot
    number: int


class Heartbeat(_Message, frozen=True, tag="Beat"):
    """The leader of this ballot is alive, and the first `number` entries are chosen."""

    ballot: Ballot
    number: int


class HeartbeatReply(_Message, frozen=True, tag="Here"):
    """A follower is alive and knows the first `number` entries to be chosen.

    `reports` holds encoded reports of instances for the leader; the caller fills it in on sending the reply.
    """

    ballot: Ballot
    number: int
    reports: bytes = field(name="news", default=b"")


class CatchUpRequest(_Message, frozen=True, tag="Lack"):
    """Asks for the chosen entries after the first `number`."""

    number: int


class CatchUp(_Message, frozen=True, tag="Fill"):
    """Chosen entries. `state` is a snapshot of everything before them, if older entries are not kept."""

    entries: tuple[Entry, ...]
    state: bytes = b""


class BallotRejected(_Message, frozen=True, tag="Turned"):
    """The ballot was rejected, since a higher one was promised."""

    promised: Ballot


KeeperMessage = (
    StateQuery
    | StateReply
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Heartbeat
    | HeartbeatReply
    | CatchUpRequest
    | CatchUp
    | BallotRejected
)


class Send(Struct, frozen=True):
    """Action: send a message to another keeper."""

    to: int
    message: KeeperMessage


class Save(Struct, frozen=True):
    """Action: write this to disk and sync it before the next action is carried out."""

    promised: Ballot
    vote: Vote | None
    chosen: tuple[Entry, ...]
    state: bytes = b""  # a snapshot that replaces all entries chosen before


class Outcome(Struct, frozen=True):
    """Action: the result of a submission. number: its entry; 0 if it was rejected or its fate is unknown."""

    ticket: int
    number: int
    reason: str = ""
    unknown: bool = False  # it may or may not be chosen later


class EntriesChosen(Struct, frozen=True):
    """Action: all entries up to `number` are chosen and applied; wakes requests that wait for updates."""

    number: int


Action = Send | Save | Outcome | EntriesChosen


class DurableState(Struct):
    """What a keeper loads from its disk when it starts."""

    promised: Ballot = ZERO_BALLOT
    vote: Vote | None = None
    state: State | None = None
    entries: list[Entry] | None = None  # those after the state


class Keeper:
    """Keeper number `me` of `size`."""

    def __init__(
        self, me: int, size: int, disk: DurableState, seed: int, now: float, trust_disk: bool = False
    ) -> None:
        self.me, self.size, self.random = me, size, Random(seed)
        self.promised, self.vote = disk.promised, disk.vote
        self.state = disk.state.copy() if disk.state is not None else State()
        self.snapshot_number = self.state.number  # entries up to this one are not in `entries`
        self.entries: deque[Entry] = deque()
        for stored in disk.entries or ():
            if stored.number == self.state.number + 1 and stored.previous_chain == self.state.chain:
                self.state.apply(stored)
                self.entries.append(stored)
        self.recovered = trust_disk or size == 1  # whether this keeper may vote
        self.nonce = self.random.getrandbits(60)
        self.state_replies: dict[int, StateReply] = {}
        self.role, self.ballot = "follower", ZERO_BALLOT
        self.promises: dict[int, Promise] = {}
        self.acceptors: set[int] = set()  # keepers that have accepted the proposal
        self.last_reply_at: dict[int, float] = {}  # when each other keeper last answered this leader
        self.leader = -1
        self.leader_heard_at = now
        self.election_due = now + self._election_timeout_ms()
        self.next_send_at = now
        self.proposal: Entry | None = None  # the leader's entry that is not chosen yet
        self.ticket = 0  # the submission behind the proposal; 0: it was inherited from an earlier leader
        self.submissions: deque[tuple[int, Body]] = deque()
        self.actions: list[Action] = []

    # ---- queries

    @property
    def majority(self) -> int:
        """The number of keepers that form a majority."""
        return self.size // 2 + 1

    @property
    def others(self) -> list[int]:
        """The other keepers."""
        return [k for k in range(self.size) if k != self.me]

    @property
    def number(self) -> int:
        """The number of entries that are known to be chosen."""
        return self.state.number

    @property
    def certain(self) -> bool:
        """Whether this keeper may confirm that nothing after `number` is chosen: no vote of it is pending."""
        return self.recovered and self._pending_vote() is None

    @property
    def leads(self) -> bool:
        """Whether this keeper believes that it is the leader."""
        return self.role == "leader"

    def catch_up_since(self, number: int) -> CatchUp:
        """The entries after the first `number`, up to a limit, or a snapshot if they are no longer kept."""
        if number < self.snapshot_number or number > self.number:
            return CatchUp((), encode(self.state))
        skip = number - self.snapshot_number
        return CatchUp(
            tuple(self.entries[i] for i in range(skip, min(len(self.entries), skip + CATCH_UP_ENTRIES)))
        )

    # ---- events

    def begin(self, now: float) -> list[Action]:
        """Handle the start of the process; must be the first event."""
        self.actions = []
        self._query_states(now)
        return self.actions

    def receive(self, now: float, sender: int, message: KeeperMessage) -> list[Action]:
        """Handle a message from another keeper."""
        self.actions = []
        match message:
            case StateQuery(nonce):
                self._send(sender, StateReply(nonce, self.promised, self._pending_vote(), self.number))
            case StateReply():
                self._handle_state_reply(now, sender, message)
            case CatchUp():
                self._handle_catch_up(now, message)
            case CatchUpRequest(number):
                self._send(sender, self.catch_up_since(number))
            case _ if not self.recovered:
                pass  # may not vote yet
            case Prepare(ballot):
                self._handle_prepare(now, sender, ballot)
            case Promise():
                self._handle_promise(now, sender, message)
            case Accept():
                self._handle_accept(now, sender, message)
            case Accepted(ballot, number):
                if self.leads and ballot == self.ballot:
                    self.last_reply_at[sender] = now
                    if self.proposal is not None and number == self.proposal.number:
                        self.acceptors.add(sender)
                        self._check_accepted_by_majority(now)
            case Heartbeat(ballot, number):
                self._handle_heartbeat(now, sender, ballot, number)
            case HeartbeatReply(ballot, number):
                if self.leads and ballot == self.ballot:
                    self.last_reply_at[sender] = now
                    if number < self.number:
                        self._send(sender, self.catch_up_since(number))
            case BallotRejected(promised):
                if promised > self.ballot and self.role != "follower":
                    self._step_down(now)
        return self.actions

    def tick(self, now: float) -> list[Action]:
        """Handle the passing of time: heartbeats, retransmissions and election timeouts."""
        self.actions = []
        if not self.recovered:
            if now >= self.next_send_at:
                self._query_states(now)
        elif self.leads:
            if not self._has_recent_majority(now):
                self._step_down(now)  # without replies from a majority, it must not prevent an election
            elif now >= self.next_send_at:
                self.next_send_at = now + HEARTBEAT_MS
                for other in self.others:
                    self._send(
                        other,
                        Accept(self.ballot, self.proposal, self.number)
                        if self.proposal is not None and other not in self.acceptors
                        else Heartbeat(self.ballot, self.number),
                    )
        elif now >= self.election_due:
            self._start_election(now)
        return self.actions

    def submit(self, now: float, ticket: int, body: Body) -> list[Action]:
        """Submit an entry for the log; an Outcome action with this ticket gives the result."""
        self.actions = []
        if not self.leads:
            self.actions.append(Outcome(ticket, 0, "not the leader", True))
        else:
            self.submissions.append((ticket, body))
            self._propose_next(now)
        return self.actions

    # ---- recovery at the start

    def _query_states(self, now: float) -> None:
        self.next_send_at = now + STATE_QUERY_MS
        if self.recovered:
            return
        for other in self.others:
            if other not in self.state_replies:
                self._send(other, StateQuery(self.nonce))

    def _handle_state_reply(self, now: float, sender: int, message: StateReply) -> None:
        """Guards against a wiped or outdated disk: the other keepers know what this one may have promised."""
        if self.recovered or message.nonce != self.nonce:
            return
        self.state_replies[sender] = message
        self._try_recover(now, sender)

    def _try_recover(self, now: float, source: int) -> None:
        if len(self.state_replies) < self.size - 1:
            return
        furthest = max(self.state_replies, key=lambda k: self.state_replies[k].number)
        if self.state_replies[furthest].number > self.number:
            self._send(furthest, CatchUpRequest(self.number))
            return
        self.promised = max([self.promised, *(reply.promised for reply in self.state_replies.values())])
        votes = [
            v
            for v in (self.vote, *(reply.vote for reply in self.state_replies.values()))
            if v is not None and v.entry.number == self.number + 1
        ]
        self.vote = max(votes, key=lambda v: v.ballot, default=None)
        self.recovered = True
        self.leader_heard_at, self.election_due = now, now + self._election_timeout_ms()
        self._save()

    # ---- elections

    def _election_timeout_ms(self) -> float:
        return ELECTION_TIMEOUT_MS * (1 + self.random.random())

    def _has_recent_majority(self, now: float) -> bool:
        """Whether a majority, this leader included, has answered it recently."""
        return (
            1 + sum(now - self.last_reply_at[k] < 2 * ELECTION_TIMEOUT_MS for k in self.others)
            >= self.majority
        )

    def _start_election(self, now: float) -> None:
        self.role, self.ballot = "candidate", (max(self.promised, self.ballot)[0] + 1, self.me)
        self.election_due = now + self._election_timeout_ms()
        self.promised = self.ballot
        self._save()
        self.promises = {self.me: Promise(self.ballot, self._pending_vote(), self.number)}
        for other in self.others:
            self._send(other, Prepare(self.ballot))
        self._try_become_leader(now)

    def _pending_vote(self) -> Vote | None:
        """The vote for the next entry, which was accepted here and is not known to be chosen."""
        return self.vote if self.vote is not None and self.vote.entry.number == self.number + 1 else None

    def _handle_prepare(self, now: float, sender: int, ballot: Ballot) -> None:
        # prevents a keeper that is cut off from a working leader from deposing it
        leader_alive = (
            self._has_recent_majority(now)
            if self.leads
            else (
                self.leader >= 0
                and self.leader != sender
                and now - self.leader_heard_at < ELECTION_TIMEOUT_MS
            )
        )
        if ballot <= self.promised or leader_alive:
            self._send(sender, BallotRejected(self.promised))
            return
        self.promised = ballot
        if self.role != "follower":
            self._step_down(now)
        self.election_due = now + self._election_timeout_ms()
        self._save()
        self._send(sender, Promise(ballot, self._pending_vote(), self.number))

    def _handle_promise(self, now: float, sender: int, message: Promise) -> None:
        if self.role == "candidate" and message.ballot == self.ballot:
            self.promises[sender] = message
            self._try_become_leader(now)

    def _try_become_leader(self, now: float) -> None:
        if self.role != "candidate" or len(self.promises) < self.majority:
            return
        furthest = max(self.promises, key=lambda k: self.promises[k].number)
        if self.promises[furthest].number > self.number:
            self._send(furthest, CatchUpRequest(self.number))  # to be learned before anything is proposed
            return
        votes = [
            p.vote
            for p in self.promises.values()
            if p.vote is not None and p.vote.entry.number == self.number + 1
        ]
        self.role, self.leader, self.leader_heard_at = "leader", self.me, now
        self.last_reply_at = dict.fromkeys(self.others, now)
        self.next_send_at = now
        self.ticket = 0
        if votes:  # the vote of the highest ballot may have been chosen, so it must be proposed again
            self._start_accept_round(now, max(votes, key=lambda v: v.ballot).entry)
        self.actions += self._heartbeats(now)

    def _heartbeats(self, now: float) -> list[Action]:
        self.next_send_at = now + HEARTBEAT_MS
        return (
            [Send(k, Heartbeat(self.ballot, self.number)) for k in self.others]
            if self.proposal is None
            else []
        )

    def _step_down(self, now: float) -> None:
        self.role, self.leader = "follower", -1
        self.election_due = now + self._election_timeout_ms()
        self.proposal = None
        if self.ticket:
            self.actions.append(Outcome(self.ticket, 0, "the leader changed", True))
        self.ticket = 0
        while self.submissions:
            self.actions.append(Outcome(self.submissions.popleft()[0], 0, "the leader changed", True))

    def _follow(self, now: float, sender: int, ballot: Ballot) -> bool:
        """Follow the leader of this ballot; False, with a rejection, if a higher ballot was promised."""
        if ballot < self.promised:
            self._send(sender, BallotRejected(self.promised))
            return False
        if self.role != "follower":
            self._step_down(now)
        self.leader, self.leader_heard_at, self.election_due = sender, now, now + self._election_timeout_ms()
        return True

    # ---- choosing entries

    def _propose_next(self, now: float) -> None:
        """Propose the next submission that is valid in the current state."""
        while self.leads and self.proposal is None and self.submissions:
            ticket, body = self.submissions.popleft()
            try:
                self.state.check(body)
            except InvalidEntry as reason:
                self.actions.append(Outcome(ticket, 0, str(reason)))
                continue
            self.ticket = ticket
            self._start_accept_round(now, make_entry(self.number + 1, self.state.chain, body))

    def _start_accept_round(self, now: float, entry: Entry) -> None:
        self.proposal, self.acceptors = entry, {self.me}
        self.vote = Vote(self.ballot, entry)
        self.promised = max(self.promised, self.ballot)
        self._save()
        self.next_send_at = now + HEARTBEAT_MS
        for other in self.others:
            self._send(other, Accept(self.ballot, entry, self.number))
        self._check_accepted_by_majority(now)

    def _check_accepted_by_majority(self, now: float) -> None:
        if self.proposal is None or len(self.acceptors) < self.majority:
            return
        entry, ticket = self.proposal, self.ticket
        self.proposal, self.ticket = None, 0
        self._apply_chosen([entry])
        if ticket:
            self.actions.append(Outcome(ticket, entry.number))
        self._propose_next(now)
        self.actions += self._heartbeats(now)

    def _handle_accept(self, now: float, sender: int, message: Accept) -> None:
        if not self._follow(now, sender, message.ballot):
            return
        self._learn_chosen(message.ballot, message.number)
        if message.entry.number == self.number + 1 and message.entry.previous_chain == self.state.chain:
            self.promised, self.vote = message.ballot, Vote(message.ballot, message.entry)
            self._save()
            self._send(sender, Accepted(message.ballot, message.entry.number))
        elif message.entry.number > self.number:
            self._send(sender, CatchUpRequest(self.number))

    def _learn_chosen(self, ballot: Ballot, number: int) -> None:
        """Learn from the leader of `ballot` that `number` entries are chosen.

        A pending vote among these is chosen only if it was accepted in the same ballot.
        """
        vote = self._pending_vote()
        if vote is not None and vote.ballot == ballot and number >= vote.entry.number:
            self._apply_chosen([vote.entry])

    def _handle_heartbeat(self, now: float, sender: int, ballot: Ballot, number: int) -> None:
        if not self._follow(now, sender, ballot):
            return
        self._learn_chosen(ballot, number)
        if number > self.number:
            self._send(sender, CatchUpRequest(self.number))
        self._send(sender, HeartbeatReply(ballot, self.number))

    def _handle_catch_up(self, now: float, message: CatchUp) -> None:
        """Learn chosen entries, whichever keeper sent them."""
        if self.leads and (message.state or any(e.number > self.number for e in message.entries)):
            self._step_down(now)  # entries were chosen that this leader's ballot did not choose
        if message.state:
            state = decode(message.state)
            if state.number > self.number:
                self.state, self.snapshot_number = state, state.number
                self.entries.clear()
                self._save(state=message.state)
                self.actions.append(EntriesChosen(self.number))
        self._apply_chosen([e for e in message.entries if e.number > self.number])
        if not self.recovered:
            self._try_recover(now, -1)
        elif self.role == "candidate":
            self._try_become_leader(now)

    def _apply_chosen(self, entries: list[Entry]) -> None:
        applied = []
        for entry in entries:
            if entry.number != self.number + 1 or entry.previous_chain != self.state.chain:
                break
            self.state.apply(entry)
            self.entries.append(entry)
            applied.append(entry)
        if not applied:
            return
        while len(self.entries) > KEPT_ENTRIES:
            self.snapshot_number = self.entries.popleft().number
        self._save(tuple(applied))
        self.actions.append(EntriesChosen(self.number))

    # ---- actions

    def _send(self, to: int, message: KeeperMessage) -> None:
        self.actions.append(Send(to, message))

    def _save(self, chosen: tuple[Entry, ...] = (), state: bytes = b"") -> None:
        last = self.actions[-1] if self.actions else None
        if isinstance(last, Save) and not state:  # nothing was sent in between, so one disk sync suffices
            self.actions[-1] = replace(
                last, promised=self.promised, vote=self.vote, chosen=last.chosen + chosen
            )
            return
        self.actions.append(Save(self.promised, self.vote, chosen, state))
