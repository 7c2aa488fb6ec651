"""The base class of this project's exceptions.

Each package derives its own errors from `LapisgradeError` in the module that raises them. An error message is
one line that states what failed and where, and can be shown to an operator unchanged.
"""


class LapisgradeError(Exception):
    """Base class of all errors that this project raises intentionally."""
