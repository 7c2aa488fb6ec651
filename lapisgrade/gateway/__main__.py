"""The lapisgrade gateway: one program with a subcommand per role.

Usage:
  lapisgrade proxy [--settings=FILE] [--log=LEVEL]
  lapisgrade controller [--settings=FILE] [--log=LEVEL]
  lapisgrade check [--settings=FILE]
  lapisgrade check conf FILE
  lapisgrade plan FILE --ctl=ADDRESSES
  lapisgrade loss NAME... --ctl=ADDRESSES
  lapisgrade roll NAME... --ctl=ADDRESSES --run=COMMAND [--within=S]
  lapisgrade show --ctl=ADDRESSES
  lapisgrade diff FILE (OTHER | --ctl=ADDRESSES)
  lapisgrade dump DATADIR [--conf | --history]
  lapisgrade system-demo [--seconds=S]
  lapisgrade tenant (plan | apply | withdraw) TICKET --ctl=ADDRESSES [--within=S]
  lapisgrade status --ctl=ADDRESSES [--json]
  lapisgrade draft send FILE --ctl=ADDRESSES [--by=NAME]
  lapisgrade draft (settle | drop) ID --ctl=ADDRESSES
  lapisgrade drafts --ctl=ADDRESSES [--json]
  lapisgrade (-h | --help)

Roles:
  proxy        forwards clients' requests to servers and limits them
  controller   stores the configuration and the server registry, and answers calls of servers and operators
  check        validates the settings file, or with conf a configuration, and prints errors with hints how to
               correct them; starts and sends nothing
  system-demo  runs a small system on loopback with fake servers, a sample configuration and some load

For operators:
  plan       print what a change (in the format of conf.update) or a complete configuration would change, its
             errors and warnings; sends nothing
  loss       print the consequences of losing these machines at once: voters, leader, zones, quota counts;
             changes nothing
  roll       restart machines one by one with COMMAND, each only while the system is as healthy as at the
             start; stops if a machine does not recover in time
  show       print the newest configuration, as JSON
  diff       print the differences between the newest configuration, or OTHER, and FILE, field by field
  dump       print the content of the disk of a stopped controller after checking each record; with --conf the
             newest configuration on it, as JSON; with --history the effect of each log entry and the changes
             of each version
  tenant     onboard or withdraw a tenant as described in the file TICKET: plan prints the changes and
             objections; apply and withdraw make the change and wait until it is active at every proxy
  draft      edit the configuration without a majority of controllers: send stores the edit on the reachable
             disks, to be merged with the other side's edits after the partition; settle applies the fields
             that were in conflict, drop discards them
  drafts     list the drafts, their outcomes and unresolved conflicts
  status     print the newest and the active version, the proxies that lag behind, and the servers

Options:
  --settings=FILE  settings file; default: the one named by $LAPISGRADE_SETTINGS
  --ctl=ADDRESSES  control addresses of the controllers, separated by commas
  --run=COMMAND    command that restarts one machine; {} in it is replaced by the machine's name
  --json           print the controllers' reply as JSON, for programs
  --conf           print only the configuration, including API keys
  --history        print the log entries since the last snapshot
  --by=NAME        author of the draft; default: $USER
  --within=S       seconds to wait until a change is active everywhere [default: 10]
  --seconds=S      duration of the demo's load in seconds [default: 5]
  --log=LEVEL      log level on standard error: debug, info, warning [default: info]

An invalid settings file is reported in one line, with exit code 2. A controller whose log has entries of a
later release reports it in one line, with exit code 4.
"""

# These commands use docopt, whereas `lapisgrade.cli` uses click. Replacing either would be visible: docopt
# parses and prints the docstring above as the usage text, and prints it with exit code 1 for an invalid
# command line (click: other texts, exit code 2). Roles are started by this module, and importing click costs
# 51 ms of processor time, docopt 21 ms (medians of 7 on a busy machine). `lapisgrade.cli.gateway` passes the
# arguments of these commands on unchanged.

# Imported first, as it may disable garbage collection while a role's code loads.
from lapisgrade.gateway.errors import InvalidInputError, UnreadableLogError

from lapisgrade.gateway import startup  # isort: skip

import asyncio
import logging
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol

from docopt import docopt

from lapisgrade.gateway import settings
from lapisgrade.gateway.cli.exit_codes import ExitCode
from lapisgrade.net import event_loop

log = logging.getLogger("gateway")

