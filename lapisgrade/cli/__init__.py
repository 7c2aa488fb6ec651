"""The command line `lapisgrade`: click subcommands. The bench does not import it."""
