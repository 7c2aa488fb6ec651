"""The proxy's process: sockets, timers and calls around the decisions of `lapisgrade.gateway.routing`."""
