"""Knowledge of a proxy about other proxies, in addition to the membership that the controllers commit.

`partial_view` is a sample of the proxies that neighbours shuffle (Cyclon), and `gossip` is its transport.
`subsets` divides the committed membership into groups of proxies that report their load to each other.

`lapisgrade.members` serves another program: limiters without controllers, which detect failed members
themselves (SWIM). Here, the controllers decide on the membership.
"""
