"""An idempotency key belongs to the organisation that sent it."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from kingcuppond.claims.keys import is_of_organisation, key_digest, stem_of
from kingcuppond.claims.shards import shard_of
from kingcuppond.outcomes import Reason, Unknown
from tests.claims.fleet import Fleet
from tests.membership.network import VirtualTimeLoop

Script = Callable[[Fleet], Awaitable[None]]


def play(script: Script) -> Fleet:
    """Run a script on a fleet of three daemons, and check that no key has run twice."""
    loop = VirtualTimeLoop()
    fleet = Fleet()

    async def run() -> None:
        await fleet.start(3)
        await script(fleet)
        await fleet.stop()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    assert fleet.errors == []
    return fleet


def test_the_digest_of_an_organisations_key_begins_with_its_stem() -> None:
    plain = key_digest("book", "k")
    own = key_digest("book", "k", "red")
    assert not is_of_organisation(plain) and is_of_organisation(own)
    assert stem_of(own) == stem_of(plain) == plain
    assert shard_of(own) == shard_of(plain)
    assert len({plain, own, key_digest("book", "k", "blue"), key_digest("book", "l", "red")}) == 4


def test_claims_without_an_organisation_keep_their_digest() -> None:
    """Stored claims of an earlier version must still hold their keys."""
    assert key_digest("book", "k").hex() == "5f78b27069e87fac7229fa4e0515e3ea"


def test_two_organisations_may_use_the_same_key() -> None:
    """The second one got the answer to the first one's request, and its own never ran."""

    async def script(fleet: Fleet) -> None:
        first = await fleet.daemons[0].call("k", "red")
        second = await fleet.daemons[1].call("k", "blue")
        assert first.ok.body != second.ok.body

    assert len(play(script).attempts) == 2


def test_two_organisations_may_use_the_same_key_at_once() -> None:
    async def script(fleet: Fleet) -> None:
        calls = [fleet.daemons[i % 3].call("k", name) for i, name in enumerate(["red", "blue"])]
        results = await asyncio.gather(*calls)
        assert all(result.is_ok() for result in results)

    assert len(play(script).attempts) == 2


def test_a_repeat_of_the_same_organisation_gets_the_first_answer() -> None:
    async def script(fleet: Fleet) -> None:
        first = await fleet.daemons[0].call("k", "red")
        second = await fleet.daemons[1].call("k", "red")
        assert first.ok.body == second.ok.body

    assert len(play(script).attempts) == 1


@pytest.mark.parametrize(("first", "second"), [("", "red"), ("red", "")])
def test_a_claim_of_unknown_organisation_holds_the_key_and_gives_no_answer(
    first: str, second: str
) -> None:
    """An earlier version, or an earlier configuration, claimed keys without an organisation."""

    async def script(fleet: Fleet) -> None:
        assert (await fleet.daemons[0].call("k", first)).is_ok()
        result = await fleet.daemons[1].call("k", second)
        assert isinstance(result.error, Unknown)
        assert result.error.reason is Reason.KEY_RAN

    assert len(play(script).attempts) == 1


@pytest.mark.parametrize(("first", "second"), [("", "red"), ("red", "")])
def test_claims_that_arrive_together_hold_the_key_against_each_other(
    first: str, second: str
) -> None:
    async def script(fleet: Fleet) -> None:
        calls = [fleet.daemons[0].call("k", first), fleet.daemons[0].call("k", second)]
        results = await asyncio.gather(*calls)
        assert sorted(result.is_ok() for result in results) == [False, True]

    assert len(play(script).attempts) == 1


def test_a_claim_of_unknown_organisation_that_has_not_run_frees_the_key() -> None:
    async def script(fleet: Fleet) -> None:
        fleet.outcomes.append("not-run")
        assert (await fleet.daemons[0].call("k")).is_error()
        assert (await fleet.daemons[1].call("k", "red")).is_ok()

    play(script)
