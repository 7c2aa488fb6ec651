"""The proxy process: sockets, timers and RPC calls for the decisions of `lapisgrade.gateway.routing`."""
