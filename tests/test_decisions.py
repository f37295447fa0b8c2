"""The modules that docs/DESIGN.md lists as decisions have no input, output or clock."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
FORBIDDEN = {"aiohttp", "asyncio", "socket", "time", "uvloop", "zmq"}


def listed_modules() -> list[str]:
    """Return the modules in the first column of the table of decisions."""
    text = (ROOT / "docs" / "DESIGN.md").read_text()
    section = text.partition("## Decisions\n")[2].partition("\n## ")[0]
    cells = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
    return [name for cell in cells for name in re.findall(r"`([a-z_/]+\.py)`", cell)]


@pytest.mark.parametrize("module", listed_modules())
def test_decides_only(module: str) -> None:
    tree = ast.parse((ROOT / "kingcuppond" / module).read_text())
    imported = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            imported.update(alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            imported.add((node.module or "").partition(".")[0])
    assert not imported & FORBIDDEN
    assert not any(isinstance(node, ast.AsyncFunctionDef | ast.Await) for node in ast.walk(tree))


def test_the_table_names_the_decisions() -> None:
    assert len(listed_modules()) >= 10
