"""Runs limiters on the bench's simulator: its messages on standard input, the limiters' on standard output.

The names of the bench's messages and fields are the operators' and end in this package: `wire` reads and
writes them, `instance` is one limiter, `bench` all of a process, `__main__` reads the batches.
"""
