"""`lapisgrade lab`: the laboratory commands."""

import click

from lapisgrade.cli.lab_comparisons import balancing, capacity, quota
from lapisgrade.cli.lab_emulator import report, run, sweep
from lapisgrade.cli.lab_faults import explore, partitions
from lapisgrade.cli.lab_fleet import fleet

RENAMED_COMMANDS = {"line": "partitions", "turnstile": "quota", "shunting": "balancing"}


class LaboratoryGroup(click.Group):
    """A group whose error for a renamed command states the new name."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Resolve a command as click does; fail with the new name if it was renamed."""
        if args and args[0] in RENAMED_COMMANDS:
            ctx.fail(f"'lab {args[0]}' is now 'lab {RENAMED_COMMANDS[args[0]]}'")
        return super().resolve_command(ctx, args)


@click.group(cls=LaboratoryGroup)
def lab() -> None:
    """The laboratory: emulated fleets in simulated time, and reports of their runs."""


for command in (run, report, sweep, balancing, capacity, explore, quota, partitions, fleet):
    lab.add_command(command)
