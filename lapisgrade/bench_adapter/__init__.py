"""Runs limiters on the bench's simulator: messages arrive on standard input, replies go to standard output.

The operators define the names of the bench's messages and fields, which only this package uses: `wire` parses
and formats them, `instance` is one limiter, `bench` all limiters of a process, and `__main__` reads batches.
"""
