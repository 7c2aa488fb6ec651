"""Entry point of `python -m lapisgrade.cli`, equivalent to the `lapisgrade` command."""

from lapisgrade.cli.main import main

main()
