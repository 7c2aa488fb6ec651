"""A site of fakes and limiters: its free ports."""

from lapisgrade.fakes import site


def test_a_free_port_is_none_that_the_system_may_give_to_somebody_else_meanwhile():
    ports = [site.free_port() for _ in range(50)]
    assert len(set(ports)) == 50
    assert all(1024 <= port < site._first_own_port() for port in ports)
