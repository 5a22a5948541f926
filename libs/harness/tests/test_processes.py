"""Tests of reading /proc and of picking ports."""

import random

from filbertlift_harness import ports
from filbertlift_harness import processes


def test_command_name_with_spaces_and_parentheses_is_skipped() -> None:
    """Guards against CPU times that are read from the wrong fields."""
    stat = "12 (a b) c) S 1 1 1 0 -1 4 1 0 0 0 250 50 0 0 20 0 1 0 9"
    usage = processes.parse_usage(stat, "Name:\ta\nVmRSS:\t  2048 kB\n")
    assert usage.cpu_s == 300 / processes._CLOCK_TICKS_PER_S
    assert usage.rss_bytes == 2048 * 1024


def test_concurrent_runs_share_no_port() -> None:
    """Guards against a node that cannot listen on its port."""
    pickers = [ports.PortPicker(random.Random(1)) for _ in range(2)]
    picked = [picker.pick().port for picker in pickers for _ in range(100)]
    for picker in pickers:
        picker.close()
    assert len(set(picked)) == 200
    assert max(picked) < 32_768
