"""The operators' commands of the gateway; `lapisgrade.gateway.__main__` parses their command line."""
