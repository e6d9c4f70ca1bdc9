"""What one instance may act on: the agreed state as far as it knows it, and its lease on that being all.

A lease counts from the moment at which a question was sent, and a majority of the keepers must have answered
that nothing else is chosen, nor may be. Whatever is chosen later was accepted by one of them after its
answer: so no change can be in force for longer than the lease before this instance stops acting on what it
contradicts. Time is monotonic. No I/O, no clock.
"""

from __future__ import annotations

from math import inf

from msgspec import Struct

from tamarindfold.agreement import document as documents
from tamarindfold.agreement.consensus import Fill
from tamarindfold.agreement.document import LEAST_PART, Document
from tamarindfold.agreement.state import Member, State, decode


class Renew(Struct, frozen=True):
    """What an instance asks each keeper, again and again; see reports.Report for the fields."""

    life: str
    name: str
    number: int
    chain: bytes
    sent: float  # by the instance's own clock; comes back with the answer
    wait_ms: float = 0.0  # the answer may wait so long for news
    ready: int = 0
    cannot: str = ""
    wants: str = "stay"
    replaces: str = ""
    zone: int = 0
    led_ms: float = 0.0


class Renewed(Struct, frozen=True):
    """The answer. certain: nothing beyond `number` is chosen or may be, as far as this keeper can tell."""

    sent: float
    number: int
    certain: bool
    member: bool  # the asker has a place, after all that is known here
    other_past: bool = False  # what the asker holds is not of this log
    hindrance: str = ""  # why it gets no place
    news: Fill = Fill(())


class Acting(Struct, frozen=True):
    """What the instance is to act on. share 0: on nothing yet."""

    document: Document
    version: int
    share: float
    gateways: int
    index: int
    led: bool
    number: int  # the fencing number of its place; 0: none
    why: str = ""  # why it is not led


class Lease:
    """One instance's view."""

    def __init__(self, life: str, name: str, keepers: int, replaces: str = "", zone: int = 0) -> None:
        self.life, self.name, self.keepers = life, name, keepers
        self.replaces, self.zone = replaces, zone
        self.state = State()
        self.fresh: dict[int, float] = {}  # by keeper: when the last question was sent that it answered so
        self.ready, self.cannot = 0, ""  # what the driver found out of the next version
        self.unfit: dict[int, str] = {}  # versions that can't be applied here, and why
        self.leaving = False
        self.share = 0.0  # what it acts on
        self.place = (0, 0)  # index, and the number of the entry that gave it
        self.unled_at = self.led_until = -inf  # since when it has been without a lease; its last one's end
        self.led = False
        self.restored = False  # it lives on what an earlier life knew
        self.hindrance = ""
        self._narrow: tuple[int, Document] | None = None  # worked out once for each state

    # ---- asking

    def ask(self, now: float, wait_ms: float) -> Renew:
        """The next question to any keeper."""
        member = self.state.members.get(self.life)
        wants = "leave" if self.leaving else "stay" if member is not None else "join"
        return Renew(
            self.life,
            self.name,
            self.state.number,
            self.state.chain,
            now,
            wait_ms,
            self.ready,
            self.cannot,
            wants,
            self.replaces,
            self.zone,
            max(0.0, self.until(now) - now) if self.led else 0.0,
        )

    def answered(self, keeper: int, answer: Renewed) -> bool:
        """Take in an answer; whether the state changed. ValueError where the news do not follow."""
        self.hindrance = answer.hindrance
        if answer.other_past:
            return False
        before = self.state.number
        self._take(answer.news)
        if answer.certain and answer.member and answer.number <= self.state.number:
            self.fresh[keeper] = max(self.fresh.get(keeper, -inf), answer.sent)
        return self.state.number > before

    def _take(self, news: Fill) -> None:
        if news.state:
            state = decode(news.state)
            if state.number > self.state.number:
                self.state = state
        for entry in news.entries:
            if entry.number > self.state.number:
                state = self.state.copy()  # a reader of the old one must not see half of a change
                state.apply(entry)
                self.state = state

    def judged(self, version: int, cannot: str) -> bool:
        """The driver found out whether a version can be applied here; whether that is news."""
        if (version, cannot) == (self.ready, self.cannot):
            return False
        self.ready, self.cannot = version, cannot
        self.unfit = {v: why for v, why in self.unfit.items() if v >= self.state.version}
        if cannot:
            self.unfit[version] = cannot
        return True

    def restore(self, data: bytes, left: bool) -> None:
        """What an earlier life knew; unless it left, the least of its share is there to act on.

        ValueError where the bytes hold no state.
        """
        self.state = decode(data)
        self.restored = self.state.document is not None and not left

    # ---- the lease

    def until(self, now: float) -> float:
        """When the lease ends; in the past where there is none."""
        sent = sorted(self.fresh.values(), reverse=True)
        majority = self.keepers // 2 + 1
        if len(sent) < majority or self.leaving:
            return -inf
        member = self.state.members.get(self.life)
        if member is None or not member.acting or self.cannot_apply:
            return -inf
        return sent[majority - 1] + self.state.terms.lease_ms

    @property
    def cannot_apply(self) -> bool:
        """The version in force is one that this instance can't apply: somebody forced it."""
        return self.state.version in self.unfit

    def acting(self, now: float) -> Acting | None:
        """What to act on now; None where nothing is known at all."""
        state = self.state
        if state.document is None:
            return None
        led = now < self.until(now)
        if led:
            return self._led(now)
        if self.led:  # perhaps long ago: who stood still must not take its time on the old share from now on
            self.unled_at = min(now, self.led_until)
        self.led = False
        return self._unled(now)

    def _led(self, now: float) -> Acting:
        state = self.state
        member = state.members[self.life]
        document = state.acted_on(self.name)
        assert document is not None
        self.led, self.restored, self.led_until = True, False, self.until(now)
        self.share, self.place = state.share, (member.index, member.number)
        return Acting(
            document,
            state.version,
            state.share,
            state.gateways(state.share),
            member.index,
            True,
            member.number,
        )

    def _kept(self, member: Member | None) -> tuple[float, int]:
        """Share and index without a lease: what it had, but for what it says that it has taken up since."""
        if member is None:
            return self.share, self.place[0]
        return min(self.share, self.state.share), member.index if member.acting else self.place[0]

    def _unled(self, now: float) -> Acting:
        """The narrowest of what may be in force: the share it had, later the least; no repeats."""
        state, terms = self.state, self.state.terms
        if self._narrow is None or self._narrow[0] != state.number:
            self._narrow = state.number, documents.cautious(documents.narrowest(state.may_be_in_force()))
        document = self._narrow[1]
        member = state.members.get(self.life)
        long_ago = now - self.unled_at >= terms.unled_ms
        share, index = self._kept(member)
        if long_ago and (self.share or self.restored):
            share = min(share or 1.0, terms.least_share * LEAST_PART)
        self.share = share
        gateways = state.gateways(share) if share else 1
        if long_ago or index >= gateways:  # no place of its own: spread by its name
            index = int.from_bytes(self.life.encode()[:8], "big") % gateways
        why = (
            "can't apply what is in force: " + self.unfit[state.version]
            if self.cannot_apply
            else "leaving"
            if self.leaving
            else "no place yet"
            if member is None or not member.acting
            else "no majority of keepers answers"
        )
        return Acting(document, state.version, share, gateways, index, False, 0, why)
