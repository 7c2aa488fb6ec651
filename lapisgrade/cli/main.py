"""`lapisgrade`: the command line.

    lapisgrade serve CONFIG            one limiter, as `python -m lapisgrade` with ROUTER_CONFIG=CONFIG
    lapisgrade demo [--load]           fakes and limiters in one process on loopback
    lapisgrade standins                the fakes alone, at the sample configuration's addresses
    lapisgrade load TARGET...          send open-loop load to running limiters
    lapisgrade lab run SCENARIO        an emulated fleet in simulated time
    lapisgrade lab report RUN...       plots and an HTML page of emulated runs
    lapisgrade lab fleet run SCENARIO  the same scenario with real processes and a checker
    lapisgrade proxy|controller        the gateway's roles; check, plan, status, tenant and others operate it

click parses the arguments, except those of the gateway's commands, which docopt parses
(`lapisgrade.gateway.__main__` gives the reason). Invalid input prints one line and exits with code 2.
"""

import click

from lapisgrade.cli.fake_site import demo, standins
from lapisgrade.cli.gateway import add_gateway_commands
from lapisgrade.cli.lab import lab
from lapisgrade.cli.limiter import serve
from lapisgrade.cli.load import load


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """lapisgrade: an API gateway that limits many customers' use of a shared service."""


for command in (serve, demo, standins, load, lab):
    cli.add_command(command)
add_gateway_commands(cli)


def main() -> None:
    """Run the command `lapisgrade`."""
    cli(prog_name="lapisgrade")
