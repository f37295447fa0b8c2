"""Cost of the quotas and of the keys of organisations.

``python -m bench.quotas``.  The first table shows the time of one decision and of the look-up of a
key, in microseconds, by the number of organisations; each is the best of several rounds, since
other load on the machine only adds to it.  The second shows control messages of a simulated fleet,
with the header of the transport and before encryption, by the number of daemons.
"""

import argparse
import time
from collections.abc import Callable
from random import Random
from typing import Any, Final

import attrs
import msgspec

from kingcuppond.clock import Clock
from kingcuppond.configuration.replica import Configuration
from kingcuppond.events.journal import Journal
from kingcuppond.organisations.keyring import make_keyring
from kingcuppond.organisations.organisation import Organisation, OrganisationTable
from kingcuppond.peers.registry import TYPES_BY_TAG
from kingcuppond.peers.transport import PROTOCOL_VERSION, Header
from kingcuppond.quotas.bucket import QuotaBound
from kingcuppond.quotas.guard import QuotaGuard
from kingcuppond.quotas.ledger import SILENT_SECONDS
from kingcuppond.quotas.loop import LOOP_SECONDS
from kingcuppond.quotas.peers import QuotaPeers

ROUNDS: Final = 50
DECISIONS: Final = 5_000
MICROSECONDS: Final = 1e6
STEP_SECONDS: Final = 0.01
MESSAGE_DELAY_SECONDS: Final = 0.002
TAGS_BY_TYPE: Final = {type_: tag for tag, type_ in TYPES_BY_TAG.items()}


@attrs.define
class FleetMembers:
    """Members that are all reachable."""

    data_centres_by_vm: dict[str, str]
    generation: int = 0

    @property
    def known(self) -> int:
        """Number of members."""
        return len(self.data_centres_by_vm)

    def reachable(self) -> dict[str, str]:
        """Return the data centre of each member."""
        return self.data_centres_by_vm

    def leaving(self) -> frozenset[str]:
        """Return nothing: no member is about to stop."""
        return frozenset()


def make_organisations(count: int, rate: float) -> tuple[Organisation, ...]:
    """Make organisations with one key each."""
    return tuple(
        Organisation(f"organisation-{i}", (f"key-{i}",), None, rate, rate) for i in range(count)
    )


def make_guard(
    vm: str,
    members: FleetMembers,
    organisations: tuple[Organisation, ...],
    now: Callable[[], float],
    send: Callable[[str, Any], None],
) -> QuotaGuard:
    """Make the guard of one daemon."""
    clock = Clock()
    peers = QuotaPeers(
        vm, members, QuotaBound(), send, lambda: int(now() * 1000), lambda _name, _share: None
    )
    configuration = Configuration(Journal(vm, clock))
    configuration.organisations = OrganisationTable(organisations)
    guard = QuotaGuard(configuration, peers, now, Random(vm), lambda _name: None, lambda: None)
    guard.on_configuration_change()
    return guard


