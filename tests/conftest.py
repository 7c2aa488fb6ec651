"""What holds for every test: the garbage collector stays out of what is measured."""

import gc

import pytest


def pytest_collection_finish() -> None:
    """Keep what collection loaded out of the garbage collector's scans.

    (Guards against pauses of 0.1 to 0.4 s, which tests that measure time would take for the code's.)
    """
    gc.collect()
    gc.freeze()


@pytest.fixture
def frozen_heap() -> None:
    """Also keep out what earlier tests left: the collector scans only what this test makes."""
    gc.collect()
    gc.freeze()
