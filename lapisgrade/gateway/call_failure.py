"""How a call to another process failed: whether it may have been executed all the same."""

from enum import Enum


class CallFailure(Enum):
    """Why a call has no reply.

    A caller may send a NOT_RUN call anew to anybody; one that MAY_HAVE_RUN only unchanged, to where it is
    recognized.
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
