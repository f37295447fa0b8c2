"""Which era of the store is confirmed: all living members have written their claims to its log."""

from collections.abc import Callable

from kingcuppond.membership.directory import Directory


def make_confirmed_era(directory: Directory, has_joined: Callable[[], bool]) -> Callable[[], int]:
    """Return a function that returns the newest era that all living members have published.

    A member that is discovered later does not lower the era: nothing is known of its claims, as of
    those of a dead one.

    :param has_joined: returns whether the directory holds the other members
    """
    generation = -1
    era = 0

    def confirmed_era() -> int:
        nonlocal generation, era
        if generation != directory.generation and has_joined():
            generation = directory.generation
            era = max(era, min(member.store_era for member in directory.living()))
        return era

    return confirmed_era
