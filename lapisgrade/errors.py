"""The root of this project's exceptions.

Each package defines its own errors below `LapisgradeError`, beside the code that raises them. The message
of an error is one plain line that says what went wrong and where; it can be shown to an operator as it is.
"""


class LapisgradeError(Exception):
    """Base class of every error that this project raises on purpose."""
