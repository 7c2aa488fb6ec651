"""The command `lapisgrade-railway`, a former name of this program: prints the current command line."""

import sys

from lapisgrade.gateway.cli.exit_codes import ExitCode

RENAMED_COMMANDS = {"carrier": "proxy", "signalbox": "controller", "demo": "system-demo"}


def renamed_command_line(arguments: list[str]) -> str:
    """Return a message with the current command line for the arguments of `lapisgrade-railway`."""
    command = [RENAMED_COMMANDS.get(name, name) for name in arguments[:1]]
    return f"lapisgrade-railway is now: {' '.join(['lapisgrade', *command, *arguments[1:]])}"


def main() -> int:
    """Print the current command line; return exit code 2."""
    print(renamed_command_line(sys.argv[1:]), file=sys.stderr)
    return ExitCode.INVALID_INPUT
