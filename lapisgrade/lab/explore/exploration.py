"""The search for a seed that violates an invariant, common to all explorations."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

from lapisgrade.lab.explore.defects import Defects, injected

NO_SEED = -1
"""Value of `ExplorationResult.failing_seed` if no seed has a violation."""

MAX_TRANSCRIPT_LINES = 24
"""Maximum number of transcript lines before a violation."""

Print = Callable[[str], None]


def print_nothing(line: str) -> None:
    """Ignore a line of output."""


class Simulation(Protocol):
    """The simulation of one seed."""

    @property
    def has_violation(self) -> bool:
        """Whether an invariant was violated."""

    def transcript(self) -> list[str]:
        """Return the transcript lines that lead to the first violation."""


class ExplorationResult(NamedTuple):
    """The result of an exploration."""

    unit_count: int  # in the exploration's `UNIT`
    failing_seed: int  # first seed with a violation, or NO_SEED


AnySimulation = TypeVar("AnySimulation", bound=Simulation)


@dataclass(frozen=True, slots=True)
class Exploration(Generic[AnySimulation]):
    """A search over seeds.

    Attributes:
        defects: The defects that can be injected.
        simulations: Runs the simulations of a seed, and yields each with a title.
        count: Returns the size of a simulation in the exploration's unit.
        crashes: Exceptions that count as a violation.
    """

    defects: Defects
    simulations: Callable[[int], Iterable[tuple[str, AnySimulation]]]
    count: Callable[[AnySimulation], int]
    crashes: tuple[type[Exception], ...] = ()

    def run(self, seeds: Iterable[int], defect: str, print_line: Print) -> ExplorationResult:
        """Simulate seeds until one violates an invariant.

        Args:
            seeds: The seeds in the order of their simulation.
            defect: Name of the defect to inject; empty for none.
            print_line: Called with each line of the violation's transcript.

        Returns:
            The size of all simulations, and the seed of the violation or NO_SEED.
        """
        count = 0
        with injected(self.defects, defect):
            for seed in seeds:
                try:
                    for title, simulation in self.simulations(seed):
                        count += self.count(simulation)
                        if simulation.has_violation:
                            print_line(f"{title}:")
                            for line in simulation.transcript():
                                print_line(line)
                            return ExplorationResult(count, seed)
                except self.crashes as error:
                    print_line(f"seed {seed}: WRONG: {type(error).__name__}")
                    return ExplorationResult(count, seed)
        return ExplorationResult(count, NO_SEED)


def transcript_up_to_violation(lines: list[str], max_before: int = MAX_TRANSCRIPT_LINES) -> list[str]:
    """Return the first line that contains WRONG with at most `max_before` lines before it.

    If no line contains WRONG, the last line takes its place.
    """
    last = next((index for index, line in enumerate(lines) if "WRONG" in line), len(lines) - 1)
    return lines[max(0, last - max_before) : last + 1]
