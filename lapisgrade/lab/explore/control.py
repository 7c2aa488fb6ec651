"""Exploration of the control plane with all fault schedules of `lab/simulation`, and its known defects."""

from collections.abc import Iterator

from lapisgrade.lab.explore.exploration import Exploration, ExplorationResult, Print, print_nothing
from lapisgrade.lab.simulation.control_plane import ControlPlaneSimulation
from lapisgrade.lab.simulation.defects import control_plane as control_plane_defects
from lapisgrade.lab.simulation.fault_schedules import FAULT_SCHEDULES

UNIT = "acknowledged changes"
DEFECTS = control_plane_defects.CONTROL_PLANE_DEFECTS


def schedules_for(defect: str) -> list[str]:
    """Return the schedules to run: the one that finds the defect, or all if `defect` is empty."""
    return [
        schedule for group, schedule in control_plane_defects.DEFECTS_AND_SCHEDULES if defect in group
    ] or list(FAULT_SCHEDULES)


def explore(seeds: range, defect: str = "", print_line: Print = print_nothing) -> ExplorationResult:
    """Simulate seeds until one has a violation; counts the changes that were acknowledged."""

    def simulations(seed: int) -> Iterator[tuple[str, ControlPlaneSimulation]]:
        for schedule in schedules_for(defect):
            yield f"seed {seed}, {schedule}", FAULT_SCHEDULES[schedule](seed)

    exploration = Exploration(
        DEFECTS, simulations, lambda simulation: simulation.count_acknowledged_changes()
    )
    return exploration.run(seeds, defect, print_line)
