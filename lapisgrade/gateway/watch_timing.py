"""The times that a proxy and the controllers agree on for watch requests.

A proxy always has one watch request at the leading controller (long polling). Both sides reason from these
times: the leader activates a version without a proxy that sends no requests only once that proxy is in doubt
by itself (`controller/version_activation.py`).
"""

LONG_POLL_US = 250_000  # that the leader holds a watch request while it has no updates
MISSED_VERSION_AFTER_US = (
    1_300_000  # without an answer: a proxy may have missed a version; two requests' time
)
