"""Fault scenarios with the gateway's processes on loopback, whose links can be cut."""
