"""A request is held only after a trial, and all daemons converge on the same state."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.clock import COUNTER_BITS, Clock
from kingcuppond.events.journal import Journal
from kingcuppond.quarantine.messages import QuarantineLevel, QuarantineNote
from kingcuppond.quarantine.suspects import HELD_TTL_MS, SuspectTable, fingerprint
from tests.conftest import FakeTime


def make_table(fake_time: FakeTime, vm: str = "vm-1") -> SuspectTable:
    clock = Clock(fake_time.read, fake_time.read)
    return SuspectTable(vm, clock, Journal(vm, clock))


def test_losses_without_a_trial_do_not_hold_a_request(fake_time: FakeTime) -> None:
    table = make_table(fake_time)
    table.record_server_loss("f", is_on_trial=False)
    table.record_server_loss("f", is_on_trial=False)
    assert table.level("f") is QuarantineLevel.SUSPECTED


def test_a_trial_holds_or_clears_a_suspect(fake_time: FakeTime) -> None:
    table = make_table(fake_time)
    for name in ("guilty", "innocent"):
        table.record_server_loss(name, is_on_trial=False)
    table.record_server_loss("guilty", is_on_trial=True)
    table.record_answer("innocent")
    assert table.level("guilty") is QuarantineLevel.HELD
    assert table.level("innocent") is QuarantineLevel.CLEARED
    assert [note.fingerprint for note in table.held()] == ["guilty"]


def test_a_hold_expires(fake_time: FakeTime) -> None:
    table = make_table(fake_time)
    table.record_server_loss("f", is_on_trial=True)
    table.record_answer("f")
    assert (
        table.level("f") is QuarantineLevel.HELD
    ), "an answer outside the trial does not end the hold"
    fake_time.advance(HELD_TTL_MS / 1000 + 1)
    assert table.level("f") is QuarantineLevel.CLEARED
    table.expire()
    assert table.digest == 0


def test_the_fingerprint_identifies_the_content() -> None:
    base = fingerprint("POST", "/a?b=1", b"body")
    others = [("PUT", "/a?b=1", b"body"), ("POST", "/a?b=2", b"body"), ("POST", "/a?b=1", b"x")]
    assert base == fingerprint("POST", "/a?b=1", b"body")
    assert base not in [fingerprint(*other) for other in others]


NOTES = st.lists(
    st.builds(
        lambda level, stamp: QuarantineNote("f", level, (1_000_000_000 << COUNTER_BITS) + stamp),
        st.sampled_from(QuarantineLevel),
        st.integers(1, 1000),
    ),
    max_size=12,
    unique_by=lambda note: note.stamp,
)


@settings(derandomize=True, max_examples=200)
@given(NOTES, st.integers(0, 1000))
def test_a_hold_supersedes_other_notes_in_any_order(notes: list[QuarantineNote], seed: int) -> None:
    shuffled = list(notes)
    Random(seed).shuffle(shuffled)
    tables = [make_table(FakeTime()) for _ in range(2)]
    for table, ordered in zip(tables, (notes, shuffled), strict=True):
        for note in ordered:
            table.merge(note)
    assert tables[0].level("f") == tables[1].level("f")
    if any(note.level is QuarantineLevel.HELD for note in notes):
        assert tables[0].level("f") is QuarantineLevel.HELD
