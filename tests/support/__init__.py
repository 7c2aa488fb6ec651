"""What several tests share: fakes, reservations and runners."""
