"""The operators' commands of the gateway; `lapisgrade.gateway.__main__` reads the command line for them."""
