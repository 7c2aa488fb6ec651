"""Comparison of load balancers for many limiters and servers with few slots, in simulated time.

Limiters learn the load of the servers late: from responses, and from the load reports of other limiters.
The gateway's own balancer (`gateway/routing/balancer.py` with `gateway/membership/subsets.py`) is compared
with textbook algorithms and with one that knows the state of all servers, on the same arrivals.
"""
