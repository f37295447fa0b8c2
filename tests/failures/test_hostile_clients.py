"""Clients that are not under control exhaust neither the memory nor the descriptors of a daemon.

The daemon is a process of its own on the users' platform.  A crowd of clients acts at one of its
ports; afterwards, while all of them stay connected, the process must be alive, its memory and
descriptors must have stayed within the limits of the smallest VM, and an ordinary request must be
answered.  Nothing here depends on how fast the machine is.

The crowd and the bounds come from docs/HARD-LOAD.md and not from measurements: the callers of one
VM may have some hundreds of connections open, and the smallest VM has 200 MB and 4,100
descriptors, 200 of them for files.  Where descriptors are counted, all figures are a tenth.
"""

import asyncio
import itertools
import json
import resource
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager, suppress
from pathlib import Path

import attrs
import pytest

from kingcuppond.settings.daemon import DaemonSettings
from standins.fleet import Fleet, plan_service
from tests.failures.test_platform import HOST, configure, send

MAX_MEMORY_BYTES = 200_000_000
MAX_DESCRIPTORS = 410
FILE_DESCRIPTORS = 20

CLIENTS = 200
"""Clients that send much; ordinary callers of one VM have as many connections open."""

CONNECTIONS = 800
"""Connections that send little: about twice as many as there are descriptors."""

FEW_CLIENTS = 10
"""Clients that send more requests before the first one is answered."""

ATTACK_SECONDS = 10.0
"""Clients whose sending is blocked stop after this time, and stay connected."""

LIMITS = {"max_connections": 200}
"""Settings that are a tenth too, for the daemons that have them."""

PLANS = plan_service("shop", {"dc-1": 1})
MANY_SLOTS_PLANS = plan_service("shop", {"dc-1": 1}, "--slots", str(CLIENTS))
VM_NAME = PLANS[0].name

PORTS = ["caller_address", "relay_address", "server_address", "ready_address", "metrics_address"]
PATHS = {
    "caller_address": "/read/1",
    "relay_address": "/read/1",
    "server_address": "/heartbeat",
    "ready_address": "/ready",
    "metrics_address": "/v1/status",
}

FIELD = b"a" * 16_000
LONG_FIELDS = b"".join(b"X-%d: %s\r\n" % (index, FIELD) for index in range(120))
BLOCK_BYTES = 65_536
MAX_SENT_BYTES = 4_000_000

UNFRAMED_BYTES = 7_000_000
UNFRAMED_SECONDS = 3.0
"""Longer than the route's timeout, so that the requests of a wave of clients have ended."""

WAVES = 4

GIVEN_UP_MS = 300
GIVEN_UP_ROUNDS = 20
"""Answers that each client lets end unread, one after another."""

Script = Callable[["Client"], Awaitable[None]]


@attrs.define
class Client:
    """A client that sends and never reads."""

    port: str
    address: tuple[str, int]
    connected: socket.socket

    def head(self, method: str = "GET", fields: str = "", path: str = "") -> bytes:
        """Return a head without the empty line at its end."""
        target = path or PATHS[self.port]
        return f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n{fields}".encode()

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.connected, data)

    async def send_repeatedly(self, block: bytes) -> None:
        """Send a block again and again, up to a limit, in place of sending it without end."""
        for _ in range(MAX_SENT_BYTES // len(block)):
            await self.send(block)


@attrs.define
class Target:
    """The process under attack.

    :ivar descriptors: the most that it had open when they were counted
    """

    fleet: Fleet
    descriptors: int = 0

    @property
    def folder(self) -> Path:
        pid = self.fleet.vms_by_name[VM_NAME].processes_by_role["daemon"].pid
        return Path(f"/proc/{pid}")

    def address(self, port: str) -> tuple[str, int]:
        text = self.fleet.vms_by_name[VM_NAME].settings.read_text().partition("\n")[2]
        host, _, number = json.loads(text)[port].rpartition(":")
        return host, int(number)

    def peak_memory_bytes(self) -> int:
        """Return the largest resident memory since the start of the process."""
        lines = (self.folder / "status").read_text().splitlines()
        return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:"))

    def is_alive(self) -> bool:
        return self.fleet.vms_by_name[VM_NAME].processes_by_role["daemon"].poll() is None

    def is_within_bounds(self) -> bool:
        self.descriptors = max(self.descriptors, len(list((self.folder / "fd").iterdir())))
        return (
            self.peak_memory_bytes() < MAX_MEMORY_BYTES
            and self.descriptors <= MAX_DESCRIPTORS - FILE_DESCRIPTORS
        )

    async def check(self) -> None:
        """Check that the daemon has survived, within its bounds, and serves an ordinary caller."""
        assert self.is_alive()
        is_within_bounds = self.is_within_bounds()
        figures = f"{self.peak_memory_bytes() // 1_000_000} MB, {self.descriptors} descriptors"
        print(figures)
        assert is_within_bounds, figures
        end = asyncio.get_running_loop().time() + 30
        status = 0
        while status != 200 and asyncio.get_running_loop().time() < end:
            host, number = self.address("caller_address")
            status = (await send(f"{host}:{number}", "/read/1")).status
        assert status == 200
        assert self.is_alive()


@pytest.fixture
def target(request: pytest.FixtureRequest) -> Iterator[Target]:
    """Start the process, beside a server with few slots unless the test gives a plan for it."""
    with ExitStack() as stack:
        plans = getattr(request, "param", PLANS)
        fleet = stack.enter_context(Fleet(plans, is_on_platform=True))
        vm = fleet.vms_by_name[VM_NAME]
        known = {field.name for field in attrs.fields(DaemonSettings)}
        limits = {name: value for name, value in LIMITS.items() if name in known}
        comment, _, text = vm.settings.read_text().partition("\n")
        vm.settings.write_text(f"{comment}\n{json.dumps({**json.loads(text), **limits})}")
        # The daemon was started with the settings of the fleet; these hold from its start.
        fleet.kill(VM_NAME, "daemon")
        fleet.start_daemon(VM_NAME)
        pid = vm.processes_by_role["daemon"].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))
        configure(fleet)
        fleet.wait_until_ready()
        yield Target(fleet)


