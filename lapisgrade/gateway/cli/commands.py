"""Operators' commands: each gets the arguments from docopt, prints its output, and returns its exit code.

Invalid input and unreachable controllers raise `InvalidInputError`.
"""

import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from lapisgrade.gateway import configuration, settings
from lapisgrade.gateway.cli import configuration_check
from lapisgrade.gateway.cli.disk_report import DiskReport
from lapisgrade.gateway.cli.drafts import DraftClient, author_name
from lapisgrade.gateway.cli.exit_codes import ExitCode
from lapisgrade.gateway.cli.machine_loss import describe_loss
from lapisgrade.gateway.cli.operator_client import JsonObject, OperatorClient
from lapisgrade.gateway.cli.rollout import RollingRestart, run_shell
from lapisgrade.gateway.cli.tenants import TenantClient
from lapisgrade.gateway.errors import InvalidInputError

Arguments = dict[str, Any]
"""Arguments from docopt, by the name of a command, option or argument in `gateway.__main__`."""


def read_file(path: str) -> bytes:
    """Return the bytes of a file.

    Raises:
        InvalidInputError: The file can't be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise InvalidInputError(str(error)) from None


def print_section(title: str, lines: list[str]) -> None:
    """Print indented lines under a title, or nothing if there are no lines."""
    if lines:
        print(title)
        for line in lines:
            print(f"  {line}")


# ---- commands without a controller


def check_configuration(path: str) -> ExitCode:
    """Check a configuration file; print its errors, with hints on how to correct them, and warnings."""
    errors, warnings = configuration_check.check_text(read_file(path))
    print_section("wrong:", errors)
    print_section("warnings:", warnings)
    if errors:
        return ExitCode.OBJECTION
    print("it can be taken")
    return ExitCode.DONE


def diff_files(before: str, after: str) -> ExitCode:
    """Print the differences between two valid configuration files; return OBJECTION if there are any."""
    configurations = [configuration_check.read(read_file(path)) for path in (before, after)]
    for raw in configurations:
        configuration.read(raw)
    lines = configuration_check.describe_changes(*configurations)
    print_section("changes:", lines)
    return ExitCode.OBJECTION if lines else ExitCode.DONE


def dump(folder: str, show_configuration: bool, show_history: bool) -> ExitCode:
    """Print the content of a stopped controller's disk.

    Args:
        folder: The controller's data folder.
        show_configuration: Whether to print only the newest configuration on the disk.
        show_history: Whether to print the log entries instead of the summary.
    """
    report = DiskReport(folder)
    if show_configuration:
        if not report.state_machine.state.configuration:
            raise InvalidInputError(f"{folder}: no configuration is on it")
        print(report.state_machine.state.configuration.decode())
        return ExitCode.DONE
    for line in report.history if show_history else report.summary():
        print(line)
    return ExitCode.DONE


# ---- commands that get the newest configuration and the reply of `conf.status`


async def show(args: Arguments, current: JsonObject, status: JsonObject, client: OperatorClient) -> ExitCode:
    """Print the newest configuration, as JSON."""
    print(json.dumps(current, indent=1))
    return ExitCode.DONE


async def loss(args: Arguments, current: JsonObject, status: JsonObject, client: OperatorClient) -> ExitCode:
    """Print the consequences of losing machines; return OBJECTION if no quorum would remain."""
    lines, has_majority = describe_loss(configuration.read(current), status, args["NAME"])
    print_section("consequences:", lines)
    return ExitCode.DONE if has_majority else ExitCode.OBJECTION


async def rolling_restart(
    args: Arguments, current: JsonObject, status: JsonObject, client: OperatorClient
) -> ExitCode:
    """Restart machines one by one."""
    timeout_s = float(args["--within"])
    rollout = RollingRestart(client, lambda name: run_shell(args["--run"], name), print, timeout_s)
    return await rollout.run(args["NAME"])


async def diff(args: Arguments, current: JsonObject, status: JsonObject, client: OperatorClient) -> ExitCode:
    """Print the differences between the newest configuration and a file; return OBJECTION if any."""
    proposed = configuration_check.read(read_file(args["FILE"]))
    configuration.read(proposed)
    lines = configuration_check.describe_changes(current, proposed)
    print_section(f"changes to version {current.get('Ver', 0)}:", lines)
    return ExitCode.OBJECTION if lines else ExitCode.DONE


async def plan(args: Arguments, current: JsonObject, status: JsonObject, client: OperatorClient) -> ExitCode:
    """Print the effects of a change, its errors and warnings; return OBJECTION if it has errors."""
    change = configuration_check.read(read_file(args["FILE"]))
    lines, errors, warnings = configuration_check.check_change(current, change, status["Servers"])
    print_section(f"changes to version {current.get('Ver', 0)}:", lines)
    print_section("wrong:", errors)
    print_section("warnings:", warnings)
    return ExitCode.OBJECTION if errors else ExitCode.DONE


ConfigurationCommand = Callable[[Arguments, JsonObject, JsonObject, OperatorClient], Awaitable[ExitCode]]

CONFIGURATION_COMMANDS: dict[str, ConfigurationCommand] = {
    "show": show,
    "loss": loss,
    "roll": rolling_restart,
    "diff": diff,
    "plan": plan,
}
"""Commands by name; each gets the arguments, the newest configuration, the status and the client."""

# ---- other commands that call controllers


async def print_reply(client: OperatorClient, call: str) -> ExitCode:
    """Print a call's reply as JSON, for programs."""
    status_code, reply = await client.call(call)
    if status_code != HTTPStatus.OK:
        raise InvalidInputError("no controller replied, or the cluster has no leader")
    print(json.dumps(reply, indent=1))
    return ExitCode.DONE


async def draft(args: Arguments, client: DraftClient) -> ExitCode:
    """Send, settle or drop a draft."""
    if args["send"]:
        return await client.send(read_file(args["FILE"]), author_name(args["--by"]))
    return await (client.settle(args["ID"]) if args["settle"] else client.drop(args["ID"]))


async def tenant(args: Arguments, client: TenantClient) -> ExitCode:
    """Plan an onboarding, or onboard or withdraw a tenant."""
    text = read_file(args["TICKET"])
    if args["plan"]:
        return await client.print_plan(text)
    return await client.apply(text, float(args["--within"]), args["withdraw"])


async def run_with_controllers(args: Arguments) -> ExitCode:
    """Run a command that calls controllers.

    Raises:
        InvalidInputError: A file, an address or a value is invalid, or no controller replies.
    """
    try:
        controllers = [settings.parse_address(address) for address in args["--ctl"].split(",")]
        client = OperatorClient(controllers, print)
        if args["tenant"]:
            return await tenant(args, TenantClient(controllers, print))
        if args["draft"]:
            return await draft(args, DraftClient(controllers, print))
        if args["--json"]:
            return await print_reply(client, "conf.drafts" if args["drafts"] else "conf.status")
        if args["drafts"]:
            return await DraftClient(controllers, print).print_drafts()
        if args["status"]:
            return await client.print_status()
        command = next(command for name, command in CONFIGURATION_COMMANDS.items() if args[name])
        current, status = await client.fetch_newest()
        return await command(args, current, status, client)
    except (OSError, ValueError) as error:
        raise InvalidInputError(str(error)) from None
