"""One keeper of the agreed log: a majority has an entry on disk before it counts. No I/O, no clock.

Single-decree Paxos for each entry, one entry at a time, with a leader that keeps its ballot from entry to
entry (as Multi-Paxos and Viewstamped Replication do). Two things are its own:

- No disk is believed at a start. A keeper that starts asks all the others, takes the most that any of them
  has seen, and votes only then: a wiped or older disk cannot undo what its earlier life had promised. Only
  an operator can spare it that (`trusted`), where another keeper is gone for good.
- What may have been chosen counts as doubt: a keeper that accepted an entry and does not know what came of
  it lets nobody believe that nothing is new (`certain`).

Save comes before the Sends that rely on it; whoever carries out actions keeps that order.
"""

from __future__ import annotations

from collections import deque
from random import Random

from msgspec import Struct
from msgspec.structs import replace

from tamarindfold.agreement.log import Body, Entry, entry
from tamarindfold.agreement.state import Refused, State, decode, encode

BEAT_MS = 50.0  # a leader is heard from so often
ELECT_MS = 300.0  # silence for so long, and up to twice that by chance: somebody else stands
ASK_MS = 100.0  # a keeper that starts asks the others so often
KEPT_ENTRIES = 500  # behind the newest; who lacks older ones is sent the whole state
FILL_ENTRIES = 64  # in one message

Ballot = tuple[int, int]
NOUGHT: Ballot = (0, 0)


class Vote(Struct, frozen=True):
    """An entry that was accepted in a ballot."""

    ballot: Ballot
    entry: Entry


class _Said(Struct, frozen=True, tag=True):
    """A message between keepers."""


class Ask(_Said, frozen=True):
    """I start: what have you seen?"""

    nonce: int


class Word(_Said, frozen=True):
    """What a keeper has promised, accepted and knows to be chosen."""

    nonce: int
    promised: Ballot
    vote: Vote | None
    number: int


class Prepare(_Said, frozen=True):
    """Vote in no lower ballot any more, and tell what you accepted."""

    ballot: Ballot


class Promise(_Said, frozen=True):
    """What was accepted before this ballot, and how many entries are known to be chosen."""

    ballot: Ballot
    vote: Vote | None
    number: int


class Accept(_Said, frozen=True):
    """Accept this entry; the first `number` are chosen."""

    ballot: Ballot
    entry: Entry
    number: int


class Accepted(_Said, frozen=True):
    """It is on disk here."""

    ballot: Ballot
    number: int


class Beat(_Said, frozen=True):
    """The leader is there, and the first `number` are chosen."""

    ballot: Ballot
    number: int


class Here(_Said, frozen=True):
    """So is this keeper, which knows so many chosen; news: what instances told it, put in by who sends it."""

    ballot: Ballot
    number: int
    news: bytes = b""


class Lack(_Said, frozen=True):
    """Tell me what was chosen after this."""

    number: int


class Fill(_Said, frozen=True):
    """Chosen entries; state: all that came before them, where they do not reach back far enough."""

    entries: tuple[Entry, ...]
    state: bytes = b""


class Turned(_Said, frozen=True):
    """Not in this ballot: a higher one was promised."""

    promised: Ballot


Said = Ask | Word | Prepare | Promise | Accept | Accepted | Beat | Here | Lack | Fill | Turned


class Send(Struct, frozen=True):
    """Action: tell another keeper."""

    to: int
    what: Said


class Save(Struct, frozen=True):
    """Action: this is on disk, synced, before the next action is carried out."""

    promised: Ballot
    vote: Vote | None
    chosen: tuple[Entry, ...]
    state: bytes = b""  # in place of all that was chosen before


class Outcome(Struct, frozen=True):
    """Action: what came of an offer. number 0: refused, or (lost) nobody knows."""

    ticket: int
    number: int
    reason: str = ""
    lost: bool = False


class Chose(Struct, frozen=True):
    """Action: these entries are chosen and taken in; for whoever waits for news."""

    number: int


Action = Send | Save | Outcome | Chose


class Disk(Struct):
    """What a keeper finds at its start."""

    promised: Ballot = NOUGHT
    vote: Vote | None = None
    state: State | None = None
    entries: list[Entry] | None = None  # after the state


