"""Baseline policies of the laboratory, for comparison with the gateway's policy; never used in production.

- `local`: a token bucket per customer in each limiter, with an equal share of the quota; no shared counter.
- `central`: a call to the shared counter for every operation, with windows of one second.

Both send each operation once, to a random ready server. After an attempt that may have run, they let the
client retry only if the operation is idempotent.
"""
