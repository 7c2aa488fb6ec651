"""How a proxy knows other proxies, beside the membership that the controllers commit.

`partial_view` is a sample of the proxies, shuffled between neighbours (Cyclon), with `gossip` as its socket;
`subsets` divides the committed membership into proxies that report their load to each other.

`lapisgrade.members` is another package, as it serves another program: limiters without controllers, which
find by themselves who lives (SWIM). Here the controllers decide that.
"""
