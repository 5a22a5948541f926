"""Tests of the delays of versions, from logs."""

import measure_versions


def make_line(at_s, host, event, version=None):
    fields = "" if version is None else f" version={version} was=1 size=9"
    return f"  {at_s:.4f} {host} time=1000.0 event={event}{fields}\n"


def measure(*lines):
    steps = measure_versions.read_steps(lines)
    return sorted(measure_versions.measure_delays(steps), reverse=True)


def test_a_version_counts_from_its_first_host():
    found = measure(
        make_line(3.0, "h1", "versions.in-force", 4),
        make_line(5.5, "h2", "versions.in-force", 4),
        make_line(5.6, "h2", "entry.refused", 4),
    )
    assert found == [
        measure_versions.Delay(2.5, "h2", 4),
        measure_versions.Delay(0.0, "h1", 4),
    ]


def test_a_later_version_stands_for_the_earlier_ones():
    found = measure(
        make_line(3.0, "h1", "versions.in-force", 4),
        make_line(4.0, "h1", "versions.in-force", 6),
        make_line(5.0, "h2", "versions.in-force", 6),
    )
    assert measure_versions.Delay(2.0, "h2", 4) in found
    assert measure_versions.Delay(1.0, "h2", 6) in found


def test_a_version_counts_from_the_start_of_a_node():
    """Guards against delays that include the time without power."""
    found = measure(
        make_line(3.0, "h1", "versions.in-force", 4),
        make_line(3.5, "h2", "versions.in-force", 4),
        make_line(9.0, "h2", "node.start"),
        make_line(10.5, "h2", "versions.in-force", 4),
    )
    assert found[0] == measure_versions.Delay(1.5, "h2", 4)


def test_versions_before_the_first_call_are_left_out():
    assert not measure(make_line(-9.0, "h1", "versions.in-force", 2))
