"""The gateway's subcommands of `lapisgrade`: their arguments are read by `lapisgrade.gateway.__main__`."""

import sys

import click

HELP_LINES = {
    "proxy": "Run the role that carries requests, on every machine.",
    "controller": "Run the role that keeps the configuration and the server registry.",
    "check": "Check a settings file, or with conf a configuration.",
    "plan": "Tell what a change would change, without sending it.",
    "loss": "Tell what the loss of machines would do.",
    "roll": "Restart machines in turn, as long as all stays well.",
    "show": "Print the newest configuration.",
    "diff": "Tell what leads from one configuration to another.",
    "dump": "Tell what is on the disk of a controller that is down.",
    "system-demo": "Run a whole small system on loopback, with some load.",
    "tenant": "Bring a tenant in or out, and follow it to every proxy.",
    "status": "Tell which proxies hold and act by which version.",
    "draft": "Keep an edit where no majority can be asked.",
    "drafts": "List the drafts that are kept, and what came of them.",
}
"""By command, its line in the help of `lapisgrade`."""


def forwarding_command(name: str, help_line: str) -> click.Command:
    """Return a command that hands its arguments, `--help` too, to the gateway's own reader as they are."""

    @click.command(
        name,
        help=help_line,
        add_help_option=False,
        context_settings={"ignore_unknown_options": True, "allow_extra_args": True},
    )
    @click.pass_context
    def command(context: click.Context) -> None:
        from lapisgrade.gateway.__main__ import main

        sys.exit(main([name, *context.args]))

    return command


def add_gateway_commands(group: click.Group) -> None:
    """Add all of the gateway's commands to the group."""
    for name, help_line in HELP_LINES.items():
        group.add_command(forwarding_command(name, help_line))
