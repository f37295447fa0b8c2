"""Log lines are parsed, and the events of one request are explained from them."""

import attrs

from kingcuppond.clock import COUNTER_BITS
from kingcuppond.events.journal import Entry
from kingcuppond.events.log import encode_line
from kingcuppond.operators.logs import explain, read_lines


def entry(ms: int, vm: str, number: int, text: str, **changes: object) -> Entry:
    made = Entry(ms << COUNTER_BITS, vm, number, text, "", "", "info", ms)
    return attrs.evolve(made, **changes)


SENT = entry(1000, "a", 510, "call a/1 sent to b", call="a/1", request="r1", fields={"load": 0.5})
REFUSED = entry(1002, "b", 405, "gate refused call a/1: full", call="a/1", request="r1")
ENDED = entry(1004, "a", 502, "call a/2 not run: full", call="a/2", request="r1")
LOST = entry(500, "a", 703, "watch failed or timed out: reset")
OTHER = entry(1001, "a", 511, "request r2 answered 200 after 5 ms", request="r2")
ALL = [ENDED, OTHER, SENT, LOST, REFUSED]


def test_lines_are_read_in_causal_order() -> None:
    text = [f"   0.4377 vm-1 {encode_line(it)}" for it in ALL]
    found = read_lines([*text, "WARNING: something else", "{not json", ""])
    assert [it.stamp for it in found.entries] == sorted(it.stamp for it in ALL)
    assert set(found.entries[1].fields) == {"load"}
    assert found.skipped_lines == 2


def test_explain_request() -> None:
    lines = explain(sorted(ALL, key=lambda it: it.stamp), "r1")
    assert lines[1:4] == [
        "    +0 ms  a  E510 call a/1 sent to b (load 0.5)",
        "    +2 ms  b  E405 gate refused call a/1: full",
        "    +4 ms  a  E502 call a/2 not run: full",
    ]
    assert lines[4] == "end: call a/2 not run: full"
    assert "watch failed or timed out" in lines[-1]


def test_explain_call_shows_its_request() -> None:
    assert len(explain([SENT, REFUSED, ENDED], "a/1")) == 5


def test_explain_unknown_id_is_empty() -> None:
    assert explain(ALL, "r9") == []
