"""How a call to another process failed: whether it may have been executed nevertheless."""

from enum import Enum


class CallFailure(Enum):
    """Why a call has no reply.

    A caller may retry a NOT_RUN call at any process. It may retry a MAY_HAVE_RUN call only unchanged, and
    only at a process that recognizes the repeat.
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
