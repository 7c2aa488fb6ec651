"""Free ports for a site of fakes and limiters."""

from lapisgrade.fakes import site


def test_free_ports_are_distinct_and_lie_below_the_ephemeral_range():
    ports = [site.free_port() for _ in range(50)]
    assert len(set(ports)) == 50
    assert all(1024 <= port < site._first_ephemeral_port() for port in ports)
