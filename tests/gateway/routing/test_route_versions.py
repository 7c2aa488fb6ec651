"""Which version of the configuration a request is matched by."""

from lapisgrade.gateway import SECOND, configuration
from lapisgrade.gateway.routing.route_table import RouteTable
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import Clock

# A version made of drafts from both sides of a partition is staged and not yet active.


def table(ver: int, claims: str, looks: str) -> RouteTable:
    rules = [
        {
            "Name": name,
            "Mode": mode,
            "Match": {"Pfx": f"/{name}/"},
            "Action": {"Svc": svc, "Timeout": "1s"},
        }
        for name, mode, svc in (
            ("claim", "mutate", claims),
            ("desk", "mutate", "a"),
            ("look", "idem", looks),
        )
    ]
    conf = {
        "Ver": ver,
        "Ports": [{"Vhost": "h", "Policy": rules}],
        "Pools": [{"Name": "a"}, {"Name": "b"}],
    }
    return RouteTable(configuration.read(conf))


def test_a_non_idempotent_request_on_a_merged_route_waits_for_it_and_all_others_go_on() -> None:
    router = Router(Clock(SECOND), 1, Slo(), "z", "c")
    router.activate(table(1, "a", "a"))
    router.tables.confirmed_us = SECOND

    def matched(path: str) -> "int | str":
        found = router.match(SECOND, "h", path, "")
        return found if isinstance(found, int) else found[0].action.svc

    router.tables.stage(table(2, "b", "b"))
    assert [matched("/claim/1"), matched("/desk/1"), matched("/look/1")] == ["a", "a", "a"]
    router.tables.stage(table(3, "b", "b"), is_merged=True)
    assert [matched("/claim/1"), matched("/desk/1"), matched("/look/1")] == [503, "a", "a"]
    router.activate(router.tables.staged[3])
    assert [matched("/claim/1"), matched("/desk/1"), matched("/look/1")] == ["b", "a", "b"]
    assert router.tables.merged_versions == set()
