"""Operators' commands: each is given what docopt read, prints for people or programs, and returns its code.

What can't be read, and a controller that can't be reached, raise `InvalidInputError`.
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
"""What docopt read: by the name of a command, option or argument, as in `gateway.__main__`."""


def read_file(path: str) -> bytes:
    """Return the bytes of a file.

    Raises:
        InvalidInputError: it can't be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise InvalidInputError(str(error)) from None


def print_section(title: str, lines: list[str]) -> None:
    """Print lines under a title; nothing where there are none."""
    if lines:
        print(title)
        for line in lines:
            print(f"  {line}")


# ---- commands that need no controller


def check_configuration(path: str) -> ExitCode:
    """Check a configuration's file, and print each mistake with how to mend it."""
    errors, warnings = configuration_check.check_text(read_file(path))
    print_section("wrong:", errors)
    print_section("mind:", warnings)
    if errors:
        return ExitCode.OBJECTION
    print("it can be taken")
    return ExitCode.DONE


def diff_files(before: str, after: str) -> ExitCode:
    """Print what differs between two configurations' files."""
    configurations = [configuration_check.read(read_file(path)) for path in (before, after)]
    for raw in configurations:
        configuration.read(raw)
    lines = configuration_check.describe_changes(*configurations)
    print_section("changes:", lines)
    return ExitCode.OBJECTION if lines else ExitCode.DONE


def dump(folder: str, show_configuration: bool, show_history: bool) -> ExitCode:
    """Print what is on the disk of a controller that is down."""
    report = DiskReport(folder)
    if show_configuration:
        if not report.state_machine.state.configuration:
            raise InvalidInputError(f"{folder}: no configuration is on it")
        print(report.state_machine.state.configuration.decode())
        return ExitCode.DONE
    for line in report.history if show_history else report.summary():
        print(line)
    return ExitCode.DONE


# ---- commands on the newest configuration, which are given it and `conf.status`


async def show(args: Arguments, current: JsonObject, status: JsonObject, client: OperatorClient) -> ExitCode:
    """Print the newest configuration, as JSON."""
    print(json.dumps(current, indent=1))
    return ExitCode.DONE


async def loss(args: Arguments, current: JsonObject, status: JsonObject, client: OperatorClient) -> ExitCode:
    """Print what the loss of machines would do."""
    lines, has_majority = describe_loss(configuration.read(current), status, args["NAME"])
    print_section("without them:", lines)
    return ExitCode.DONE if has_majority else ExitCode.OBJECTION


async def rolling_restart(
    args: Arguments, current: JsonObject, status: JsonObject, client: OperatorClient
) -> ExitCode:
    """Restart machines in turn."""
    timeout_s = float(args["--within"])
    rollout = RollingRestart(client, lambda name: run_shell(args["--run"], name), print, timeout_s)
    return await rollout.run(args["NAME"])


async def diff(args: Arguments, current: JsonObject, status: JsonObject, client: OperatorClient) -> ExitCode:
    """Print what differs between the newest configuration and a file's."""
    given = configuration_check.read(read_file(args["FILE"]))
    configuration.read(given)
    lines = configuration_check.describe_changes(current, given)
    print_section(f"changes on top of version {current.get('Ver', 0)}:", lines)
    return ExitCode.OBJECTION if lines else ExitCode.DONE


async def plan(args: Arguments, current: JsonObject, status: JsonObject, client: OperatorClient) -> ExitCode:
    """Print what a change would change, and what is wrong with it."""
    given = configuration_check.read(read_file(args["FILE"]))
    lines, errors, warnings = configuration_check.check_change(current, given, status["Servers"])
    print_section(f"changes on top of version {current.get('Ver', 0)}:", lines)
    print_section("wrong:", errors)
    print_section("mind:", warnings)
    return ExitCode.OBJECTION if errors else ExitCode.DONE


ConfigurationCommand = Callable[[Arguments, JsonObject, JsonObject, OperatorClient], Awaitable[ExitCode]]

CONFIGURATION_COMMANDS: dict[str, ConfigurationCommand] = {
    "show": show,
    "loss": loss,
    "roll": rolling_restart,
    "diff": diff,
    "plan": plan,
}

# ---- commands that ask the controllers for something else


async def print_reply(client: OperatorClient, call: str) -> ExitCode:
    """Print a call's reply as the controllers have it, for programs."""
    status_code, reply = await client.call(call)
    if status_code != HTTPStatus.OK:
        raise InvalidInputError("no controller answers, or none leads")
    print(json.dumps(reply, indent=1))
    return ExitCode.DONE


async def draft(args: Arguments, client: DraftClient) -> ExitCode:
    """Keep an edit where no majority can be asked, settle it or drop it."""
    if args["send"]:
        return await client.send(read_file(args["FILE"]), author_name(args["--by"]))
    return await (client.settle(args["ID"]) if args["settle"] else client.drop(args["ID"]))


async def tenant(args: Arguments, client: TenantClient) -> ExitCode:
    """Bring a tenant in, or out."""
    text = read_file(args["TICKET"])
    if args["plan"]:
        return await client.print_plan(text)
    return await client.apply(text, float(args["--within"]), args["withdraw"])


async def run_with_controllers(args: Arguments) -> ExitCode:
    """Run a command that asks the controllers for something."""
    try:
        controllers = [settings.parse_address(each) for each in args["--ctl"].split(",")]
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
