"""The search for a seed that breaks an invariant, which all explorations share."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

from lapisgrade.lab.explore.defects import Defects, injected

NO_SEED = -1
"""In place of a seed, where none went wrong."""

MAX_TRANSCRIPT_LINES = 24
"""Lines that are printed of what led to the first violation."""

Print = Callable[[str], None]


def print_nothing(line: str) -> None:
    """Ignore a line of output."""


class Simulation(Protocol):
    """What happened by one seed."""

    @property
    def is_wrong(self) -> bool:
        """Whether an invariant was broken."""

    def transcript(self) -> list[str]:
        """What led to the first violation."""


class ExplorationResult(NamedTuple):
    """What came of an exploration."""

    total: int  # of what the exploration counts (its `UNIT`)
    wrong_seed: int  # the first one, NO_SEED for none


AnySimulation = TypeVar("AnySimulation", bound=Simulation)


@dataclass(frozen=True, slots=True)
class Exploration(Generic[AnySimulation]):
    """What is simulated by each seed, and the defects that can be put in."""

    defects: Defects
    simulations: Callable[[int], Iterable[tuple[str, AnySimulation]]]  # by seed: each with a title
    count: Callable[[AnySimulation], int]
    crashes: tuple[type[Exception], ...] = ()  # errors that count as a violation

    def run(self, seeds: Iterable[int], defect: str, print_line: Print) -> ExplorationResult:
        """Simulate seeds until one breaks an invariant.

        Args:
            seeds: simulated in this order.
            defect: a known defect to put in; none where it is empty.
            print_line: called with each line of what led to the violation.
        """
        count = 0
        with injected(self.defects, defect):
            for seed in seeds:
                try:
                    for title, simulation in self.simulations(seed):
                        count += self.count(simulation)
                        if simulation.is_wrong:
                            print_line(f"{title}:")
                            for line in simulation.transcript():
                                print_line(line)
                            return ExplorationResult(count, seed)
                except self.crashes as error:
                    print_line(f"seed {seed}: WRONG: {type(error).__name__}")
                    return ExplorationResult(count, seed)
        return ExplorationResult(count, NO_SEED)


def lines_up_to_violation(lines: list[str], max_before: int = MAX_TRANSCRIPT_LINES) -> list[str]:
    """The lines before the first one that says WRONG, and that one; the last lines where none does."""
    at = next((index for index, line in enumerate(lines) if "WRONG" in line), len(lines) - 1)
    return lines[max(0, at - max_before) : at + 1]
