"""Versions are ordered by era, then by revision."""

from kingcuppond.store.era import EraTracker, era_of, format_version, make_version, revision_of


def test_versions_of_a_later_era_are_larger() -> None:
    versions = [make_version(era, revision) for era in (0, 1, 2) for revision in (1, 9, 10**9)]
    assert versions == sorted(versions)
    assert [(era_of(it), revision_of(it)) for it in versions[3:5]] == [(1, 1), (1, 9)]
    assert [format_version(it) for it in versions[1:4:2]] == ["9", "1 of era 1"]


def test_an_era_is_announced_once_and_never_goes_back() -> None:
    heard: list[int] = []
    eras = EraTracker(on_new_era=[heard.append])
    for era in (1, 1, 3, 2, 0):
        eras.observe(era)
    assert heard == [1, 3]
    assert eras.era == 3
