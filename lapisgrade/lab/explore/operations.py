"""Exploration of keyed operations (`lab/simulation/operations/`) with all fault schedules and defects."""

from collections.abc import Iterator

from lapisgrade.lab.explore.exploration import Exploration, ExplorationResult, Print, print_nothing
from lapisgrade.lab.simulation.defects import operations as operation_defects
from lapisgrade.lab.simulation.operations.schedules import SCHEDULES
from lapisgrade.lab.simulation.operations.simulation import KeyedSimulation

UNIT = "tries"
DEFECTS = operation_defects.DEFECTS


def schedules_for(defect: str) -> list[str]:
    """Return the schedules to run: the one that finds the defect, or all if `defect` is empty."""
    return [operation_defects.SCHEDULE_OF_DEFECT[defect]] if defect else list(SCHEDULES)


def explore(seeds: range, defect: str = "", print_line: Print = print_nothing) -> ExplorationResult:
    """Simulate seeds until one has a violation; counts the clients' tries."""

    def simulations(seed: int) -> Iterator[tuple[str, KeyedSimulation]]:
        for schedule in schedules_for(defect):
            yield f"seed {seed}, {schedule}", SCHEDULES[schedule](seed)

    exploration = Exploration(
        DEFECTS, simulations, lambda simulation: len(simulation.operation_history.tries)
    )
    return exploration.run(seeds, defect, print_line)
