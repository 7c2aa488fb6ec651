"""Messages between limiters, for installations where they may talk: frames (`frame`) over UDP (`udp`).

Off, and not imported, in `python -m lapisgrade`.
"""
