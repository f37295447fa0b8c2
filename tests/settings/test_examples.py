"""The example files are valid."""

from pathlib import Path

import pytest

from kingcuppond.configuration.objects import MeasurementBudget, NativeClassOfWork
from kingcuppond.settings.daemon import DaemonSettings
from kingcuppond.settings.jsonc import read_file

EXAMPLES = sorted((Path(__file__).parents[2] / "examples").glob("*.json"))


@pytest.mark.parametrize("path", EXAMPLES, ids=[path.stem for path in EXAMPLES])
def test_example(path: Path) -> None:
    type_: type = DaemonSettings
    if path.stem.startswith("class-"):
        type_ = NativeClassOfWork
    if path.stem == "budget":
        type_ = MeasurementBudget
    assert read_file(path, type_).is_ok()
