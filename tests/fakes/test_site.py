"""A site of fakes and limiters: its free ports."""

from lapisgrade.fakes import site


def test_a_free_port_lies_outside_the_ephemeral_range():
    ports = [site.free_port() for _ in range(50)]
    assert len(set(ports)) == 50
    assert all(1024 <= port < site._first_own_port() for port in ports)
