"""Delays the leader's proposals of new versions while too many are staged.

`staging_rate` decides how long; this module counts the versions and waits.
"""

from collections.abc import Callable
from enum import Enum, auto

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.controller.commands import stages_version
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.staging_rate import staging_delay_us
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.watch_service import WatchService

# Maximum time that a change waits. Leaves time for its commit within call_forwarding.FORWARD_TIMEOUT_S.
MAX_STAGING_WAIT_US = 500_000
MAX_WAITING_CHANGES = 32  # bounds memory: each holds a configuration; only one of them can be accepted next


class Admission(Enum):
    """Whether a change may be proposed."""

    ADMITTED = auto()  # propose it before anything is awaited
    OUTDATED = auto()  # another version was accepted meanwhile: validate the change again
    REFUSED = auto()  # there was no room in time


class StagingAdmission:
    """Admits changes that stage a version, on the leader."""

    def __init__(
        self,
        consensus: ConsensusDriver,
        state_machine: StateMachine,
        watch_service: WatchService,
        clock: Callable[[], int],
        metrics: ControllerMetrics,
    ) -> None:
        """`clock` returns the monotonic time in us."""
        self._consensus = consensus
        self._state_machine = state_machine
        self._watch_service = watch_service
        self._clock = clock
        self._metrics = metrics
        self._waiting = 0  # number of changes that wait

    async def admit(self, arrived_us: int) -> Admission:
        """Wait until a version may be staged.

        Args:
            arrived_us: When the leader received the change; it is refused `MAX_STAGING_WAIT_US` later.
        """
        if self._delay_us() == 0:
            return Admission.ADMITTED
        if self._waiting >= MAX_WAITING_CHANGES:
            return Admission.REFUSED
        self._metrics.changes_delayed += 1
        self._waiting += 1
        try:
            return await self._wait(arrived_us)
        finally:
            self._waiting -= 1

    async def _wait(self, arrived_us: int) -> Admission:
        """Wait until the delay has passed, another version is accepted, or the time is over."""
        version = self._state_machine.state.version
        while (delay_us := self._delay_us()) > 0:
            remaining_us = arrived_us + MAX_STAGING_WAIT_US - self._clock()
            if remaining_us <= 0:
                return Admission.REFUSED
            await self._watch_service.wait_until_applied(min(delay_us, remaining_us) / SECOND)
            if self._state_machine.state.version != version:
                return Admission.OUTDATED
        return Admission.ADMITTED

    def _delay_us(self) -> int:
        """Return the delay of the next version; 0 while no proxy is live, as none would use it."""
        watch = self._watch_service.watch
        if not watch.proxies:
            return 0
        return staging_delay_us(
            self._clock(),
            len(self._state_machine.state.staged_versions),
            sum(stages_version(entry.data) for entry in self._consensus.unapplied_entries()),
            watch.last_staged_us(),
        )
