"""Known defects of the control plane: a simulation that does not find them proves nothing.

A fault schedule finds each of them (`DEFECTS_AND_SCHEDULES`), except those in `FOUND_BY_UNIT_TESTS`, whose
timing is so rare that only unit tests find them. The correct code is in `gateway/consensus/` and
`gateway/controller/`.
"""

from lapisgrade.lab.explore.defects import Defects
from lapisgrade.lab.simulation.defects import changes, leader, log, membership

DEFECTS_AND_SCHEDULES: list[tuple[Defects, str]] = [
    (leader.LEADER_DEFECTS, "leader-cut"),
    (changes.CHANGE_DEFECTS, "orders-resent"),
    (membership.MEMBERSHIP_DEFECTS, "second-loss"),
    (membership.WIPED_DISK_DEFECTS, "wiped-after-ack"),
    (membership.VOTER_CHANGE_DEFECTS, "slow-changes"),
    (membership.MAJORITY_DEFECTS, "lagging-partner"),
    (log.LOG_DEFECTS, "unsynced"),
    (log.TERM_DEFECTS, "churn"),
    (log.SNAPSHOT_DEFECTS, "hundreds-of-changes"),
]
"""Groups of defects, each with the fault schedule that finds them."""

CONTROL_PLANE_DEFECTS: Defects = {
    name: defect for group, _ in DEFECTS_AND_SCHEDULES for name, defect in group.items()
}
FOUND_BY_UNIT_TESTS: Defects = {**leader.FOUND_BY_UNIT_TESTS, **membership.FOUND_BY_UNIT_TESTS}
"""Defects whose timing is too rare for the fault schedules."""