@asynccontextmanager
async def attacked(
    target: Target, port: str, script: Script, clients: int = CLIENTS
) -> AsyncIterator[None]:
    """Let clients act at a port until all are done or blocked, and keep them connected."""
    address = target.address(port)
    with ExitStack() as stack:

        async def act() -> None:
            connected = stack.enter_context(socket.socket())
            connected.setblocking(False)
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(ATTACK_SECONDS):
                    await asyncio.get_running_loop().sock_connect(connected, address)
                    await script(Client(port, address, connected))

        async def watch() -> None:
            while target.is_within_bounds():
                await asyncio.sleep(0.02)

        attack = asyncio.gather(*(act() for _ in range(clients)))
        watching = asyncio.create_task(watch())
        # The rest of an attack shows nothing once a bound is exceeded.
        await asyncio.wait({attack, watching}, return_when=asyncio.FIRST_COMPLETED)
        for waited in (attack, watching):
            waited.cancel()
            with suppress(asyncio.CancelledError, OSError):
                await waited
        yield


async def send_head_without_end(client: Client) -> None:
    await client.send(client.head() + LONG_FIELDS)


async def send_long_head(client: Client) -> None:
    await client.send(client.head() + LONG_FIELDS + b"\r\n")


async def send_field_without_end(client: Client) -> None:
    await client.send(client.head() + b"X-A: ")
    await client.send_repeatedly(b"a" * BLOCK_BYTES)


async def send_target_without_end(client: Client) -> None:
    await client.send(b"GET /")
    await client.send_repeatedly(b"a" * BLOCK_BYTES)


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize(
    "script",
    [send_head_without_end, send_long_head, send_field_without_end, send_target_without_end],
)
async def test_heads_over_the_limit(target: Target, port: str, script: Script) -> None:
    """Guards against heads that fill the memory, since each of their fields has a limit only."""
    async with attacked(target, port, script):
        await target.check()


