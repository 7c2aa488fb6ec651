"""Timing of watch requests, shared by proxies and controllers.

A proxy always has one watch request open at the leader (long polling). The leader activates a version without
the confirmation of an unresponsive proxy only after that proxy itself must assume that it missed a version
(`controller/version_activation.py`); both sides derive this from the times below.
"""

LONG_POLL_US = 250_000  # maximum time that the leader delays its reply while it has no updates
# Time without a reply after which a proxy may have missed a version; two requests fit in it.
MISSED_VERSION_AFTER_US = 1_300_000
