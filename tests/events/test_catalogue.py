"""docs/EVENTS.md and docs/METRICS.md list what the program records."""

import re
from pathlib import Path

from kingcuppond.events.catalogue import ALL

DOCS = Path(__file__).parents[2] / "docs"
PACKAGE = Path(__file__).parents[2] / "kingcuppond"
STATUS = PACKAGE / "operators" / "status.py"


def test_events_page_matches_the_catalogue() -> None:
    rows = re.findall(r"^\| E(\d+) \| (\w+) \| (.*) \|$", (DOCS / "EVENTS.md").read_text(), re.M)
    listed = {int(number): (level, text) for number, level, text in rows}
    assert listed == {event.number: (event.level, event.template) for event in ALL.values()}


def test_every_event_is_recorded() -> None:
    source = "".join(path.read_text() for path in PACKAGE.rglob("*.py"))
    catalogue = (PACKAGE / "events" / "catalogue.py").read_text()
    names = re.findall(r"^([A-Z_]+): Final = Event", catalogue, re.M)
    assert [name for name in names if f"catalogue.{name}" not in source] == []


def test_metrics_page_lists_every_metric() -> None:
    source = "".join(path.read_text() for path in PACKAGE.rglob("*.py"))
    names = set(re.findall(r'"(kingcuppond_[a-z_]+)"', source))
    gauges = re.findall(r'^        "([a-z_]+)": \(', STATUS.read_text(), re.M)
    names = {name.removesuffix("_bucket").removesuffix("_total") for name in names}
    names |= {f"kingcuppond_{gauge}" for gauge in gauges}
    page = (DOCS / "METRICS.md").read_text()
    listed = set(re.findall(r"^\| `(kingcuppond_[a-z_]+)`", page, re.M))
    assert listed == names
