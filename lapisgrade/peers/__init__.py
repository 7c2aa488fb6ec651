"""Datagrams between processes: frames (`frame`) over UDP (`udp`).

`lapisgrade.members` and `lapisgrade.gateway.membership` send their messages by it.
Off, and not imported, in `python -m lapisgrade`.
"""
