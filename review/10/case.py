"""The store turns a third of the machines away, all watchers among them; then routes change."""

import asyncio
import time
from pathlib import Path

from review.rig2.fleet import Fleet, route
from review.rig2.proxy import Proxy
from review.rig2.script import main

ROLES_SETTLE_SECONDS = 26.0
TURNED_AWAY_SECONDS = 9.0
CONFIG_DEADLINE = 2.0
MAX_STRETCH = 5.0
WATCH_SECONDS = 13.0
MAX_SHARE = 0.35
ZONES = ("kochi", "thrissur", "kozhikode")
SERVICES = ("quote-desk", "offer-ledger")
MACHINES_PER_ZONE = 9
OLD, NEW = "offer-ledger", "quote-desk"
PLANS = [
    (f"{zone}-{number}", zone, SERVICES[number % 2])
    for zone in ZONES
    for number in range(MACHINES_PER_ZONE)
]


def routes(service_of_offers: str) -> list[list[object]]:
    """Return the routes of a version."""
    return [
        route("lookup", "safe", "quote-desk", "1500ms"),
        route("offer", "unsafe", service_of_offers),
    ]


async def play(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Return the requests that machines with a path to the store handled by the old version."""
    await asyncio.sleep(ROLES_SETTLE_SECONDS)
    watchers = [name for name in fleet.machines if (await fleet.status(name))["is_watching"]]
    fleet.note(f"watch the store: {', '.join(watchers)}")
    if len(watchers) > MAX_SHARE * len(fleet.machines):
        raise RuntimeError("more machines watch than may be turned away")
    others = [name for name in fleet.machines if name not in watchers]
    turned_away = time.monotonic()
    if has_trouble:
        for name in watchers:
            proxies[name].turn_away()
        fleet.note("the store turns those machines away with 503")
    await asyncio.sleep(0.2)
    configured = await fleet.configure(2, routes(NEW))
    is_over = not has_trouble
    while time.monotonic() < configured + WATCH_SECONDS:
        if not is_over and time.monotonic() > turned_away + TURNED_AWAY_SECONDS:
            is_over = True
            for name in watchers:
                proxies[name].is_turned_away = False
            fleet.note("the store serves all machines again")
        round_ends = time.monotonic() + 0.25
        await asyncio.gather(
            *(fleet.request(name, "POST", "/offer/x", b"offer") for name in others)
        )
        await asyncio.sleep(max(0.0, round_ends - time.monotonic()))
    breaks = []
    for sent in fleet.sent:
        late = sent.at - configured
        for run in fleet.runs_of(sent.attempt_id):
            is_old = fleet.machines[run.server].service == OLD
            if late > CONFIG_DEADLINE + MAX_STRETCH and is_old:
                breaks.append(
                    f"CONFIG: {sent.attempt_id} sent to {sent.machine} {late:.2f} s after the "
                    f"acknowledgement ran at {run.server} of the old service {OLD}"
                )
    return breaks


async def start_proxies() -> None:
    """Start the path of each machine to the store."""
    for proxy in proxies.values():
        await proxy.start()


fleet = Fleet(PLANS, routes(OLD))
proxies = {name: Proxy(fleet.store_address) for name, _, _ in PLANS}
fleet.store_address_by_machine = {name: proxy.address for name, proxy in proxies.items()}

if __name__ == "__main__":
    main(fleet, play, Path(__file__).parent, [start_proxies])