def best_microseconds(run: Callable[[], None]) -> float:
    """Return the least time of one of the decisions that ``run`` makes."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        run()
        best = min(best, time.perf_counter() - started)
    return best / DECISIONS * MICROSECONDS


def measure_decisions(count: int) -> tuple[float, float, float, float]:
    """Return the microseconds of a look-up and of a decision: unlimited, limited, and alone."""
    organisations = make_organisations(count, 50.0)
    keyring = make_keyring(OrganisationTable(organisations))
    members = FleetMembers({f"vm-{i}": "dc-1" for i in range(86)})
    rng = Random(1)
    chosen = [rng.choice(organisations) for _ in range(DECISIONS)]
    keys = [organisation.keys[0] for organisation in chosen]
    guard = make_guard("vm-0", members, organisations, lambda: 1.0, lambda _vm, _message: None)

    def look_up() -> None:
        for key in keys:
            keyring.find(key)

    def decide(now: float) -> Callable[[], None]:
        def run() -> None:
            for organisation in chosen:
                guard.admit(organisation, now)

        return run

    found, unlimited = best_microseconds(look_up), best_microseconds(decide(1.0))
    for link in guard.peers.links:
        link.shares_by_id = dict.fromkeys(guard.peers.organisations_by_id, 0.2)
        link.shares_until = 100.0
    limited = best_microseconds(decide(1.0))
    guard.peers.tick(2.0)
    alone = best_microseconds(decide(2.0 + 2 * SILENT_SECONDS))
    return found, unlimited, limited, alone


@attrs.define
class SimulatedTraffic:
    """Counts the messages of simulated daemons and delivers them a little later."""

    now: float = 1000.0
    messages: int = 0
    bytes: int = 0
    _waiting: list[tuple[float, str, str, Any]] = attrs.field(factory=list)

    def send(self, sender: str, receiver: str, message: Any) -> None:
        """Send a message."""
        header = Header(PROTOCOL_VERSION, TAGS_BY_TYPE[type(message)], 0, sender, 1 << 56)
        self.messages += 1
        self.bytes += len(msgspec.msgpack.encode(header)) + len(msgspec.msgpack.encode(message))
        self._waiting.append((self.now + MESSAGE_DELAY_SECONDS, sender, receiver, message))

    def take_due(self) -> list[tuple[float, str, str, Any]]:
        """Return the messages that arrive now."""
        due = [entry for entry in self._waiting if entry[0] <= self.now]
        self._waiting = [entry for entry in self._waiting if entry[0] > self.now]
        return due


def measure_messages(
    daemons: int, calls: float, organisations: tuple[Organisation, ...], seconds: float
) -> tuple[float, float, int]:
    """Return bytes and messages per second and daemon, and the refused requests.

    :param calls: calls per second at each daemon
    """
    rng = Random(1)
    traffic = SimulatedTraffic()
    members = FleetMembers({f"sidecar-{i}": f"dc-{i % 18}" for i in range(daemons)})

    def sender(vm: str) -> Callable[[str, Any], None]:
        return lambda receiver, message: traffic.send(vm, receiver, message)

    guards = {
        vm: make_guard(vm, members, organisations, lambda: traffic.now, sender(vm))
        for vm in members.data_centres_by_vm
    }
    next_tick = {vm: traffic.now + rng.random() * LOOP_SECONDS for vm in guards}
    names = list(guards)
    refused = 0
    warm_up = traffic.now + seconds / 2
    end = warm_up + seconds
    before = (0, 0)
    due_calls = 0.0
    while traffic.now < end:
        traffic.now += STEP_SECONDS
        if not before[0] and traffic.now >= warm_up:
            before = (traffic.bytes, traffic.messages)
        due_calls += daemons * calls * STEP_SECONDS
        for _ in range(int(due_calls)):
            guard = guards[rng.choice(names)]
            refused += guard.admit(rng.choice(organisations), traffic.now).is_error()
        due_calls %= 1
        for _, origin, receiver, message in traffic.take_due():
            guards[receiver].peers.on_message(origin, message, traffic.now)
        for vm, at in next_tick.items():
            if at <= traffic.now:
                next_tick[vm] = at + LOOP_SECONDS
                guards[vm].peers.tick(traffic.now)
    scale = daemons * seconds
    return (
        (traffic.bytes - before[0]) / scale,
        (traffic.messages - before[1]) / scale,
        refused,
    )


def main() -> None:
    """Measure and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--organisations", type=int, nargs="+", default=[10, 100, 1000, 10_000])
    parser.add_argument("--daemons", type=int, nargs="*", default=[86])
    parser.add_argument("--calls", type=float, default=4.9)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--fleet-organisations", type=int, default=85)
    options = parser.parse_args()
    print("organisations  look-up us  unlimited us  limited us  alone us")
    for count in options.organisations:
        found, unlimited, limited, alone = measure_decisions(count)
        print(f"{count:13}{found:12.2f}{unlimited:14.2f}{limited:12.2f}{alone:10.2f}", flush=True)
    print("daemons  calls/s each  bytes/s each  messages/s each  refused")
    for daemons in options.daemons:
        count = options.fleet_organisations
        rate = 1.6 * daemons * options.calls / count
        organisations = make_organisations(count, rate)
        bytes_, messages, refused = measure_messages(
            daemons, options.calls, organisations, options.seconds
        )
        row = f"{daemons:7}{options.calls:14.1f}{bytes_:14.0f}{messages:17.2f}{refused:9}"
        print(row, flush=True)


if __name__ == "__main__":
    main()
