"""Tenant quotas: each tenant has one count, a token bucket that exactly one proxy owns.

`client` leases units from a count; there is one client per proxy and tenant. The other modules are the
owner's side:

- `owner`: serves the clients' requests.
- `count`: the arithmetic of one count.
- `owned_counts`: the counts that this proxy stores.
- `ownership`: maps each tenant to the proxy that owns its count.
- `epochs`: ownership epochs and the states of a claim to a count.
- `ownership_history`: which proxies owned a count and may still act as its owner.
- `hand_over`: transfers a count from one owner to the next.
"""
