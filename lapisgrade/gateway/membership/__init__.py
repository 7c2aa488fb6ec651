"""Which proxies know of each other.

* `partial_view`, with its socket in `gossip`: a few neighbours, known without the controllers.
* `subsets`: the proxies that report their load to each other, and the servers that they prefer.
"""
