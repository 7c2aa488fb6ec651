"""Fakes, simulations, network reservations and other helpers that several tests share."""
