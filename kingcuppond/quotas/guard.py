"""Admits the requests of organisations within their quotas of the whole fleet."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import attrs
from expression import Error, Ok, Result

from kingcuppond.configuration.replica import Configuration
from kingcuppond.organisations.organisation import Organisation
from kingcuppond.outcomes import Failure, NotRun, Reason
from kingcuppond.quotas.bucket import Bucket, first_local_level, local_limits
from kingcuppond.quotas.ledger import OrganisationCount
from kingcuppond.quotas.members import organisation_id, shard_of
from kingcuppond.quotas.peers import QuotaPeers
from kingcuppond.routing.call import Answer, Call

OVER_QUOTA: Final = "the organisation {name} is over its quota"
UNCONFIRMED: Final = "no daemon confirms that the organisation {name} is within its quota"
SHORTEST_WAIT_SECONDS: Final = 0.05
"""Shares change no sooner."""

SPACING_PART: Final = 0.2
"""Weight of the newest time between two requests in their average."""


@attrs.frozen
class QuotaPass:
    """The admission of one request; ``None`` if its organisation is not limited."""

    count: OrganisationCount | None


UNLIMITED: Final[Result[QuotaPass, NotRun]] = Ok(QuotaPass(None))


@attrs.define
class QuotaGuard:
    """Decides on each request with what this daemon knows, and counts it.

    :param now: monotonic clock, in seconds
    :param on_refused: called with the name of the organisation for each refused request
    :param on_active: called when there are organisations with a rate
    """

    configuration: Configuration
    peers: QuotaPeers
    now: Callable[[], float]
    rng: Random
    on_refused: Callable[[str], None]
    on_active: Callable[[], None]
    _counts_by_name: dict[str, OrganisationCount] = attrs.field(factory=dict)

    def on_configuration_change(self) -> None:
        """Take over the rates."""
        table = self.configuration.organisations
        organisations = () if table is None else table.organisations
        rated = {it.name: it for it in organisations if it.rate_per_second > 0}
        if not rated and not self.peers.organisations_by_id:
            return
        self.peers.organisations_by_id.clear()
        for name, organisation in rated.items():
            self.peers.organisations_by_id[organisation_id(name)] = organisation
        for name in self._counts_by_name.keys() - rated.keys():
            count = self._counts_by_name.pop(name)
            count.link.forget(count)
        if rated:
            self.on_active()

    @property
    def is_active(self) -> bool:
        """Whether any organisation has a rate."""
        return bool(self.peers.organisations_by_id)

    def admit(self, organisation: Organisation | None, now: float) -> Result[QuotaPass, NotRun]:
        """Admit a request, or refuse it with the time after which there will be room.

        :param now: monotonic time in seconds
        """
        if organisation is None or organisation.rate_per_second <= 0:
            return UNLIMITED
        count = self._counts_by_name.get(organisation.name)
        if count is None:
            count = self._make_count(organisation.name, now)
        link = count.link
        link.mark_changed(count)
        wait: float | None = None
        if link.is_silent(now) or self.peers.is_tiny_part(organisation):
            wait = self._admit_alone(organisation, count, now)
        else:
            count.local = None
            share = link.shares_by_id.get(count.id) if link.shares_by_id else None
            if share is not None and now < link.shares_until:
                wait = self._admit_share(count, share, now)
            else:
                count.arrived_at = None
        if wait is None:
            count.admitted += 1
            return Ok(QuotaPass(count))
        count.refused += 1
        self.on_refused(organisation.name)
        detail = (OVER_QUOTA if count.local is None else UNCONFIRMED).format(name=organisation.name)
        wait = min(max(SHORTEST_WAIT_SECONDS, wait), self.peers.bound.window_seconds)
        return Error(NotRun(Reason.QUOTA, detail, wait))

    def credit(self, quota_pass: QuotaPass) -> None:
        """Give back the admission of a request that was not run and never will be."""
        count = quota_pass.count
        if count is not None:
            count.credited += 1
            count.link.mark_changed(count)

    async def run(
        self,
        organisation: Organisation | None,
        call: Call,
        run: Callable[[Call], Awaitable[Result[Answer, Failure]]],
    ) -> Result[Answer, Failure]:
        """Run a call if it is within the quota, and give its admission back if it did not run."""
        admitted = self.admit(organisation, self.now())
        if admitted.is_error():
            return Error(admitted.error)
        if admitted.ok.count is None:
            return await run(call)
        try:
            result = await run(call)
        except BaseException:
            if not call.delivery.may_have_run:
                self.credit(admitted.ok)
            raise
        if result.is_error() and isinstance(result.error, NotRun):
            self.credit(admitted.ok)
        return result

    def _make_count(self, name: str, now: float) -> OrganisationCount:
        self.peers.refresh(now)
        id_ = organisation_id(name)
        count = self.peers.links[shard_of(id_)].count(id_, self.rng)
        self._counts_by_name[name] = count
        return count

    def _admit_share(self, count: OrganisationCount, share: float, now: float) -> float | None:
        """Admit a request, or return the seconds until there is room."""
        if count.arrived_at is not None:
            count.spacing += SPACING_PART * (now - count.arrived_at - count.spacing)
        count.arrived_at = now
        count.due += share
        if count.due >= 1.0:
            count.due -= 1.0
            return None
        # Requests that are refused are told to return one after the other, each when about as many
        # requests have arrived as are needed for one more admission.
        wait = count.spacing / share if share else self.peers.bound.window_seconds
        count.next_room = max(count.next_room, now) + wait
        latest = now + self.peers.bound.window_seconds
        count.next_room = min(count.next_room, latest)
        return count.next_room - now

    def _admit_alone(
        self, organisation: Organisation, count: OrganisationCount, now: float
    ) -> float | None:
        """Admit a request without a coordinator, or return the seconds until there is room."""
        limits = local_limits(
            organisation.rate_per_second, organisation.burst, self.peers.bound, self.peers.known
        )
        if count.local is None:
            # What no coordinator knows of may have been beyond this daemon's part.
            count.local = Bucket(now, first_local_level(count.unacked, limits))
        count.local.advance(now, limits)
        if count.local.gamble(self.rng.random()):
            return None
        return (1.0 - count.local.level) / limits.rate
