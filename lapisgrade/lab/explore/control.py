"""The control plane explored: all courses of `lab/simulation/courses.py` by seed, and wrong versions."""

from collections.abc import Callable

from lapisgrade.lab.explore.defects import Defects, switched
from lapisgrade.lab.simulation import mutants
from lapisgrade.lab.simulation.courses import COURSES
from lapisgrade.lab.simulation.plays import Play

UNIT = "acknowledged changes"
DEFECTS: Defects = mutants.MUTANTS
MOST_SAID = 30  # lines that are told of what led to the first thing that was wrong


def courses_for(name: str) -> list[str]:
    """The courses that are played: the one that finds that wrong version, all for none."""
    return [course for group, course in mutants.COURSES_OF if name in group] or list(COURSES)


def explore(seeds: range, name: str = "", say: Callable[[str], None] = lambda line: None) -> tuple[int, int]:
    """Play each seed; the changes that were acknowledged, and the first seed that went wrong, -1 for none."""
    count = 0
    with switched(DEFECTS, name):
        for seed in seeds:
            for course in courses_for(name):
                play: Play = COURSES[course](seed)
                count += play.acknowledged()
                if play.wrong:
                    say(f"seed {seed}, {course}:")
                    for line in play.transcript(MOST_SAID):
                        say(line)
                    return count, seed
    return count, -1
