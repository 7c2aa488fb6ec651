"""`lapisgrade serve`: run one limiter until SIGTERM."""

import os
import sys

import click

from lapisgrade.settings import MalformedInputError


@click.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option(
    "--site",
    type=click.Path(dir_okay=False),
    default=None,
    help="operator's file (deploy/peers.toml) that enables membership between limiters",
)
def serve(config: str, site: str | None) -> None:
    """Run one limiter with the configuration file CONFIG.

    SIGTERM stops it, SIGHUP reloads the configuration, SIGUSR1 logs its counters.
    """
    from lapisgrade.__main__ import main as run_limiter
    from lapisgrade.net.service_configuration import read_configuration

    os.environ["ROUTER_CONFIG"] = config
    peers = None
    if site is not None:
        from lapisgrade.members import site as members

        try:
            settings = members.read_settings(site)
            peers = members.member_service(settings, str(read_configuration(config).get("name", "")))
        except MalformedInputError as error:
            click.echo(f"the configuration: {error}", err=True)
            sys.exit(2)
    sys.exit(run_limiter(peers))
