"""Tests that the configuration library accepts the trees of the harness."""

import pathlib

import pytest

from filbertlift_config import file
from filbertlift_config import section
from filbertlift_harness import topology
from filbertlift_harness import trees


def read_sections(folder: pathlib.Path) -> dict[str, section.Section]:
    sections = {}
    for path in sorted(folder.rglob(trees.FILE_NAME)):
        parsed, problems = file.parse_file(path.read_bytes(), str(path))
        assert problems == []
        assert parsed is not None
        sections[parsed.name] = parsed
    assert file.check_sections(sections.values()) == []
    return sections


@pytest.mark.parametrize("plan", topology.EXAMPLES)
def test_example_is_accepted_before_and_after_the_hand_over(
    plan: topology.Topology, tmp_path: pathlib.Path
) -> None:
    """Guards against an example that `filbertlift publish` rejects."""
    tree = trees.write_example(plan, tmp_path / "tree")
    before = read_sections(tree.folder)
    assert {service.name for service in plan.services} < set(before)
    assert before[plan.move.service].records == ()
    trees.hand_over(plan, tree)
    records = read_sections(tree.folder)[plan.move.service].records
    assert records == (section.Record(plan.move.path, plan.move.custody),)


def test_generated_tree_is_accepted_after_a_change(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a generated or changed file that the library rejects."""
    tree = trees.write_generated(topology.TUSSOCK_ROAD, tmp_path / "tree")
    trees.change_queue(tree, "yards", 150)
    trees.change_queue(tree, "yards", 151)
    assert read_sections(tree.folder)["yards"].queue == 151
