"""The data plane explored beside the control plane (`lab/simulation/data_plane.py`), and wrong versions."""

from collections.abc import Iterator

from lapisgrade.lab.explore.exploration import Exploration, ExplorationResult, Print, print_nothing
from lapisgrade.lab.simulation import data_plane_mutants
from lapisgrade.lab.simulation.data_plane import DataPlane, played

UNIT = "requests"
DEFECTS = data_plane_mutants.DEFECTS


def _simulations(seed: int) -> Iterator[tuple[str, DataPlane]]:
    yield f"seed {seed}", played(seed)


EXPLORATION = Exploration(DEFECTS, _simulations, lambda play: len(play.sent_us))


def explore(seeds: range, defect: str = "", print_line: Print = print_nothing) -> ExplorationResult:
    """Simulate each seed until one goes wrong; counts the requests that were sent to servers."""
    return EXPLORATION.run(seeds, defect, print_line)
