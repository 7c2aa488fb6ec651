"""Who is alive among the limiters: SWIM with Lifeguard's additions, as a pure core (`core`).

For installations where limiters may talk. Off, and not imported, in `python -m lapisgrade`.
"""
