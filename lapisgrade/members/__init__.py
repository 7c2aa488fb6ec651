"""Peer-to-peer membership of limiters: SWIM with Lifeguard's extensions.

It is for installations whose network lets the limiters send datagrams to each other.

There are two membership packages, one for each program. The limiter (`lapisgrade serve --site`) uses this
one: limiters detect failed members among themselves with SWIM's failure detector, without a coordinator. In
the gateway the controllers decide by consensus which proxies are live; `gateway.membership` gives a proxy
only a partial view of the others (Cyclon), through which it finds the leader, and divides the committed
membership into subsets. Both packages send datagrams through `lapisgrade.peers`.

`messages`, `timing`, `table`, `health`, `dissemination`, `failure_detector` and `core` are pure: they do no
I/O and read no clock. `host` does the I/O, `site` reads the operator's file, and `sim` simulates a network.
`python -m lapisgrade` runs a limiter without membership and does not import this package.
"""
