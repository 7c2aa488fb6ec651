"""python -m lapisgrade.cli: the same as the `lapisgrade` command."""

from lapisgrade.cli.main import main

main()
