"""A gateway whose settings, servers and index are agreed through the keepers: created once these are known,
and reconfigured whenever they change."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any
from zlib import crc32

import gevent
from msgspec.structs import replace

from tamarindfold.agreement.document import Document, forbid_repeats, merged, most_restrictive
from tamarindfold.agreement.driver import AgreementClient, FolderInUse
from tamarindfold.agreement.lease import EffectiveSettings
from tamarindfold.config.addresses import split_address
from tamarindfold.config.model import GatewayConfig, InstanceConfig
from tamarindfold.identity.files import public_key
from tamarindfold.ingress.admission import Admission
from tamarindfold.ingress.server import Ingress

LEASE_POLL_INTERVAL_S = 0.01


class NoAgreedSettings(Exception):
    """There are no agreed settings to start with; the message says why."""


class ManagedIngress:
    """Follows the agreement and reconfigures the ingress whenever the effective settings change."""

    def __init__(self, local: InstanceConfig, log: Callable[..., None]) -> None:
        """Raises OSError, ValueError or NoAgreedSettings if the instance's files are unusable."""
        section, folder = local.agreement, local.instance.state_dir
        if folder:  # one folder per instance name: instances that share one would take each other's place
            folder = str(Path(folder) / section.name)
            Path(folder).mkdir(parents=True, exist_ok=True)
        self.local = replace(local, instance=replace(local.instance, state_dir=folder))
        self.log = log
        self.ingress: Ingress | None = None
        self.applied: EffectiveSettings | None = None
        self.last_valid: Document | None = None  # the latest document that could be applied here
        keepers = [split_address(keeper, f"keepers[{i}]") for i, keeper in enumerate(section.keepers)]
        try:
            self.agreement = AgreementClient(
                section.name,
                keepers,
                public_key(Path(section.public_key)),
                Path(folder) if folder else None,
                local.upstream.source_address,
                self.on_change,
                log,
                local.instance.zone,
            )
        except FolderInUse as error:
            raise NoAgreedSettings(str(error)) from None

    def create(self) -> Ingress:
        """The ingress, not started yet; raises NoAgreedSettings if no settings are available in time."""
        self.agreement.start()
        with gevent.Timeout(self.local.agreement.join_ms / 1000, False):
            while not self._has_lease():
                gevent.sleep(LEASE_POLL_INTERVAL_S)
        effective = self.agreement.effective_settings()
        if effective is None or not effective.share:
            reason = self.agreement.join_error or (
                "no keeper answered, and there is no copy on disk"
                if effective is None
                else f"no place in the roster: {effective.why}"
            )
            self.agreement.stop()
            raise NoAgreedSettings(reason)
        try:
            config = self._config(effective)
        except ValueError as error:
            self.agreement.stop()
            raise NoAgreedSettings(f"version {effective.version}: {error}") from None
        self.last_valid = effective.document
        self.ingress = Ingress(config, self.log, number=crc32(self.agreement.name.encode()))
        self.ingress.core.on_lease_end = self.on_change
        self.ingress.agreement_obstacle, self.ingress.agreement_counts = self._obstacle, self.counts
        self._apply(effective, True)
        return self.ingress

    def _has_lease(self) -> bool:
        """Whether there is a lease. Without reachable keepers `create` waits until its time-out, so that it
        uses the copy on disk only if no keeper answers."""
        effective = self.agreement.effective_settings()
        return effective is not None and effective.has_lease

    def leave(self) -> None:
        """Leave the roster; the ingress must have stopped."""
        self.agreement.stop()

    def _obstacle(self) -> str:
        return "" if self.applied is not None and self.applied.share else "no place in the roster"

    def _config(self, effective: EffectiveSettings) -> GatewayConfig:
        return merged(self.local, effective.document, effective.gateways, effective.index)

    def on_change(self) -> None:
        """Apply the settings now in effect; called on each update and whenever a lease may have ended."""
        self._check_next_version()
        effective = self.agreement.effective_settings()
        if effective is not None and self.ingress is not None:
            self._apply(effective)

    def _check_next_version(self) -> None:
        """Check whether the next version can be applied here, and report the result."""
        queue = self.agreement.lease.state.queue
        if queue and queue[0].version != self.agreement.lease.ready_version:
            error = self._validation_error(queue[0].document)
            if error:
                self.log("agreement.cannot_apply", version=queue[0].version, reason=error)
            self.agreement.report_applicability(queue[0].version, error)

    def _validation_error(self, document: Document) -> str:
        current = self.agreement.lease.state.document
        # during the change the narrower settings of both versions apply, so they must be valid too
        steps = [document] if current is None else [document, most_restrictive([current, document])]
        try:
            for step in steps:
                Admission(merged(self.local, step, 1, 0))
        except ValueError as error:
            return str(error)
        return ""

    def _apply(self, effective: EffectiveSettings, newcomer: bool = False) -> None:
        assert self.ingress is not None
        core = self.ingress.core
        core.lease_until_ms = self.agreement.lease_until_ms if effective.has_lease else None
        before = self.applied
        if effective == before:
            return
        self.applied = effective
        has_lease = effective.has_lease
        try:
            config = self._config(effective)
            self.last_valid = effective.document
        except ValueError as error:
            # An operator forced a version that is invalid here: keep the last valid settings, made cautious,
            # with the current share.
            self.log("agreement.cannot_apply", version=effective.version, reason=str(error))
            assert self.last_valid is not None
            has_lease = False
            config = merged(self.local, forbid_repeats(self.last_valid), effective.gateways, effective.index)
        self.ingress.apply(config, has_lease, newcomer)
        if before is None or (before.version, before.has_lease, before.gateways, before.index) != (
            effective.version,
            effective.has_lease,
            effective.gateways,
            effective.index,
        ):
            self.log(
                "agreement.acting",
                version=effective.version,
                led=effective.has_lease,
                gateways=effective.gateways,
                index=effective.index,
                number=effective.number,
                why=effective.why,
            )

    def counts(self) -> dict[str, Any]:
        """Counters and state of the agreement, for the log."""
        lease = self.agreement.lease
        return self.agreement.counts | {
            "version": lease.state.version,
            "number": lease.state.number,
            "led": lease.has_lease,
            "share": round(lease.share, 6),
        }
