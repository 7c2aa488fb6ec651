"""Exploration of data plane and control plane (`lab/simulation/data_plane.py`), and known defects."""

from collections.abc import Iterator

from lapisgrade.lab.explore.exploration import Exploration, ExplorationResult, Print, print_nothing
from lapisgrade.lab.simulation.data_plane import DataPlaneSimulation, simulate
from lapisgrade.lab.simulation.defects import data_plane as data_plane_defects

UNIT = "requests"
DEFECTS = data_plane_defects.DEFECTS


def _simulations(seed: int) -> Iterator[tuple[str, DataPlaneSimulation]]:
    yield f"seed {seed}", simulate(seed)


EXPLORATION = Exploration(DEFECTS, _simulations, lambda simulation: len(simulation.sent_us))


def explore(seeds: range, defect: str = "", print_line: Print = print_nothing) -> ExplorationResult:
    """Simulate seeds until one has a violation; counts the requests that were sent to servers."""
    return EXPLORATION.run(seeds, defect, print_line)
