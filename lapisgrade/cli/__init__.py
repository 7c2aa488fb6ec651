"""The command line, `lapisgrade`: sub-commands on click. Nothing on the bench's path imports it."""
