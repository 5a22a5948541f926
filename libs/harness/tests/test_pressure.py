"""Tests of the rates of the crest measurement."""

from filbertlift_harness import pressure


def test_crest_rises_ten_times_within_two_seconds_and_falls_back() -> None:
    """Guards against a load that rises less or slower than documented."""
    steps = pressure.make_crest()
    rates = [step.rate for step in steps]
    peak = max(rates)
    assert peak == 10 * rates[0] == 10 * rates[-1]
    first = next(step for step in steps if step.rate == peak)
    rising = next(step for step in steps if step.rate > rates[0])
    assert first.at_s - rising.at_s < 2.0
    assert [step.at_s for step in steps] == sorted(s.at_s for s in steps)
