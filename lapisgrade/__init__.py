"""lapisgrade: an API gateway for many machines, with quotas and rate limits for each customer."""
