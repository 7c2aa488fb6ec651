"""Matching of requests while a version is staged that was merged from both sides of a partition."""

from lapisgrade.gateway import SECOND, configuration
from lapisgrade.gateway.routing.route_table import RouteTable
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import Clock


def table(ver: int, claim_service: str, look_service: str) -> RouteTable:
    """Return a version whose routes `claim` (non-idempotent) and `look` (idempotent) have these services."""
    rules = [
        {
            "Name": name,
            "Mode": mode,
            "Match": {"Pfx": f"/{name}/"},
            "Action": {"Svc": svc, "Timeout": "1s"},
        }
        for name, mode, svc in (
            ("claim", "mutate", claim_service),
            ("desk", "mutate", "a"),
            ("look", "idem", look_service),
        )
    ]
    conf = {
        "Ver": ver,
        "Ports": [{"Vhost": "h", "Policy": rules}],
        "Pools": [{"Name": "a"}, {"Name": "b"}],
    }
    return RouteTable(configuration.read(conf))


def test_only_non_idempotent_requests_on_a_merged_route_wait_for_its_activation() -> None:
    router = Router(Clock(SECOND), 1, Slo(), "z", "c")
    router.activate(table(1, "a", "a"))
    router.route_versions.confirmed_us = SECOND

    def match_result(path: str) -> "int | str":
        """Return the HTTP status of the rejection, or the service."""
        found = router.match(SECOND, "h", path, "")
        return found if isinstance(found, int) else found[0].action.svc

    router.route_versions.stage(table(2, "b", "b"))
    assert [match_result("/claim/1"), match_result("/desk/1"), match_result("/look/1")] == ["a", "a", "a"]
    router.route_versions.stage(table(3, "b", "b"), is_merged=True)
    assert [match_result("/claim/1"), match_result("/desk/1"), match_result("/look/1")] == [503, "a", "a"]
    router.activate(router.route_versions.staged[3])
    assert [match_result("/claim/1"), match_result("/desk/1"), match_result("/look/1")] == ["b", "a", "b"]
    assert router.route_versions.merged_versions == set()