class Keeper:
    """Keeper `me` of `size`."""

    def __init__(self, me: int, size: int, disk: Disk, seed: int, now: float, trusted: bool = False) -> None:
        self.me, self.size, self.random = me, size, Random(seed)
        self.promised, self.vote = disk.promised, disk.vote
        self.state = disk.state.copy() if disk.state is not None else State()
        self.first = self.state.number  # entries behind this one are in the state only
        self.entries: deque[Entry] = deque()
        for found in disk.entries or ():
            if found.number == self.state.number + 1 and found.past == self.state.chain:
                self.state.apply(found)
                self.entries.append(found)
        self.proven = trusted or size == 1
        self.nonce = self.random.getrandbits(60)
        self.words: dict[int, Word] = {}
        self.role, self.ballot = "follower", NOUGHT
        self.promises: dict[int, Promise] = {}
        self.takers: set[int] = set()
        self.heard: dict[int, float] = {}  # when each other keeper last answered the leader
        self.leader = -1
        self.leader_at = now
        self.due = now + self._patience()
        self.next_at = now
        self.proposal: Entry | None = None  # the leader's, not chosen yet
        self.ticket = 0  # whose proposal that is; 0: nobody's here
        self.offers: deque[tuple[int, Body]] = deque()
        self.actions: list[Action] = []

    # ---- looks

    @property
    def majority(self) -> int:
        """How many make one."""
        return self.size // 2 + 1

    @property
    def others(self) -> list[int]:
        """The other keepers."""
        return [k for k in range(self.size) if k != self.me]

    @property
    def number(self) -> int:
        """How many entries are known to be chosen."""
        return self.state.number

    @property
    def certain(self) -> bool:
        """Whether this keeper's word that nothing is new may count."""
        return self.proven and self._open_vote() is None

    @property
    def leads(self) -> bool:
        """Whether this keeper leads, as far as it knows."""
        return self.role == "leader"

    def since(self, number: int) -> Fill:
        """What brings somebody who knows the first `number` up to date, or a part of it."""
        if number < self.first or number > self.number:
            return Fill((), encode(self.state))
        skip = number - self.first
        return Fill(tuple(self.entries[i] for i in range(skip, min(len(self.entries), skip + FILL_ENTRIES))))

    # ---- events

    def begin(self, now: float) -> list[Action]:
        """The first event of a life."""
        self.actions = []
        self._ask(now)
        return self.actions

    def hear(self, now: float, sender: int, what: Said) -> list[Action]:
        """A message of another keeper."""
        self.actions = []
        match what:
            case Ask(nonce):
                self._send(sender, Word(nonce, self.promised, self._open_vote(), self.number))
            case Word():
                self._word(now, sender, what)
            case Fill():
                self._fill(now, what)
            case Lack(number):
                self._send(sender, self.since(number))
            case _ if not self.proven:
                pass  # has no vote yet
            case Prepare(ballot):
                self._prepare(now, sender, ballot)
            case Promise():
                self._promised(now, sender, what)
            case Accept():
                self._accept(now, sender, what)
            case Accepted(ballot, number):
                if self.leads and ballot == self.ballot:
                    self.heard[sender] = now
                    if self.proposal is not None and number == self.proposal.number:
                        self.takers.add(sender)
                        self._count(now)
            case Beat(ballot, number):
                self._beat(now, sender, ballot, number)
            case Here(ballot, number):
                if self.leads and ballot == self.ballot:
                    self.heard[sender] = now
                    if number < self.number:
                        self._send(sender, self.since(number))
            case Turned(promised):
                if promised > self.ballot and self.role != "follower":
                    self._step_down(now)
        return self.actions

    def tick(self, now: float) -> list[Action]:
        """Time went by."""
        self.actions = []
        if not self.proven:
            if now >= self.next_at:
                self._ask(now)
        elif self.leads:
            if not self._followed(now):
                self._step_down(now)  # nobody hears this leader: it must not keep others from standing
            elif now >= self.next_at:
                self.next_at = now + BEAT_MS
                for other in self.others:
                    self._send(
                        other,
                        Accept(self.ballot, self.proposal, self.number)
                        if self.proposal is not None and other not in self.takers
                        else Beat(self.ballot, self.number),
                    )
        elif now >= self.due:
            self._stand(now)
        return self.actions

    def offer(self, now: float, ticket: int, body: Body) -> list[Action]:
        """Somebody wants this written; Outcome(ticket) tells what came of it."""
        self.actions = []
        if not self.leads:
            self.actions.append(Outcome(ticket, 0, "not the leader", True))
        else:
            self.offers.append((ticket, body))
            self._propose(now)
        return self.actions

    # ---- the start

    def _ask(self, now: float) -> None:
        self.next_at = now + ASK_MS
        if self.proven:
            return
        for other in self.others:
            if other not in self.words:
                self._send(other, Ask(self.nonce))

    def _word(self, now: float, sender: int, what: Word) -> None:
        """Guards against a disk that is wiped or old: the others know what this keeper may have promised."""
        if self.proven or what.nonce != self.nonce:
            return
        self.words[sender] = what
        self._prove(now, sender)

    def _prove(self, now: float, source: int) -> None:
        if len(self.words) < self.size - 1:
            return
        most = max(self.words, key=lambda k: self.words[k].number)
        if self.words[most].number > self.number:
            self._send(most, Lack(self.number))
            return
        self.promised = max([self.promised, *(word.promised for word in self.words.values())])
        votes = [
            v
            for v in (self.vote, *(word.vote for word in self.words.values()))
            if v is not None and v.entry.number == self.number + 1
        ]
        self.vote = max(votes, key=lambda v: v.ballot, default=None)
        self.proven = True
        self.leader_at, self.due = now, now + self._patience()
        self._save()

    # ---- standing and voting

    def _patience(self) -> float:
        return ELECT_MS * (1 + self.random.random())

    def _followed(self, now: float) -> bool:
        """Whether a majority has answered this leader lately."""
        return 1 + sum(now - self.heard[k] < 2 * ELECT_MS for k in self.others) >= self.majority

    def _stand(self, now: float) -> None:
        self.role, self.ballot = "candidate", (max(self.promised, self.ballot)[0] + 1, self.me)
        self.due = now + self._patience()
        self.promised = self.ballot
        self._save()
        self.promises = {self.me: Promise(self.ballot, self._open_vote(), self.number)}
        for other in self.others:
            self._send(other, Prepare(self.ballot))
        self._elect(now)

    def _open_vote(self) -> Vote | None:
        """What was accepted here and is not known to be chosen."""
        return self.vote if self.vote is not None and self.vote.entry.number == self.number + 1 else None

    def _prepare(self, now: float, sender: int, ballot: Ballot) -> None:
        # guards a leader that is well against one whose link to it is cut
        loyal = (
            self._followed(now)
            if self.leads
            else (self.leader >= 0 and self.leader != sender and now - self.leader_at < ELECT_MS)
        )
        if ballot <= self.promised or loyal:
            self._send(sender, Turned(self.promised))
            return
        self.promised = ballot
        if self.role != "follower":
            self._step_down(now)
        self.due = now + self._patience()
        self._save()
        self._send(sender, Promise(ballot, self._open_vote(), self.number))

    def _promised(self, now: float, sender: int, what: Promise) -> None:
        if self.role == "candidate" and what.ballot == self.ballot:
            self.promises[sender] = what
            self._elect(now)

    def _elect(self, now: float) -> None:
        if self.role != "candidate" or len(self.promises) < self.majority:
            return
        most = max(self.promises, key=lambda k: self.promises[k].number)
        if self.promises[most].number > self.number:
            self._send(most, Lack(self.number))  # chosen already: to be known before anything is proposed
            return
        votes = [
            p.vote
            for p in self.promises.values()
            if p.vote is not None and p.vote.entry.number == self.number + 1
        ]
        self.role, self.leader, self.leader_at = "leader", self.me, now
        self.heard = dict.fromkeys(self.others, now)
        self.next_at = now
        self.ticket = 0
        if votes:  # may have been chosen: nothing else can be
            self._put_up(now, max(votes, key=lambda v: v.ballot).entry)
        self.actions += self._beats(now)

    def _beats(self, now: float) -> list[Action]:
        self.next_at = now + BEAT_MS
        return [Send(k, Beat(self.ballot, self.number)) for k in self.others] if self.proposal is None else []

    def _step_down(self, now: float) -> None:
        self.role, self.leader = "follower", -1
        self.due = now + self._patience()
        self.proposal = None
        if self.ticket:
            self.actions.append(Outcome(self.ticket, 0, "the leader changed", True))
        self.ticket = 0
        while self.offers:
            self.actions.append(Outcome(self.offers.popleft()[0], 0, "the leader changed", True))

    def _follow(self, now: float, sender: int, ballot: Ballot) -> bool:
        """Whether this leader's word counts here."""
        if ballot < self.promised:
            self._send(sender, Turned(self.promised))
            return False
        if self.role != "follower":
            self._step_down(now)
        self.leader, self.leader_at, self.due = sender, now, now + self._patience()
        return True

    # ---- an entry

    def _propose(self, now: float) -> None:
        """The next offer that fits."""
        while self.leads and self.proposal is None and self.offers:
            ticket, body = self.offers.popleft()
            try:
                self.state.check(body)
            except Refused as reason:
                self.actions.append(Outcome(ticket, 0, str(reason)))
                continue
            self.ticket = ticket
            self._put_up(now, entry(self.number + 1, self.state.chain, body))

    def _put_up(self, now: float, found: Entry) -> None:
        self.proposal, self.takers = found, {self.me}
        self.vote = Vote(self.ballot, found)
        self.promised = max(self.promised, self.ballot)
        self._save()
        self.next_at = now + BEAT_MS
        for other in self.others:
            self._send(other, Accept(self.ballot, found, self.number))
        self._count(now)

    def _count(self, now: float) -> None:
        if self.proposal is None or len(self.takers) < self.majority:
            return
        found, ticket = self.proposal, self.ticket
        self.proposal, self.ticket = None, 0
        self._choose([found])
        if ticket:
            self.actions.append(Outcome(ticket, found.number))
        self._propose(now)
        self.actions += self._beats(now)

    def _accept(self, now: float, sender: int, what: Accept) -> None:
        if not self._follow(now, sender, what.ballot):
            return
        self._advance(what.ballot, what.number)
        if what.entry.number == self.number + 1 and what.entry.past == self.state.chain:
            self.promised, self.vote = what.ballot, Vote(what.ballot, what.entry)
            self._save()
            self._send(sender, Accepted(what.ballot, what.entry.number))
        elif what.entry.number > self.number:
            self._send(sender, Lack(self.number))

    def _advance(self, ballot: Ballot, number: int) -> None:
        """The leader of this ballot says that so many are chosen: what was accepted in it here is."""
        vote = self._open_vote()
        if vote is not None and vote.ballot == ballot and number >= vote.entry.number:
            self._choose([vote.entry])

    def _beat(self, now: float, sender: int, ballot: Ballot, number: int) -> None:
        if not self._follow(now, sender, ballot):
            return
        self._advance(ballot, number)
        if number > self.number:
            self._send(sender, Lack(self.number))
        self._send(sender, Here(ballot, self.number))

    def _fill(self, now: float, what: Fill) -> None:
        """Chosen entries, from whoever knows them."""
        if self.leads and (what.state or any(e.number > self.number for e in what.entries)):
            self._step_down(now)  # what others chose meanwhile is no outcome of this ballot
        if what.state:
            state = decode(what.state)
            if state.number > self.number:
                self.state, self.first = state, state.number
                self.entries.clear()
                self._save(state=what.state)
                self.actions.append(Chose(self.number))
        self._choose([e for e in what.entries if e.number > self.number])
        if not self.proven:
            self._prove(now, -1)
        elif self.role == "candidate":
            self._elect(now)

    def _choose(self, found: list[Entry]) -> None:
        taken = []
        for one in found:
            if one.number != self.number + 1 or one.past != self.state.chain:
                break
            self.state.apply(one)
            self.entries.append(one)
            taken.append(one)
        if not taken:
            return
        while len(self.entries) > KEPT_ENTRIES:
            self.first = self.entries.popleft().number
        self._save(tuple(taken))
        self.actions.append(Chose(self.number))

    # ---- actions

    def _send(self, to: int, what: Said) -> None:
        self.actions.append(Send(to, what))

    def _save(self, chosen: tuple[Entry, ...] = (), state: bytes = b"") -> None:
        last = self.actions[-1] if self.actions else None
        if isinstance(last, Save) and not state:  # nothing was said in between: one turn of the disk does
            self.actions[-1] = replace(
                last, promised=self.promised, vote=self.vote, chosen=last.chosen + chosen
            )
            return
        self.actions.append(Save(self.promised, self.vote, chosen, state))
