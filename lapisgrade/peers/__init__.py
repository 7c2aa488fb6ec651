"""Datagrams between processes: frames (`frame`) over UDP (`udp`).

`lapisgrade.members` and `lapisgrade.gateway.membership` send their messages with it.
`python -m lapisgrade` neither uses nor imports it.
"""
