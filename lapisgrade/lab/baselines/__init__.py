"""Baseline policies for the laboratory, to set the decision module against: never used in service.

- `local`: a token bucket per customer in each limiter, a share of the quota each; no counter.
- `central`: a call to the shared counter for every operation, in windows of one second.

Both send each operation once, to a ready server by chance, and keep the rules on their own: a hop that may
have run is never followed by a turn-back unless the operation is idempotent.
"""
