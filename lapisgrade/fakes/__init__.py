"""Fakes of the services that a limiter connects to: the counter, discovery and the servers.

They implement the platform's published protocol: RESP2 for the counter, HTTP/1.1 for discovery and servers.
They run on their own (`lapisgrade standins`) or inside tests. The bench does not import them.
"""
