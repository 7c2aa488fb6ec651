"""Options and argument parsers shared by several commands."""

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
        help="arrival process",
    ),
    click.option("--rate", type=float, default=40.0, show_default=True, help="operations per second"),
    click.option("--seconds", type=float, default=10.0, show_default=True, help="duration of the load"),
    click.option(
        "--peak", type=float, default=0.0, help="rate of the step or burst, or at the end of the ramp"
    ),
    click.option("--at", "at_s", type=float, default=0.0, help="start of the step or burst, in s"),
    click.option("--length", "length_s", type=float, default=0.0, help="duration of the burst, in s"),
)


def shape_options(command: Command) -> Command:
    """Add the options that describe the shape of the load, for `load_shape`."""
    for option in reversed(_SHAPE_OPTIONS):
        command = option(command)
    return command


def load_shape(
    shape: str, rate: float, seconds: float, peak: float, at_s: float, length_s: float
) -> schedule.Shape:
    """Return the shape that the values of `shape_options` describe.

    Raises:
        click.BadParameter: A value is invalid or conflicts with another.
    """
    load = schedule.Shape(shape, rate, seconds, peak, at_s, length_s)
    try:
        load.check()
    except schedule.ScheduleError as error:
        raise click.BadParameter(str(error)) from None
    return load


def parse_address(text: str, name: str = "target") -> tuple[str, int]:
    """Return host and port, parsed like the addresses of a limiter's configuration.

    Raises:
        click.BadParameter: The text is not an address; the message includes `name`.
    """
    try:
        return settings.parse_address(text, name)
    except settings.MalformedInputError as error:
        raise click.BadParameter(str(error)) from None


def parse_names(text: str, known: Iterable[str], kind: str) -> list[str]:
    """Return the names in a comma-separated list, or all known ones if it is empty.

    Raises:
        click.BadParameter: A name is unknown; the message includes `kind`, what the name stands for.
    """
    names = text.split(",") if text else list(known)
    if unknown := [name for name in names if name not in known]:
        raise click.BadParameter(f"no such {kind}: {unknown[0]}; known: {', '.join(known)}")
    return names
