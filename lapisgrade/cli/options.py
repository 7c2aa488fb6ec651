"""Options and values that several commands share."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import click

from lapisgrade import settings
from lapisgrade.lab.load import schedule

Command = TypeVar("Command", bound=Callable[..., Any])

_SHAPE_OPTIONS = (
    click.option(
        "--shape",
        type=click.Choice(schedule.SHAPES),
        default="poisson",
        show_default=True,
        help="how arrivals come",
    ),
    click.option("--rate", type=float, default=40.0, show_default=True, help="operations a second"),
    click.option("--seconds", type=float, default=10.0, show_default=True, help="length of the load"),
    click.option("--peak", type=float, default=0.0, help="rate of the step, burst or ramp's end"),
    click.option("--at", "at_s", type=float, default=0.0, help="s into the run: the step or burst"),
    click.option("--length", "length_s", type=float, default=0.0, help="s that a burst lasts"),
)


def shape_options(command: Command) -> Command:
    """Add the options that describe the shape of the traffic; `load_shape` reads them."""
    for option in reversed(_SHAPE_OPTIONS):
        command = option(command)
    return command


def load_shape(
    shape: str, rate: float, seconds: float, peak: float, at_s: float, length_s: float
) -> schedule.Shape:
    """Return the shape that `shape_options` describe.

    Raises:
        click.BadParameter: they don't go together.
    """
    load = schedule.Shape(shape, rate, seconds, peak, at_s, length_s)
    try:
        load.check()
    except schedule.BadShape as error:
        raise click.BadParameter(str(error)) from None
    return load


def parse_address(text: str, name: str = "target") -> tuple[str, int]:
    """Return host and port, read as a limiter reads its own addresses.

    Raises:
        click.BadParameter: it is no address; `name` says whose.
    """
    try:
        return settings.parse_address(text, name)
    except settings.MalformedInputError as error:
        raise click.BadParameter(str(error)) from None


def parse_names(text: str, known: Iterable[str], what: str) -> list[str]:
    """Return the names in a list with commas, all known ones where it is empty.

    Raises:
        click.BadParameter: one isn't known; `what` says what it should be the name of.
    """
    names = text.split(",") if text else list(known)
    if unknown := [name for name in names if name not in known]:
        raise click.BadParameter(f"no such {what}: {unknown[0]}; known: {', '.join(known)}")
    return names
