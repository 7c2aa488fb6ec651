"""The control plane explored: all courses of `lab/simulation/courses.py` by seed, and wrong versions."""

from collections.abc import Iterator

from lapisgrade.lab.explore.exploration import Exploration, ExplorationResult, Print, print_nothing
from lapisgrade.lab.simulation import mutants
from lapisgrade.lab.simulation.courses import COURSES
from lapisgrade.lab.simulation.plays import Play

UNIT = "acknowledged changes"
DEFECTS = mutants.MUTANTS


def courses_for(defect: str) -> list[str]:
    """The courses that are played: the one that finds that wrong version, all for none."""
    return [course for group, course in mutants.COURSES_OF if defect in group] or list(COURSES)


def explore(seeds: range, defect: str = "", print_line: Print = print_nothing) -> ExplorationResult:
    """Simulate each seed until one goes wrong; counts the changes that were acknowledged."""

    def simulations(seed: int) -> Iterator[tuple[str, Play]]:
        for course in courses_for(defect):
            yield f"seed {seed}, {course}", COURSES[course](seed)

    exploration = Exploration(DEFECTS, simulations, lambda play: play.acknowledged())
    return exploration.run(seeds, defect, print_line)
