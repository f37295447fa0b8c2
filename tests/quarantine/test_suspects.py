"""A request is held only after a trial, and all daemons converge on the same state."""

from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppond.clock import COUNTER_BITS, Clock
from kingcuppond.events.journal import Journal
from kingcuppond.quarantine.messages import QuarantineLevel, QuarantineNote
from kingcuppond.quarantine.suspects import HELD_TTL_MS, MAX_NOTES, SuspectTable
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


def test_an_answer_of_another_version_clears_nothing(fake_time: FakeTime) -> None:
    """A request that crashes only the new version was cleared by the old one, and ran again."""
    table = make_table(fake_time)
    table.record_server_loss("f", is_on_trial=False, server_version="v2")
    table.record_answer("f", "v1")
    assert table.level("f") is QuarantineLevel.SUSPECTED
    table.record_answer("f", "v2")
    assert table.level("f") is QuarantineLevel.CLEARED


def test_the_start_of_a_suspected_request_is_suspected(fake_time: FakeTime) -> None:
    """Bodies that differ after their start shared a state, and cleared each other."""
    table = make_table(fake_time)
    table.record_server_loss("f-1", is_on_trial=True)
    assert table.level("f-") is QuarantineLevel.SUSPECTED
    assert table.level("f-2") is QuarantineLevel.CLEARED
    assert table.level("g-") is QuarantineLevel.CLEARED
    table.record_server_loss("g-", is_on_trial=False)
    table.record_answer("g-")
    assert table.level("g-") is QuarantineLevel.SUSPECTED, "the whole request is not known"


def test_a_crowd_of_suspects_does_not_push_out_a_hold(fake_time: FakeTime) -> None:
    """A table full of holds dropped its oldest one for a suspect."""
    table = make_table(fake_time)
    table.record_server_loss("held", is_on_trial=True)
    for number in range(MAX_NOTES + 10):
        table.record_server_loss(f"suspect {number}", is_on_trial=False)
    assert table.level("held") is QuarantineLevel.HELD
    for number in range(MAX_NOTES - 1):
        table.record_server_loss(f"held {number}", is_on_trial=True)
    table.record_server_loss("suspect", is_on_trial=False)
    assert len(table.held()) == MAX_NOTES
    assert table.level("held") is QuarantineLevel.HELD
    fake_time.advance(HELD_TTL_MS / 1000 + 1)
    table.expire()
    assert table.digest == 0


def test_a_note_of_an_earlier_version_is_read() -> None:
    """Both versions of the daemons run during an update, and holds are stored."""
    note = {"fingerprint": "f", "level": 2, "stamp": 7, "servers": ["vm-1"]}
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(note), type=QuarantineNote)
    assert decoded == QuarantineNote("f", QuarantineLevel.HELD, 7, ("vm-1",))


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
