"""Bad input gets a clear error; no server runs it, no process dies, later calls are served."""

import asyncio
import json
import os

import msgspec
import pytest
import zmq
from zmq.utils import z85

from standins.fleet import Fleet, plan_service
from standins.http_client import get_json
from tests.failures.callers import send
from tests.failures.conftest import StartFleet

PLANS = plan_service("shop", {"dc-1": 1})
VM_NAME = PLANS[0].name
REQUEST_HEAD = b"GET /shop/a HTTP/1.1\r\nHost: x\r\n"

HOSTILE_REQUESTS = [
    (
        "content length with chunked",
        REQUEST_HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    ),
    ("two content lengths", REQUEST_HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n"),
    ("negative content length", REQUEST_HEAD + b"Content-Length: -5\r\n"),
    ("unknown transfer coding", REQUEST_HEAD + b"Transfer-Encoding: cow\r\n"),
    ("space before the colon", REQUEST_HEAD + b"X-A : 1\r\n"),
    ("header without a colon", REQUEST_HEAD + b"nonsense\r\n"),
    ("control character in a value", REQUEST_HEAD + b"X-A: a\x00b\r\n"),
    ("header too large", REQUEST_HEAD + b"X-A: " + b"a" * 40_000 + b"\r\n"),
    ("too many headers", REQUEST_HEAD + b"X-A: 1\r\n" * 300),
    ("path too long", b"GET /shop/" + b"a" * 20_000 + b" HTTP/1.1\r\nHost: x\r\n"),
    ("not HTTP", b"\x16\x03\x01\x02\x00garbage\r\n"),
    ("absolute target", b"GET http://evil/shop/a HTTP/1.1\r\nHost: x\r\n"),
    ("asterisk target", b"OPTIONS * HTTP/1.1\r\nHost: x\r\n"),
    ("dot segments", b"GET /shop/../book HTTP/1.1\r\nHost: x\r\n"),
    ("escaped dot segments", b"GET /shop/%2e%2e/book HTTP/1.1\r\nHost: x\r\n"),
    ("two keys", REQUEST_HEAD + b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
    ("empty key", REQUEST_HEAD + b"Idempotency-Key:\r\n"),
    ("long key", REQUEST_HEAD + b"Idempotency-Key: " + b"k" * 300 + b"\r\n"),
    ("key that is not ASCII", REQUEST_HEAD + b"Idempotency-Key: \xc3\xa9\r\n"),
    ("deadline that is no number", REQUEST_HEAD + b"Kingcuppond-Deadline-Ms: soon\r\n"),
    ("deadline out of range", REQUEST_HEAD + b"Kingcuppond-Deadline-Ms: 0\r\n"),
    ("depth too large", REQUEST_HEAD + b"Kingcuppond-Depth: 99\r\n"),
    ("retry budget too large", REQUEST_HEAD + b"Kingcuppond-Retry-Budget: 99\r\n"),
    ("forged relay", REQUEST_HEAD + b'Kingcuppond-Relay: {"call":"x"}\r\nKingcuppond-Mac: 00\r\n'),
    ("relay without proof", REQUEST_HEAD + b"Kingcuppond-Relay: {}\r\n"),
    ("no class", b"GET /none HTTP/1.1\r\nHost: x\r\n"),
]


async def send_raw(address: str, data: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data + b"\r\n")
    try:
        return await asyncio.wait_for(reader.read(100_000), 5)
    except (OSError, TimeoutError):
        return b""
    finally:
        writer.close()


def total_runs(fleet: Fleet) -> int:
    return sum(fleet.runs(VM_NAME)["runs_by_id"].values())


async def test_hostile_requests_are_refused_as_not_run(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    vm = fleet.vms_by_name[VM_NAME]
    not_refused = []
    for name, data in HOSTILE_REQUESTS:
        answer = (await send_raw(vm.caller, data)).decode("latin-1").lower()
        status = answer.partition(" ")[2][:3]
        has_outcome = "kingcuppond-outcome: not-run" in answer
        if not (status.startswith("4") and has_outcome and "application/problem+json" in answer):
            not_refused.append((name, answer[:300]))
    assert not_refused == []
    assert total_runs(fleet) == 0
    assert (await send(vm.caller, "/shop/a", "after")).is_success


@pytest.mark.parametrize("port", ["peer", "server_port", "metrics", "caller"])
async def test_garbage_on_a_port_breaks_no_later_request(
    start_fleet: StartFleet, port: str
) -> None:
    fleet = start_fleet(PLANS)
    vm = fleet.vms_by_name[VM_NAME]
    for data in (
        b"\x00" * 1000,
        os.urandom(2000),
        b"PUT / HTTP/1.1\r\nContent-Length: 99\r\n\r\n{",
    ):
        await send_raw(getattr(vm, port), data)
    assert (await send(vm.caller, "/shop/a", "after")).is_success
    assert "Traceback" not in fleet.log(VM_NAME, "daemon")


async def test_bad_announcements_are_refused(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    vm = fleet.vms_by_name[VM_NAME]
    good = {"service": "shop", "address": vm.server, "state": "warm"}
    bodies = [
        b"{",
        b"x" * 100_000,
        json.dumps({**good, "service": "other"}).encode(),
        json.dumps({**good, "address": "localhost:1"}).encode(),
        json.dumps({**good, "state": "hot"}).encode(),
        json.dumps({**good, "load": {"slots": "six"}}).encode(),
    ]
    for body in bodies:
        reply = await send(vm.server_port, "/v1/announcement", "a", method="PUT", body=body)
        assert reply.status in (400, 413)
        assert reply.outcome in ("", "not-run")
    assert (await send(vm.caller, "/shop/a", "after")).is_success


async def test_messages_without_the_fleet_key_are_dropped(start_fleet: StartFleet) -> None:
    fleet = start_fleet(PLANS)
    vm = fleet.vms_by_name[VM_NAME]
    context = zmq.Context()
    key_pair = zmq.curve_keypair()
    fleet_public = zmq.curve_public(
        z85.encode(bytes.fromhex((fleet.folder / "fleet.key").read_text()))
    )
    sockets = []
    for is_curve in (False, True):
        socket = context.socket(zmq.DEALER)
        socket.linger = 0
        if is_curve:
            socket.curve_serverkey = fleet_public
            socket.curve_publickey, socket.curve_secretkey = key_pair
        socket.connect(f"tcp://{vm.peer}")
        socket.send_multipart([b"\x85", b"\x80"])
        sockets.append(socket)
    await asyncio.sleep(1)
    refused = "E801"
    assert refused not in fleet.log(VM_NAME, "daemon"), "the message must not reach the decoder"
    for socket in sockets:
        socket.close()
    context.destroy(linger=0)
    assert (await send(vm.caller, "/shop/a", "after")).is_success


async def test_undecodable_messages_with_the_fleet_key_are_logged_and_dropped(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(PLANS)
    vm = fleet.vms_by_name[VM_NAME]
    context = zmq.Context()
    socket = context.socket(zmq.DEALER)
    socket.linger = 0
    secret_key = z85.encode(bytes.fromhex((fleet.folder / "fleet.key").read_text()))
    socket.curve_secretkey = secret_key
    socket.curve_publickey = socket.curve_serverkey = zmq.curve_public(secret_key)
    socket.connect(f"tcp://{vm.peer}")
    header = {"version": 1, "tag": "ping", "id": 1, "sender": "x", "stamp": 1}

    encode = msgspec.msgpack.encode
    for frames in (
        [b"", b""],
        [b"\xff" * 50, b"x"],
        [encode({**header, "version": 2}), encode({"digest": 1})],
        [encode({**header, "tag": "none"}), encode({"digest": 1})],
        [encode(header), encode({"digest": "x"})],
        [encode(header), b"\x91" * 100_000],
        [encode(header)],
        [b"a"] * 10,
    ):
        socket.send_multipart(frames)
    await asyncio.sleep(1)
    socket.close()
    context.destroy(linger=0)
    log = fleet.log(VM_NAME, "daemon")
    assert log.count("E801") == 8
    assert "Traceback" not in log
    assert get_json(f"http://{vm.metrics}/v1/status")["vm"] == VM_NAME
    assert (await send(vm.caller, "/shop/a", "after")).is_success
