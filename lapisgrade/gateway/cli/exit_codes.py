"""What a command's exit code says."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of roles and of commands; docopt ends with 1 where the command line can't be read."""

    DONE = 0
    OBJECTION = 1  # something speaks against it, differs, or is open
    INVALID_INPUT = 2  # a file, an address or a name can't be taken, or no controller answers
    INCOMPLETE = 3  # a change isn't in force everywhere in time, or a rolling restart has stopped
    UNREADABLE_LOG = 4  # a controller's log holds what a later release wrote
