"""Each outcome of a change has its own result."""

from typing import cast

import attrs
import pytest
from expression import Error, Result

from kingcuppond.operators import changes
from kingcuppond.operators.changes import change
from kingcuppond.store.interface import Store, StoredObject, StoreError
from tests.claims.fakes import FakeStore


@pytest.fixture(autouse=True)
def _no_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(changes, "READ_BACK_INTERVAL_SECONDS", 0.0)


@pytest.mark.parametrize(
    ("fault", "exit_code", "writes"),
    [("ok", None, 1), ("lost", None, 1), ("dropped", 4, 1), ("late", 4, 1), ("refused", 3, 1)],
    ids=["done", "answer lost", "write dropped", "write delayed", "over the rate"],
)
async def test_change_writes_once_whatever_the_outcome(
    fault: str, exit_code: int | None, writes: int
) -> None:
    store = FakeStore(faults=[fault])
    result = await change(cast(Store, store), "class/a", b'"new"')
    assert (result.error.exit_code if result.is_error() else None) == exit_code
    assert store.writes == writes


async def test_second_of_two_operators_gets_a_conflict() -> None:
    store = FakeStore()
    first = await change(cast(Store, store), "class/a", b'"one"')
    second = await change(cast(Store, store), "class/a", b'"two"', expected=0)
    assert first.is_ok()
    assert second.error.exit_code == 1
    assert "someone else" in second.error.message


async def test_same_content_is_not_written_again() -> None:
    store = FakeStore()
    await change(cast(Store, store), "class/a", b'"one"')
    again = await change(cast(Store, store), "class/a", b'"one"')
    assert (again.ok.is_new, store.writes) == (False, 1)


async def test_removing_a_missing_object_is_refused() -> None:
    result = await change(cast(Store, FakeStore()), "class/a", None)
    assert result.error.exit_code == 1


@attrs.define
class RestoredStore(FakeStore):
    """Executes no write: before that, it is restored from a copy."""

    copied: dict[tuple[str, str], StoredObject] = attrs.field(factory=dict)

    async def put(
        self, kind: str, name: str, body: bytes, expected: int
    ) -> Result[int, StoreError]:
        return self._restore()

    async def delete(self, kind: str, name: str, expected: int) -> Result[int, StoreError]:
        return self._restore()

    def _restore(self) -> Result[int, StoreError]:
        self.objects = self.copied
        self.eras.observe(self.eras.era + 1)
        return Error(StoreError("no answer", is_outcome_unknown=True))


KEY = ("configuration", "class/a")


@pytest.mark.parametrize(
    ("copied", "present", "body"),
    [
        (b'"old"', b'"new"', b'"old"'),
        (b'"old"', None, b'"old"'),
        (None, b'"new"', None),
    ],
    ids=["changed back", "created again", "removed"],
)
async def test_the_content_of_a_restored_copy_is_not_taken_for_the_change(
    copied: bytes | None, present: bytes | None, body: bytes | None
) -> None:
    store = RestoredStore()
    store.eras.observe(1)
    if copied is not None:
        store.copied[KEY] = StoredObject(5, copied)
    if present is not None:
        store.objects[KEY] = StoredObject(6, present)
    result = await change(cast(Store, store), "class/a", body)
    assert result.error.exit_code == 4
    assert "restored" in result.error.message
