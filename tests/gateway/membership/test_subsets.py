"""Subsets of proxies and servers: the same at all proxies, and stable when members change."""

from lapisgrade.gateway.membership.subsets import MAX_SUBSET_PROXIES, Subsets, assign, divide

SECOND = 1_000_000


def live_proxies(names) -> dict[str, tuple[str, str, str]]:
    return {name: (f"{name}:1", "0", "z") for name in names}


def test_all_proxies_compute_the_same_subsets_and_each_server_is_in_one():
    names = [f"c{number}" for number in range(32)]
    subset_names = divide(names)
    assert sorted(name for names_in_subset in subset_names for name in names_in_subset) == sorted(names)
    assert max(map(len, subset_names)) <= MAX_SUBSET_PROXIES
    assigned, servers = [], [f"i-{number}" for number in range(23)]
    for index, names_in_subset in enumerate(subset_names):
        subsets = Subsets(names_in_subset[0], "z")
        subsets.update_members(live_proxies(names))
        assert (subsets.index, {names_in_subset[0], *subsets.neighbours}) == (index, set(names_in_subset))
        assigned += subsets.assigned_servers(servers)
    assert sorted(assigned) == sorted(servers)


def test_removing_one_name_moves_few_of_the_others():
    for count, subset_count in ((44, 5), (97, 16), (23, 6)):
        names = [f"i-{number}" for number in range(count)]
        index_by_name = {
            name: index for index, share in enumerate(assign(names, subset_count)) for name in share
        }
        moved = []
        for removed in names:
            remaining = [name for name in names if name != removed]
            subset_names = assign(remaining, subset_count)
            assert max(map(len, subset_names)) - min(map(len, subset_names)) <= 1
            moved.append(sum(name not in subset_names[index_by_name[name]] for name in remaining))
        assert sum(moved) / count < 0.1 * count


def test_reports_of_neighbours_expire_and_those_of_others_are_ignored():
    subsets = Subsets("a", "z")
    subsets.update_members(live_proxies(["a", "b"]))
    subsets.on_load_report(0, "b", {"i-1": 2})
    subsets.on_load_report(0, "x", {"i-1": 9})
    assert (subsets.in_flight(SECOND, "i-1"), subsets.is_load_known(SECOND)) == (2, True)
    assert (subsets.in_flight(2 * SECOND, "i-1"), subsets.is_load_known(2 * SECOND)) == (0, False)
