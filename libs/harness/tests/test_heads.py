"""Tests of the times at which a version came in force."""

from filbertlift_harness import heads

LOG = (
    "not an event",
    "time=1970-01-01T00:00:01.250+00:00 event=version.in_force version=1",
    'time=1970-01-01T00:00:02.000+00:00 event=link.up peer="a=b c" version=9',
    "time=1970-01-01T00:00:03.500+00:00 event=version.in_force version=3",
)


def test_first_line_of_the_version_or_a_newer_one_counts() -> None:
    """Guards against a convergence time that is taken from another event."""
    assert heads.find_in_force(LOG, 1) == 1.25
    assert heads.find_in_force(LOG, 2) == 3.5
    assert heads.find_in_force(LOG, 4) is None


def test_older_version_after_a_restart_is_found() -> None:
    """Guards against a check that misses a restart with an older version."""
    older = "time=1970-01-01T00:00:04+00:00 event=version.in_force version=2"
    assert heads.find_regressions(LOG) == []
    assert heads.find_regressions((*LOG, older)) == ["version 2 after 3"]
