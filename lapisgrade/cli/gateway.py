"""The gateway's subcommands of `lapisgrade`; `lapisgrade.gateway.__main__` parses their arguments."""

import sys

import click

HELP_LINES = {
    "proxy": "Run the proxy, the role that forwards requests, on every machine.",
    "controller": "Run the controller, the role that stores the configuration and the server registry.",
    "check": "Validate a settings file, or with conf a configuration.",
    "plan": "Show the effect of a configuration change without applying it.",
    "loss": "Show the effect of losing machines.",
    "roll": "Restart machines one after another while the system stays healthy.",
    "show": "Print the newest configuration.",
    "diff": "Show the changes between two configurations.",
    "dump": "Show the log and state on the disk of a stopped controller.",
    "system-demo": "Run a complete small system on loopback under light load.",
    "tenant": "Add or remove a tenant, and wait until every proxy has the change.",
    "status": "Show the staged and the active configuration version of each proxy.",
    "draft": "Store an edit as a draft while no majority is reachable.",
    "drafts": "List the stored drafts and the results of their merges.",
}
"""Help line of each command in `lapisgrade --help`."""


def forwarding_command(name: str, help_line: str) -> click.Command:
    """Return a command that passes its arguments, including `--help`, unchanged to the gateway's parser."""

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
