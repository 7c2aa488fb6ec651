"""lapisgrade's system: one program, whose role is a subcommand.

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
  proxy        carries clients' requests to servers, and limits
  controller   keeps the configuration and the list of servers, and takes the calls of servers and operators
  check        reads the settings file, or with conf a configuration, says what is wrong with it and how to
               mend it, and starts and sends nothing
  system-demo  a whole small system on loopback with stand-in servers, a configuration and some load

For operators:
  plan       what a change (as conf.update takes it) or a whole configuration would change, what is wrong with
             it, and what to mind; sends nothing
  loss       what the loss of those machines at once would do: disks, leader, zones, counts; changes nothing
  roll       restarts machine after machine with COMMAND, each once all is as well as it was; stops by itself
  show       the newest configuration, as JSON
  diff       what leads from the newest configuration, or from OTHER, to the one in FILE, field by field
  dump       what is on the disk of a controller that is down, each record checked; with --conf the newest
             configuration in it, as JSON; with --history what each entry of its log did, and what each
             version changed
  tenant     brings a tenant in as the file TICKET says, or takes it out: plan tells what would change and
             what speaks against it, apply and withdraw do it and follow it to every proxy
  draft      an edit where no majority can be asked: send keeps it on this side's disks, and it is merged with
             the other side's at the rejoin; settle puts into force what was set aside then, drop forgets it
  drafts     what is kept, what came of it, and what is open
  status     which version is the newest, which is in force, who holds back, and what serves

Options:
  --settings=FILE  the settings file; else the one that $LAPISGRADE_SETTINGS names
  --ctl=ADDRESSES  where controllers take calls, with commas between them
  --run=COMMAND    what restarts one machine; {} in it is its name
  --json           as control tells it, for programs
  --conf           the configuration alone, keys and all
  --history        entry by entry, since the last snapshot
  --by=NAME        who makes the draft; else $USER
  --within=S       how long to wait until a change is in force everywhere [default: 10]
  --seconds=S      how long the demo's load lasts [default: 5]
  --log=LEVEL      what is logged on standard error: debug, info, warning [default: info]

A settings file that can't be taken is told in one line, and the program ends with code 2. A controller whose
log holds what a later release wrote says so in one line, and ends with code 4.
"""

# A second command-line library beside click, on which `lapisgrade.cli` is written. Neither can take the
# other's part without a change that is seen: this module's docstring is the usage text that docopt parses and
# prints, and a bad command line prints it and ends with code 1 (click: other texts, code 2); and roles start
# through here, where click costs 51 ms of processor time to import and docopt 21 ms (medians of 7 on a busy
# machine). `lapisgrade.cli.gateway` hands these commands' arguments on as they are.

# First, as it may switch off garbage collection while a role's code loads.
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
        """Serve until `end` is called."""

    def end(self) -> None:
        """Shut down in order."""

    def reload(self, new_settings: settings.Settings) -> None:
        """Take over settings that may change while it runs."""


def load_role(name: str) -> Callable[[settings.Settings], Role]:
    """Return the class that runs a role; its code is loaded only where it runs."""
    if name == "proxy":
        from lapisgrade.gateway.proxy.process import Proxy

        return Proxy
    from lapisgrade.gateway.controller.server import Controller

    return Controller


def check_bindings(role_name: str, role_settings: settings.Settings) -> None:
    """Raise InvalidInputError where the settings lack an address that the role listens at."""
    bind = role_settings.bind
    if role_name == "proxy" and (bind.http is None or bind.readyz is None):
        raise InvalidInputError("Bind: a proxy needs Http and Readyz")


async def serve(
    role_name: str,
    role_class: Callable[[settings.Settings], Role],
    path: str | None,
) -> None:
    """Run a role: SIGTERM ends it, SIGHUP has it read its settings again.

    Args:
        role_name: as on the command line.
        role_class: what `load_role` returned.
        path: the settings file; None for the one that the environment names.
    """
    role_settings = settings.read(path)
    check_bindings(role_name, role_settings)
    role = role_class(role_settings)

    def reload() -> None:
        try:
            role.reload(settings.read(path))
            log.info("settings read again")
        except InvalidInputError as error:
            log.warning("goes on as before: %s", error)

    event_loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        event_loop.add_signal_handler(number, role.end)
    event_loop.add_signal_handler(signal.SIGHUP, reload)
    log.info("%s on %s", role_name, role_settings.hostname)
    if startup.early_signals:
        reload()
    await role.run()


def run_role(name: str, path: str | None) -> None:
    """Run a role until it is told to end."""
    role_class = load_role(name)
    startup.finish()
    with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
        runner.run(serve(name, role_class, path))


def run_operator_command(args: dict[str, Any]) -> int:
    """Run an operator's command; returns its exit code."""
    from lapisgrade.gateway.cli import commands

    if args["conf"]:
        return commands.check_configuration(args["FILE"])
    if args["dump"]:
        return commands.dump(args["DATADIR"], args["--conf"], args["--history"])
    if args["diff"] and args["OTHER"]:
        return commands.diff_files(args["OTHER"], args["FILE"])
    return asyncio.run(commands.run_with_controllers(args))


def check_settings(path: str | None) -> None:
    """Say that a settings file can be taken; raises InvalidInputError where it can't."""
    print(f"{settings.read(path).hostname}: settings can be taken")


def configure_logging(level: str | None) -> None:
    """Log to standard error, from that level on."""
    logging.basicConfig(
        stream=sys.stderr,
        level=getattr(logging, (level or "info").upper(), logging.INFO),
        format="%(name)s %(levelname)s %(message)s",
    )


def run_command(args: dict[str, Any], is_operator_command: bool) -> int:
    """Run the command that docopt read; returns its exit code."""
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
    """Run the command that `argv` names, that of the process if None; returns its exit code."""
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
