"""Runs of cases with seeds, and the Markdown table of their results, as all fault scenarios print them."""

import tempfile
from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol, TypeVar


class CaseResult(Protocol):
    """The result of one run: at least what happened and must not."""

    violations: list[str]


ResultT = TypeVar("ResultT", bound=CaseResult)
RunCase = Callable[[str, int, str, Random], Awaitable[ResultT]]
"""Runs a case, given its name, the network of its machines in 127/8, a folder, and the random generator."""


async def run_with_seed(run_case: RunCase[ResultT], case: str, seed: int, net: int) -> ResultT:
    """Run a case in a temporary folder; raises what `run_case` raises."""
    with tempfile.TemporaryDirectory() as folder:
        return await run_case(case, net, folder, Random(seed))


def labelled_violations(case: str, seed: int, result: CaseResult) -> list[str]:
    """Return the violations of a run, each with the case and the seed that reproduce it."""
    return [f"{case}, seed {seed}: {violation}" for violation in result.violations]


def print_header(titles: list[str], echo: Callable[[str], None]) -> None:
    """Print the head of a table."""
    print_row(titles, echo)
    print_row(["---"] * len(titles), echo)


def print_row(cells: list[str], echo: Callable[[str], None]) -> None:
    """Print one row of a table."""
    echo(f"| {' | '.join(cells)} |")
