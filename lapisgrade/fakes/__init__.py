"""Fakes of what a limiter talks to: the counter, discovery and the servers.

Written from the platform's published protocol (RESP2 for the counter, HTTP/1.1 for discovery and servers),
each runnable alone (`lapisgrade standins`) and embeddable in tests. Nothing on the bench's path imports them.
"""
