"""Reports when the voters can't tolerate the losses in `Faults`: in the status, the log and the metrics.

Which machines run a controller is decided by the deployment, and which of them vote by their disks. Too few
voters serve well until the first loss that the deployment should tolerate, so the leader reports them before.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.consensus.fault_tolerance import (
    QuorumReport,
    ToleratedFaults,
    VoterLocation,
    assess,
)
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.version_activation import ProxyStatus
from lapisgrade.gateway.settings import Settings

log = logging.getLogger("controller")

CHECK_INTERVAL_S = 1.0  # interval between the leader's checks
WARNING_DELAY_US = 10 * SECOND  # at a start and after a restart, machines are still joining the voters
MAX_LISTED_MACHINES = 20  # maximum number of machines in a report


class QuorumMonitor:
    """Compares the voters with the losses that the settings name."""

    def __init__(
        self,
        consensus: ConsensusDriver,
        settings: Callable[[], Settings],
        proxies: Callable[[], Mapping[str, ProxyStatus]],
        clock: Callable[[], int],
        metrics: ControllerMetrics,
    ) -> None:
        """Create a monitor; `run` makes the checks.

        Args:
            consensus: The driver of this controller's node.
            settings: Returns the current settings, which SIGHUP reloads.
            proxies: Returns the live proxies by name. They report the zone of their machine, and whether it
                counts for `Faults`.
            clock: Returns the monotonic time in us.
            metrics: The counters of the controller.
        """
        self._consensus = consensus
        self._settings = settings
        self._proxies = proxies
        self._clock = clock
        self._metrics = metrics
        self._insufficient_since_us: int | None = None
        self._has_warned = False

    async def run(self) -> None:
        """Check at intervals, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Log a warning if this controller leads and has had too few voters for `WARNING_DELAY_US`."""
        report = self.assess() if self._consensus.is_leader() else None
        if report is None or report.is_sufficient:
            if report is not None and self._has_warned:
                log.info("%d voters tolerate the losses in Faults", report.voters)
            self._insufficient_since_us, self._has_warned = None, False
            return
        if self._insufficient_since_us is None:
            self._insufficient_since_us = self._clock()
        is_due = self._clock() - self._insufficient_since_us >= WARNING_DELAY_US
        if is_due and not self._has_warned:
            self._has_warned = True
            self._metrics.insufficient_voters += 1
            log.warning("%s", self._warning(report))

    def assess(self) -> QuorumReport:
        """Return whether the voters tolerate the losses; call only while there is a node."""
        return assess(self._voter_locations(), self._tolerated_faults())

    def status(self) -> dict[str, Any]:
        """Return the entry of `conf.status` on the voters and the losses, for JSON; as for `assess`."""
        report, faults = self.assess(), self._tolerated_faults()
        return {
            "Nodes": faults.nodes,
            "Zones": faults.zones,
            "Regions": faults.regions,
            "Needed": report.required_voters,
            "Sufficient": report.is_sufficient,
            "WithoutVoter": self._machines_without_voter(),
        }

    def _tolerated_faults(self) -> ToleratedFaults:
        faults = self._settings().faults
        return ToleratedFaults(faults.nodes, faults.zones, faults.regions)

    def _voter_locations(self) -> dict[str, VoterLocation]:
        regions = self._settings().zones
        zones = {_host(proxy.address): proxy.zone for proxy in self._proxies().values()}
        locations = {}
        for name, address in self._consensus.started_node.voters.items():
            zone = zones.get(_host(address), "")
            locations[name] = VoterLocation(zone, regions.get(zone, ""))
        return locations

    def _machines_without_voter(self) -> list[str]:
        """Return the machines that count for `Faults`, by what their proxies were told, and have no voter."""
        hosts = {_host(address) for address in self._consensus.started_node.voters.values()}
        missing = [
            name
            for name, proxy in self._proxies().items()
            if proxy.has_local_controller and _host(proxy.address) not in hosts
        ]
        return sorted(missing)[:MAX_LISTED_MACHINES]

    def _warning(self, report: QuorumReport) -> str:
        text = (
            f"{report.voters} voters: a loss of {report.largest_loss} at once, as in Faults, leaves no "
            f"majority; {report.required_voters} voters are needed"
        )
        missing = self._machines_without_voter()
        return f"{text}; without a voter: {', '.join(missing)}" if missing else text


def _host(address: str) -> str:
    """Return the host of an address with a port."""
    return address.rpartition(":")[0]
