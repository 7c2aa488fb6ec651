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

A settings file that can't be taken is told in one line, and the program ends with code 2.
"""

from lapisgrade.gateway import startup  # first, before what takes long to load

import asyncio
import logging
import signal
import sys

from docopt import docopt

from lapisgrade.net import event_loop
from lapisgrade.gateway import settings

log = logging.getLogger("gateway")

OPERATORS = ("conf", "dump", "diff", "tenant", "status", "draft", "drafts", "plan", "show", "loss", "roll")


def program(role: str) -> type:
    """The class that runs that role; its code is loaded only where it runs."""
    if role == "proxy":
        from lapisgrade.gateway.proxy.process import Proxy

        return Proxy
    from lapisgrade.gateway.controller.server import Controller

    return Controller


async def serve(role: str, made: type, path: str | None, early: list[int]) -> None:
    """One role until it is told to end: SIGTERM ends it, SIGHUP has it read its settings again, also one that
    came `early`, while it started."""
    told = settings.read(path)
    if role == "proxy" and (told.bind.http is None or told.bind.readyz is None):
        raise settings.Bad("Bind: a proxy needs Http and Readyz")
    running = made(told)

    def reload() -> None:
        try:
            running.reload(settings.read(path))
            log.info("settings read again")
        except settings.Bad as wrong:
            log.warning("goes on as before: %s", wrong)

    here = asyncio.get_running_loop()
    for each in (signal.SIGTERM, signal.SIGINT):
        here.add_signal_handler(each, running.end)
    here.add_signal_handler(signal.SIGHUP, reload)
    log.info("%s on %s", role, told.hostname)
    if early:
        reload()
    await running.run()


def run_command(args: dict) -> int:
    """Run an operator's command; the exit code."""
    from lapisgrade.gateway.cli import commands

    if args["conf"]:
        return commands.check_configuration(args["FILE"])
    if args["dump"]:
        return commands.dump(args["DATADIR"], args["--conf"], args["--history"])
    if args["diff"] and args["OTHER"]:
        return commands.diff_files(args["OTHER"], args["FILE"])
    return asyncio.run(commands.operate(args))


def run_role(role: str, path: str | None) -> None:
    """Run a role until it is told to end."""
    early: list[int] = []  # a SIGHUP that nobody has a handler for ends a process
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    made = program(role)
    startup.finished()
    with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
        runner.run(serve(role, made, path, early))


def main(argv: list[str] | None = None) -> int:
    """Run the command that `argv` names, that of the process if None; the exit code."""
    args = docopt(__doc__, argv)
    level = (args["--log"] or "info").upper()
    logging.basicConfig(
        stream=sys.stderr,
        level=getattr(logging, level, logging.INFO),
        format="%(name)s %(levelname)s %(message)s",
    )
    operates = any(args[each] for each in OPERATORS)
    try:
        if operates:
            return run_command(args)
        if args["check"]:
            told = settings.read(args["--settings"])
            print(f"{told.hostname}: settings can be taken")
        elif args["system-demo"]:
            from lapisgrade.gateway.cli.demo import demo

            return asyncio.run(demo(float(args["--seconds"])))
        else:
            run_role("proxy" if args["proxy"] else "controller", args["--settings"])
    except settings.Bad as wrong:
        print(f"{'lapisgrade' if operates else 'settings'}: {wrong}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
