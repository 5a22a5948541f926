"""Tests of reading /proc and of the ports."""

import random

from filbertlift_harness import ports
from filbertlift_harness import processes


def test_usage_of_a_command_whose_name_has_spaces() -> None:
    """Guards against shifted fields, which would misreport the CPU."""
    stat = "12 (a b) c) S 1 1 1 0 -1 4 1 0 0 0 250 50 0 0 20 0 1 0 9"
    usage = processes.parse_usage(stat, "Name:\ta\nVmRSS:\t  2048 kB\n")
    assert usage.cpu_s == 300 / processes._TICKS
    assert usage.rss_bytes == 2048 * 1024


def test_each_port_is_picked_once() -> None:
    picker = ports.PortPicker(random.Random(1))
    picked = [picker.pick().port for _ in range(50)]
    assert len(set(picked)) == 50
    assert max(picked) < 32_768
