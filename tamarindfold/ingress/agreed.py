"""An ingress whose settings, servers and place are agreed: begun when they are known, and kept at them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any
from zlib import crc32

import gevent
from msgspec.structs import replace

from tamarindfold.agreement.document import Document, cautious, merged, narrowest
from tamarindfold.agreement.driver import Agreement, Taken
from tamarindfold.agreement.lease import Acting
from tamarindfold.config.addresses import split_address
from tamarindfold.config.model import GatewayConfig, InstanceConfig
from tamarindfold.identity.files import public_key
from tamarindfold.ingress.admission import Admission
from tamarindfold.ingress.server import Ingress

LOOK_S = 0.01


class NotAgreed(Exception):
    """There is nothing to act on: why."""


class Agreed:
    """Follows the agreement and settles the ingress anew whenever what to act on has changed."""

    def __init__(self, local: InstanceConfig, log: Callable[..., None]) -> None:
        """OSError, ValueError or NotAgreed where the files can't be used."""
        section, folder = local.agreement, local.instance.state_dir
        if folder:  # of its own: two instances with one folder would replace each other
            folder = str(Path(folder) / section.name)
            Path(folder).mkdir(parents=True, exist_ok=True)
        self.local = replace(local, instance=replace(local.instance, state_dir=folder))
        self.log = log
        self.ingress: Ingress | None = None
        self.applied: Acting | None = None
        self.good: Document | None = None  # the last that could be applied
        keepers = [split_address(keeper, f"keepers[{i}]") for i, keeper in enumerate(section.keepers)]
        try:
            self.agreement = Agreement(
                section.name,
                keepers,
                public_key(Path(section.public_key)),
                Path(folder) if folder else None,
                local.upstream.source_address,
                self.changed,
                log,
                local.instance.zone,
            )
        except Taken as error:
            raise NotAgreed(str(error)) from None

    def begin(self) -> Ingress:
        """The ingress, not started yet; NotAgreed where nothing to act on is known in time."""
        self.agreement.start()
        with gevent.Timeout(self.local.agreement.join_ms / 1000, False):
            while not self._may_begin():
                gevent.sleep(LOOK_S)
        acting = self.agreement.acting()
        if acting is None or not acting.share:
            reason = self.agreement.hindrance or (
                "no keeper answered, and there is no copy on disk"
                if acting is None
                else f"no place in the roster: {acting.why}"
            )
            self.agreement.stop()
            raise NotAgreed(reason)
        try:
            config = self._config(acting)
        except ValueError as error:
            self.agreement.stop()
            raise NotAgreed(f"version {acting.version}: {error}") from None
        self.good = acting.document
        self.ingress = Ingress(config, self.log, number=crc32(self.agreement.name.encode()))
        self.ingress.core.on_lease_end = self.changed
        self.ingress.hindrance, self.ingress.agreement = self._hindrance, self.counts
        self._settle(acting, True)
        return self.ingress

    def _may_begin(self) -> bool:
        """Whether there is a place; one without keepers waits until it is certain that none answer."""
        acting = self.agreement.acting()
        return acting is not None and acting.led

    def end(self) -> None:
        """Nothing is acted on any more: leave."""
        self.agreement.stop()

    def _hindrance(self) -> str:
        return "" if self.applied is not None and self.applied.share else "no place in the roster"

    def _config(self, acting: Acting) -> GatewayConfig:
        return merged(self.local, acting.document, acting.gateways, acting.index)

    def changed(self) -> None:
        """Look at what to act on; called at every news, and whenever a lease may have ended."""
        self._try_next()
        acting = self.agreement.acting()
        if acting is not None and self.ingress is not None:
            self._settle(acting)

    def _try_next(self) -> None:
        """Find out whether the next version could be applied here, and say so."""
        queue = self.agreement.lease.state.queue
        if queue and queue[0].version != self.agreement.lease.ready:
            cannot = self._fault(queue[0].document)
            if cannot:
                self.log("agreement.cannot_apply", version=queue[0].version, reason=cannot)
            self.agreement.could(queue[0].version, cannot)

    def _fault(self, document: Document) -> str:
        held = self.agreement.lease.state.document
        steps = [document] if held is None else [document, narrowest([held, document])]
        try:
            for step in steps:  # the narrower of both comes before it
                Admission(merged(self.local, step, 1, 0))
        except ValueError as error:
            return str(error)
        return ""

    def _settle(self, acting: Acting, newcomer: bool = False) -> None:
        assert self.ingress is not None
        core = self.ingress.core
        core.lease_until_ms = self.agreement.led_until_ms if acting.led else None
        before = self.applied
        if acting == before:
            return
        self.applied = acting
        led = acting.led
        try:
            config = self._config(acting)
            self.good = acting.document
        except ValueError as error:  # forced by an operator: what it had goes on, with the share it has now
            self.log("agreement.cannot_apply", version=acting.version, reason=str(error))
            assert self.good is not None
            led = False
            config = merged(self.local, cautious(self.good), acting.gateways, acting.index)
        self.ingress.settle(config, led, newcomer)
        if before is None or (before.version, before.led, before.gateways, before.index) != (
            acting.version,
            acting.led,
            acting.gateways,
            acting.index,
        ):
            self.log(
                "agreement.acting",
                version=acting.version,
                led=acting.led,
                gateways=acting.gateways,
                index=acting.index,
                number=acting.number,
                why=acting.why,
            )

    def counts(self) -> dict[str, Any]:
        """For the log."""
        lease = self.agreement.lease
        return self.agreement.counts | {
            "version": lease.state.version,
            "number": lease.state.number,
            "led": lease.led,
            "share": round(lease.share, 6),
        }