@pytest.mark.parametrize("port", PORTS)
async def test_empty_lines_without_end(target: Target, port: str) -> None:
    """Guards against bytes before a request that no limit of a head counts."""

    async def send_empty_lines(client: Client) -> None:
        await client.send_repeatedly(b"\r\n" * (BLOCK_BYTES // 2))

    async with attacked(target, port, send_empty_lines):
        await target.check()


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("is_silent", [True, False], ids=["nothing", "a byte now and then"])
async def test_many_connections(target: Target, port: str, is_silent: bool) -> None:
    """Guards against connections that use all descriptors, so that no caller is accepted."""

    async def send_little(client: Client) -> None:
        head = client.head()
        for index in range(20):
            await asyncio.sleep(0.1)
            if not is_silent:
                await client.send(head[index : index + 1])

    async with attacked(target, port, send_little, CONNECTIONS):
        await target.check()


@pytest.mark.parametrize("port", PORTS)
async def test_answers_that_are_never_read(target: Target, port: str) -> None:
    """Guards against answers and pipelined requests that wait in memory for a client to read on."""
    paths = {"caller_address": "/none/", "metrics_address": "/v1/events"}

    async def fill_journal(client: Client) -> None:
        await client.send((client.head(path="/none/") + b"\r\n") * 100)

    async def send_requests(client: Client) -> None:
        await client.send_repeatedly((client.head(path=paths.get(port, "")) + b"\r\n") * 1000)

    async with attacked(target, "caller_address", fill_journal, 50):
        pass
    async with attacked(target, port, send_requests):
        await target.check()


async def test_long_answers_without_a_length_that_are_never_read(target: Target) -> None:
    """Guards against whole answers that are held in memory for as long as nobody takes them."""
    fields = "X-Kingcuppond-Attempt-Id: {}\r\nX-Kingcuppond-Deadline-Ms: 2000\r\n"
    ids = itertools.count(1)

    async def request_long_answer(client: Client) -> None:
        path = f"/read/1?unframed={UNFRAMED_BYTES}"
        await client.send(client.head(fields=fields.format(f"l{next(ids)}"), path=path) + b"\r\n")
        await asyncio.sleep(UNFRAMED_SECONDS)

    async with AsyncExitStack() as waves:
        for _ in range(WAVES):
            attack = attacked(target, "caller_address", request_long_answer, CLIENTS // WAVES)
            await waves.enter_async_context(attack)
        await target.check()


@pytest.mark.parametrize("target", [MANY_SLOTS_PLANS], ids=["many slots"], indirect=True)
async def test_long_answers_that_are_not_read_in_time(target: Target) -> None:
    """Guards against aborted answers that stay in memory until the garbage collector runs."""
    ids = itertools.count(1)

    async def request_again(client: Client) -> None:
        loop = asyncio.get_running_loop()
        path = f"/read/1?unframed={UNFRAMED_BYTES}"
        for _ in range(GIVEN_UP_ROUNDS):
            fields = (
                f"X-Kingcuppond-Attempt-Id: g{next(ids)}\r\n"
                f"X-Kingcuppond-Deadline-Ms: {GIVEN_UP_MS}\r\n"
            )
            with socket.socket() as connected, suppress(OSError):
                connected.setblocking(False)
                await loop.sock_connect(connected, client.address)
                await loop.sock_sendall(connected, client.head(fields=fields, path=path) + b"\r\n")
                await asyncio.sleep(GIVEN_UP_MS / 1000 * 1.5)

    async with attacked(target, "caller_address", request_again, CLIENTS // WAVES):
        await target.check()


@pytest.mark.parametrize("port", ["caller_address", "metrics_address"])
async def test_long_heads_behind_a_request(target: Target, port: str) -> None:
    """Guards against pipelined requests that are read ahead up to a number, whatever their size."""

    async def send_ahead(client: Client) -> None:
        path = "/read/1?ms=1500" if port == "caller_address" else "/metrics"
        await client.send((client.head(path=path) + b"\r\n") * 20)
        for _ in range(32):
            await client.send(client.head(path="/none/") + LONG_FIELDS + b"\r\n")

    async with attacked(target, port, send_ahead, FEW_CLIENTS):
        await target.check()


@pytest.mark.parametrize("port", ["caller_address", "metrics_address"])
async def test_garbage_behind_a_request(target: Target, port: str) -> None:
    """Guards against parser errors that are kept, with the bytes, for each piece that is read."""

    async def send_garbage(client: Client) -> None:
        path = "/read/1?ms=1500" if port == "caller_address" else "/metrics"
        await client.send((client.head(path=path) + b"\r\n") * 20)
        await client.send_repeatedly(b"\x00" * BLOCK_BYTES)

    async with attacked(target, port, send_garbage, FEW_CLIENTS):
        await target.check()


async def send_chunk_extension(client: Client) -> None:
    await client.send(client.head("POST", "Transfer-Encoding: chunked\r\n") + b"\r\n5;a=")
    await client.send_repeatedly(b"a" * BLOCK_BYTES)


async def send_many_chunk_extensions(client: Client) -> None:
    await client.send(client.head("POST", "Transfer-Encoding: chunked\r\n") + b"\r\n")
    await client.send_repeatedly(b"1;a=" + b"a" * 1000 + b"\r\nx\r\n")


async def send_trailers(client: Client) -> None:
    head = client.head("POST", "Transfer-Encoding: chunked\r\n")
    await client.send(head + b"\r\n5\r\nhello\r\n0\r\n" + LONG_FIELDS)


async def send_broken_chunks(client: Client) -> None:
    await client.send(client.head("POST", "Transfer-Encoding: chunked\r\n") + b"\r\n5\r\nhello\r\n")
    await client.send_repeatedly(b"\x00" * BLOCK_BYTES)


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize(
    "script", [send_chunk_extension, send_many_chunk_extensions, send_trailers, send_broken_chunks]
)
async def test_chunk_framing_without_end(target: Target, port: str, script: Script) -> None:
    """Guards against parts of a chunked body that no limit of a body counts."""
    async with attacked(target, port, script):
        await target.check()


async def send_single_bytes(client: Client) -> None:
    await client.send(client.head("POST", "Content-Length: 60000\r\n") + b"\r\n" + FIELD)
    for _ in range(30):
        await client.send(b"a")
        await asyncio.sleep(0.1)


async def send_tiny_chunks(client: Client) -> None:
    await client.send(client.head("POST", "Transfer-Encoding: chunked\r\n") + b"\r\n")
    for _ in range(30):
        await client.send(b"2\r\naa\r\n" * 1000)
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("script", [send_single_bytes, send_tiny_chunks])
async def test_bodies_that_trickle(target: Target, port: str, script: Script) -> None:
    """Guards against bodies that are held in memory in many small pieces."""
    async with attacked(target, port, script):
        await target.check()
