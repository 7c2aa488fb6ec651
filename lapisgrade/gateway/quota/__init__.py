"""Tenants' quotas: each tenant has one count, which one of the proxies owns.

`client` is the side that leases units from a count, once a proxy and tenant. The owner's side is `owner`
(serving calls), with `count` (one count's arithmetic), `owned_counts` (the counts kept here), `epochs` (the
states of a claim to a count), `ownership_history` (who owned counts, and may still act), `hand_over` (how a
count changes hands) and `ownership` (which proxy owns which tenant's count).
"""
