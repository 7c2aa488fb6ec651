"""Which proxies report to each other and which servers they share: the same at all proxies, and steady."""

from lapisgrade.gateway.membership.subsets import MAX_SUBSET_PROXIES, Subsets, assign, divide

SECOND = 1_000_000


def live_proxies(names) -> dict[str, tuple[str, str, str]]:
    return {name: (f"{name}:1", "0", "z") for name in names}


def test_all_proxies_divide_alike_and_share_all_servers_out():
    names = [f"c{number}" for number in range(32)]
    cut = divide(names)
    assert sorted(name for group in cut for name in group) == sorted(names)
    assert max(map(len, cut)) <= MAX_SUBSET_PROXIES
    shares, servers = [], [f"i-{number}" for number in range(23)]
    for turn, group in enumerate(cut):
        one = Subsets(group[0], "z")
        one.update_members(live_proxies(names))
        assert (one.index, {group[0], *one.neighbours}) == (turn, set(group))
        shares += one.assigned_servers(servers)
    assert sorted(shares) == sorted(servers)


def test_one_server_or_proxy_more_or_fewer_moves_few_of_the_others():
    for count, turns in ((44, 5), (97, 16), (23, 6)):
        names = [f"i-{number}" for number in range(count)]
        of = {name: turn for turn, share in enumerate(assign(names, turns)) for name in share}
        moved = []
        for gone in names:
            left = [name for name in names if name != gone]
            cut = assign(left, turns)
            assert max(map(len, cut)) - min(map(len, cut)) <= 1
            moved.append(sum(name not in cut[of[name]] for name in left))
        assert sum(moved) / count < 0.1 * count


def test_a_neighbours_report_expires_and_a_strangers_is_not_kept():
    one = Subsets("a", "z")
    one.update_members(live_proxies(["a", "b"]))
    one.on_load_report(0, "b", {"i-1": 2})
    one.on_load_report(0, "x", {"i-1": 9})
    assert (one.in_flight(SECOND, "i-1"), one.is_load_known(SECOND)) == (2, True)
    assert (one.in_flight(2 * SECOND, "i-1"), one.is_load_known(2 * SECOND)) == (0, False)
