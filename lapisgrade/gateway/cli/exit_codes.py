"""Exit codes of commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of roles and commands; docopt exits with 1 if the command line is invalid."""

    DONE = 0
    OBJECTION = 1  # objections, differences, or unresolved drafts
    INVALID_INPUT = 2  # a file, address or name is invalid, or no controller replies
    INCOMPLETE = 3  # a change is not active everywhere in time, or a rolling restart stopped
    UNREADABLE_LOG = 4  # a controller's log has entries of a later release
