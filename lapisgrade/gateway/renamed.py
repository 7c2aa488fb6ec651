"""The command `lapisgrade-railway`, an earlier name of this program: says what the command is called now."""

import sys

from lapisgrade.gateway.cli.exit_codes import ExitCode

RENAMED_COMMANDS = {"carrier": "proxy", "signalbox": "controller", "demo": "system-demo"}


def renamed_command_line(arguments: list[str]) -> str:
    """Say today's command line for one of `lapisgrade-railway`."""
    command = [RENAMED_COMMANDS.get(name, name) for name in arguments[:1]]
    return f"lapisgrade-railway is now: {' '.join(['lapisgrade', *command, *arguments[1:]])}"


def main() -> int:
    """Print the command line of today, and end with 2."""
    print(renamed_command_line(sys.argv[1:]), file=sys.stderr)
    return ExitCode.INVALID_INPUT
