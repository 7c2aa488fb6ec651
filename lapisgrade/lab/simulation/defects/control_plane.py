"""Known defects of the control plane: a simulation that does not find them proves nothing.

Each is found by a fault schedule (`SCHEDULES_BY_DEFECTS`), but for `FOUND_BY_UNIT_TESTS`: these need so rare
a moment that a test of the rule itself finds them. The right code is in `gateway/consensus/` and
`gateway/controller/`.
"""

from lapisgrade.lab.explore.defects import Defects
from lapisgrade.lab.simulation.defects import changes, leader, log, membership

SCHEDULES_BY_DEFECTS: list[tuple[Defects, str]] = [
    (leader.LEADER, "leader-cut"),
    (changes.CHANGES, "orders-resent"),
    (membership.MEMBERS, "second-loss"),
    (membership.EMPTIED, "wiped-after-ack"),
    (membership.VOTER_CHANGES, "slow-changes"),
    (membership.MAJORITY, "lagging-partner"),
    (log.LOG, "unsynced"),
    (log.TERMS, "churn"),
    (log.SNAPSHOTS, "hundreds-of-changes"),
]
"""The defects, and the fault schedule that finds them."""

CONTROL_PLANE_DEFECTS: Defects = {
    name: defect for group, _ in SCHEDULES_BY_DEFECTS for name, defect in group.items()
}
FOUND_BY_UNIT_TESTS: Defects = {**leader.FOUND_BY_UNIT_TESTS, **membership.FOUND_BY_UNIT_TESTS}