OPERATOR_COMMANDS = (
    "conf",
    "dump",
    "diff",
    "tenant",
    "status",
    "draft",
    "drafts",
    "plan",
    "show",
    "loss",
    "roll",
)


class Role(Protocol):
    """A proxy or a controller."""

    async def run(self) -> None:
        """Run until `end` is called."""

    def end(self) -> None:
        """Start an orderly shutdown."""

    def reload(self, new_settings: settings.Settings) -> None:
        """Apply the settings that may change at run time."""


def load_role(name: str) -> Callable[[settings.Settings], Role]:
    """Return the class of a role; imports only the code of this role."""
    if name == "proxy":
        from lapisgrade.gateway.proxy.process import Proxy

        return Proxy
    from lapisgrade.gateway.controller.server import Controller

    return Controller


def check_bindings(role_name: str, role_settings: settings.Settings) -> None:
    """Raise InvalidInputError if the settings lack an address that a proxy needs."""
    bind = role_settings.bind
    if role_name == "proxy" and (bind.http is None or bind.readyz is None):
        raise InvalidInputError("Bind: a proxy needs Http and Readyz")


async def serve(
    role_name: str,
    role_class: Callable[[settings.Settings], Role],
    path: str | None,
) -> None:
    """Run a role until SIGTERM or SIGINT; reload its settings on SIGHUP.

    Args:
        role_name: Name of the role on the command line.
        role_class: Class of the role, from `load_role`.
        path: Path of the settings file; None for the one that the environment names.
    """
    role_settings = settings.read(path)
    check_bindings(role_name, role_settings)
    role = role_class(role_settings)

    def reload() -> None:
        try:
            role.reload(settings.read(path))
            log.info("settings read again")
        except InvalidInputError as error:
            log.warning("settings not reloaded, keeping the previous ones: %s", error)

    event_loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        event_loop.add_signal_handler(number, role.end)
    event_loop.add_signal_handler(signal.SIGHUP, reload)
    log.info("%s on %s", role_name, role_settings.hostname)
    if startup.early_signals:
        reload()
    await role.run()


def run_role(name: str, path: str | None) -> None:
    """Run a role until a signal ends it."""
    role_class = load_role(name)
    startup.finish()
    with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
        runner.run(serve(name, role_class, path))


def run_operator_command(args: dict[str, Any]) -> int:
    """Run an operator's command; return its exit code."""
    from lapisgrade.gateway.cli import commands

    if args["conf"]:
        return commands.check_configuration(args["FILE"])
    if args["dump"]:
        return commands.dump(args["DATADIR"], args["--conf"], args["--history"])
    if args["diff"] and args["OTHER"]:
        return commands.diff_files(args["OTHER"], args["FILE"])
    return asyncio.run(commands.run_with_controllers(args))


def check_settings(path: str | None) -> None:
    """Print that a settings file is valid; raise InvalidInputError if it is not."""
    print(f"{settings.read(path).hostname}: settings can be taken")


def configure_logging(level: str | None) -> None:
    """Log to standard error from the given level on."""
    logging.basicConfig(
        stream=sys.stderr,
        level=getattr(logging, (level or "info").upper(), logging.INFO),
        format="%(name)s %(levelname)s %(message)s",
    )


def run_command(args: dict[str, Any], is_operator_command: bool) -> int:
    """Run the command that docopt parsed; return its exit code."""
    if is_operator_command:
        return run_operator_command(args)
    if args["system-demo"]:
        from lapisgrade.gateway.cli.demo import run_demo

        return asyncio.run(run_demo(float(args["--seconds"])))
    if args["check"]:
        check_settings(args["--settings"])
    else:
        run_role("proxy" if args["proxy"] else "controller", args["--settings"])
    return ExitCode.DONE


def main(argv: list[str] | None = None) -> int:
    """Run the command in `argv`, by default the process's arguments; return its exit code."""
    args = docopt(__doc__, argv)
    configure_logging(args["--log"])
    is_operator_command = any(args[name] for name in OPERATOR_COMMANDS)
    try:
        return run_command(args, is_operator_command)
    except InvalidInputError as error:
        print(f"{'lapisgrade' if is_operator_command else 'settings'}: {error}", file=sys.stderr)
        return ExitCode.INVALID_INPUT
    except UnreadableLogError as error:
        log.error("%s", error)
        return ExitCode.UNREADABLE_LOG


if __name__ == "__main__":
    sys.exit(main())
