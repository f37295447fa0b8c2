"""Spin verifies the models in ``spec/`` and must find an error in each faulty variant."""

import shutil
import subprocess
from pathlib import Path

import pytest

SPEC = Path(__file__).parents[2] / "spec"
SEARCH_DEPTH_OPTION = "-m100000"

CASES = [
    ("claims", "at_most_once", "", True),
    ("claims", "not_run_is_true", "", True),
    ("claims", "at_most_once", "UNCONDITIONAL", False),
    ("claims", "at_most_once", "RUN_THEN_RECORD", False),
    ("claims", "at_most_once", "BLIND_RETRY", False),
    ("claims", "at_most_once", "LATE_RUN", False),
    ("claims", "at_most_once", "GUESS_NOT_RUN", False),
    ("claims", "not_run_is_true", "LATE_RUN", False),
    ("restored-claims", "at_most_once", "", True),
    ("restored-claims", "at_most_once", "NO_RENEWAL", False),
    ("restored-claims", "at_most_once", "NO_BARRIER", False),
    ("restored-claims", "at_most_once", "EARLY_READ", False),
    ("restored-claims", "at_most_once", "LATE_GRANT", False),
    ("restored-claims", "at_most_once", "ONE_LOG", False),
    ("configuration", "", "", True),
    ("configuration", "", "LAST_WRITER_WINS", False),
    ("configuration", "", "TAKE_ANY", False),
    ("configuration", "", "WRITE_AGAIN", False),
]


@pytest.mark.parametrize(("name", "claim", "variant", "holds"), CASES)
def test_specification(tmp_path: Path, name: str, claim: str, variant: str, holds: bool) -> None:
    spin = shutil.which("spin")
    assert spin, "spin is a Debian package: apt-get install spin"
    macro_options = [f"-D{variant}"] if variant else []
    subprocess.run([spin, *macro_options, "-a", SPEC / f"{name}.pml"], cwd=tmp_path, check=True)
    safety_options = [] if claim else ["-DSAFETY"]
    subprocess.run(["gcc", "-O2", *safety_options, "-o", "pan", "pan.c"], cwd=tmp_path, check=True)
    options = ["-a", "-N", claim] if claim else []
    result = subprocess.run(
        ["./pan", SEARCH_DEPTH_OPTION, *options],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=True,
    )
    assert "max search depth too small" not in result.stdout
    assert "out of memory" not in result.stdout
    assert ("errors: 0" in result.stdout) is holds
    assert ("errors: 1" in result.stdout) is not holds
