"""Comparison of load balancers for many limiters and servers with few slots, in simulated time.

The gateway's own balancer (`gateway/routing/balancer.py` with `gateway/membership/subsets.py`) is compared
with textbook algorithms and with one that knows the state of all servers, on the same arrivals.
"""
