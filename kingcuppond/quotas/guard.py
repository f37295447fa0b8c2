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
from kingcuppond.quotas.ledger import OrganisationCount, QuotaPass
from kingcuppond.quotas.members import organisation_id, shard_of
from kingcuppond.quotas.peers import QuotaPeers
from kingcuppond.routing.call import Answer, Call

SHORTEST_WAIT_SECONDS: Final = 0.05
"""Shares change no sooner."""

WAIT_STEPS_PER_SECOND: Final = 100
OVER_QUOTA: Final = "the organisation is over its quota"
UNCONFIRMED: Final = "no daemon confirms that the organisation is within its quota"

SPACING_PART: Final = 0.2
"""Weight of the newest time between two requests in their average."""


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
    _refusals: dict[int, Result[QuotaPass, NotRun]] = attrs.field(factory=dict)
    _unconfirmed_refusals: dict[int, Result[QuotaPass, NotRun]] = attrs.field(factory=dict)

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
            # The link keeps the counts: a coordinator takes them for cumulative, also if the
            # organisation has a rate again.
            del self._counts_by_name[name]
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
        if not count.is_dirty:
            link.mark_changed(count)
        since = link.unacked_since
        if (since is not None and now - since > link.silent_seconds) or self.peers.is_tiny_part(
            organisation
        ):
            wait = self._admit_alone(organisation, count, now)
        elif link.shares_by_id and now < link.shares_until and count.id in link.shares_by_id:
            count.local = None
            wait = self._admit_share(count, link.shares_by_id[count.id], now)
        else:
            count.local = count.arrived_at = wait = None
        if wait is None:
            count.admitted += 1
            return count.passed
        count.refused += 1
        self.on_refused(organisation.name)
        return self._refuse(wait, count.local is None)

    def credit(self, quota_pass: QuotaPass) -> None:
        """Give back the admission of a request that was not run and never will be."""
        count = quota_pass.count
        if count is not None:
            count.credited += 1
            if not count.is_dirty:
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

    def _refuse(self, wait: float, is_confirmed: bool) -> Result[QuotaPass, NotRun]:
        """Return the refusal with a time; there is one object for each step of the time."""
        longest = self.peers.bound.window_seconds
        wait = SHORTEST_WAIT_SECONDS if wait < SHORTEST_WAIT_SECONDS else wait
        steps = int((wait if wait < longest else longest) * WAIT_STEPS_PER_SECOND)
        refusals = self._refusals if is_confirmed else self._unconfirmed_refusals
        refusal = refusals.get(steps)
        if refusal is None:
            detail = OVER_QUOTA if is_confirmed else UNCONFIRMED
            failure = NotRun(Reason.QUOTA, detail, steps / WAIT_STEPS_PER_SECOND)
            refusal = refusals[steps] = Error(failure)
        return refusal

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
        longest = self.peers.bound.window_seconds
        room = count.next_room if count.next_room > now else now
        room += count.spacing / share if share else longest
        count.next_room = room if room < now + longest else now + longest
        return count.next_room - now

    def _admit_alone(
        self, organisation: Organisation, count: OrganisationCount, now: float
    ) -> float | None:
        """Admit a request without a coordinator, or return the seconds until there is room."""
        basis = (organisation, self.peers.known, self.peers.bound)
        if count.local is None or count.local_basis != basis:
            count.local_basis = basis
            count.local_limits = local_limits(
                organisation.rate_per_second, organisation.burst, self.peers.bound, basis[1]
            )
        limits = count.local_limits
        if count.local is None:
            # What no coordinator knows of may have been beyond this daemon's part.
            count.local = Bucket(now, first_local_level(count.unacked, limits))
        count.local.advance(now, limits)
        if count.local.gamble(self.rng.random()):
            return None
        return (1.0 - count.local.level) / limits.rate
