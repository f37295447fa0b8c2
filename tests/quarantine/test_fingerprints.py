"""What makes two requests the same."""

import pytest

from kingcuppond.quarantine.fingerprints import fingerprint, is_partial

REQUEST = {
    "caller_service": "shop",
    "host": "a.example",
    "method": "POST",
    "target": "/a?b=1",
    "start": b"body",
}


@pytest.mark.parametrize(
    "change",
    [
        {"caller_service": "desk"},
        {"host": "b.example"},
        {"method": "PUT"},
        {"target": "/a?b=2"},
        {"start": b"bodx"},
        {"is_partial": True},
    ],
    ids=lambda change: next(iter(change)),
)
def test_each_part_of_a_request_counts(change: dict[str, str | bytes | bool]) -> None:
    """Requests of two callers shared a state, so that the answers to one cleared the other."""
    assert fingerprint(**REQUEST) == fingerprint(**REQUEST)  # type: ignore[arg-type]
    assert fingerprint(**REQUEST) != fingerprint(**REQUEST | change)  # type: ignore[arg-type]


def test_a_fingerprint_of_the_start_of_a_body_is_partial() -> None:
    assert is_partial(fingerprint("shop", "a", "POST", "/", b"", is_partial=True))
    assert not is_partial(fingerprint("shop", "a", "POST", "/", b""))
