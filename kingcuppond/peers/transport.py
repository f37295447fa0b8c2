"""Control messages between daemons, over ZeroMQ.

Each daemon binds one ROUTER socket and opens a DEALER socket to each peer that it sends messages
to.  Idle sockets are closed, so their number grows with the contacts of a daemon and not with the
fleet.  A message is two frames: a header, then a body whose type is given by the header's tag.

If the fleet has a key, only daemons that hold it can connect.  It is the secret half of a CURVE key
pair that all daemons share: a connection is refused unless the peer proves that it has the key.
Without a key, the network between the daemons is trusted.

A ``tell`` may be lost; an ``ask`` has a timeout.  The transport never sends a message again.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

import attrs
import msgspec
import zmq
import zmq.asyncio
import zmq.auth.asyncio
import zmq.utils.z85
from expression import Error, Ok, Result

from kingcuppond.clock import Clock
from kingcuppond.events import catalogue
from kingcuppond.events.journal import Journal
from kingcuppond.settings.checks import has_valid_port

PROTOCOL_VERSION: Final = 1
ZMQ_HEARTBEAT_INTERVAL_MS: Final = 2000
ZMQ_HEARTBEAT_TIMEOUT_MS: Final = 4000
CONNECTION_IDLE_SECONDS: Final = 30.0
SEND_QUEUE_MESSAGES: Final = 1000
MAX_MESSAGE_BYTES: Final = 4_000_000
ZAP_DOMAIN: Final = "kingcuppond"

Handler = Callable[[str, Any], Awaitable[Any]]
T = TypeVar("T")


@attrs.frozen
class Header:
    """The header of a message.

    :param version: version of the wire protocol
    :param tag: the registry's name for the type of the body
    :param id: correlation id of a request and its reply; 0 if no reply is expected
    :param sender: name of the sending VM
    :param stamp: the sender's hybrid logical clock
    """

    version: int
    tag: str
    id: int
    sender: str
    stamp: int


@attrs.frozen
class PeerError:
    """A request to a peer got no valid reply."""

    message: str


@attrs.define
class _Connection:
    socket: zmq.asyncio.Socket
    reader: asyncio.Task[None]
    last_used: float


@attrs.define
class FleetKeys:
    """The CURVE key pair that all daemons of a fleet share."""

    public: bytes
    secret: bytes


def derive_keys(fleet_key: bytes) -> FleetKeys | None:
    """Derive the CURVE key pair from the 32 bytes of the fleet's key; ``None`` without a key."""
    if not fleet_key:
        return None
    secret = zmq.utils.z85.encode(fleet_key)
    return FleetKeys(zmq.curve_public(secret), secret)


class PeerTransport:
    """Sends and receives control messages.

    :param vm: name of this VM
    :param address: address to listen on
    :param keys: the fleet's key pair, or ``None`` to trust the network
    :param types_by_tag: the registry of messages
    """

    def __init__(
        self,
        vm: str,
        address: str,
        keys: FleetKeys | None,
        types_by_tag: dict[str, type],
        clock: Clock,
        journal: Journal,
    ) -> None:
        self.handlers_by_type: dict[type, Handler] = {}
        self.bytes_sent = 0
        self.messages_sent = 0
        self._vm = vm
        self._address = address
        self._keys = keys
        self._types_by_tag = types_by_tag
        self._tags_by_type = {type_: tag for tag, type_ in types_by_tag.items()}
        self._clock = clock
        self._journal = journal
        self._context = zmq.asyncio.Context()
        self._connections_by_address: dict[str, _Connection] = {}
        self._futures_by_id: dict[int, asyncio.Future[Any]] = {}
        self._last_id = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None

    async def start(self) -> None:
        """Bind the socket and start to serve.

        :raises zmq.ZMQError: the address cannot be bound
        """
        socket = self._context.socket(zmq.ROUTER)
        self._configure(socket)
        if self._keys is not None:
            self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback(ZAP_DOMAIN, credentials_provider=self)
            socket.curve_server = True
            socket.zap_domain = ZAP_DOMAIN.encode()
        socket.bind(f"tcp://{self._address}")
        self._spawn(self._serve(socket))
        self._spawn(self._close_idle_connections())

    def callback(self, _domain: str, key: bytes) -> bool:
        """Return whether a client's public key is the fleet's; called by the authenticator."""
        return self._keys is not None and key == self._keys.public

    async def close(self) -> None:
        """Close all sockets and cancel all tasks."""
        for connection in self._connections_by_address.values():
            connection.reader.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def tell(self, address: str, message: Any) -> None:
        """Send a message that expects no reply; it may be lost."""
        self._try_to_send(address, message, 0)

    async def ask(
        self, address: str, message: Any, reply_type: type[T], timeout: float
    ) -> Result[T, PeerError]:
        """Send a request and wait for its reply.

        :param timeout: seconds to wait
        :return: the reply, or why there is none; the peer may have acted on the request anyway
        """
        self._last_id += 1
        message_id = self._last_id
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._futures_by_id[message_id] = future
        try:
            error = self._try_to_send(address, message, message_id)
            if error is not None:
                return Error(error)
            async with asyncio.timeout(timeout):
                reply = await future
        except TimeoutError:
            return Error(PeerError(f"{address} did not reply in time"))
        finally:
            del self._futures_by_id[message_id]
        if not isinstance(reply, reply_type):
            return Error(PeerError(f"{address} replied with {type(reply).__name__}"))
        return Ok(reply)

    def _configure(self, socket: zmq.asyncio.Socket) -> None:
        socket.linger = 0
        socket.sndhwm = SEND_QUEUE_MESSAGES
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        socket.heartbeat_ivl = ZMQ_HEARTBEAT_INTERVAL_MS
        socket.heartbeat_timeout = ZMQ_HEARTBEAT_TIMEOUT_MS
        if self._keys is not None:
            socket.curve_publickey = self._keys.public
            socket.curve_secretkey = self._keys.secret

    def _connect(self, address: str) -> _Connection:
        socket = self._context.socket(zmq.DEALER)
        self._configure(socket)
        if self._keys is not None:
            socket.curve_serverkey = self._keys.public
        # With ``immediate`` off, messages are also queued, up to SEND_QUEUE_MESSAGES, while the
        # connection is not established.  They are sent once it is, and may be stale by then.
        socket.immediate = False
        try:
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            socket.close(linger=0)
            raise
        reader = asyncio.create_task(self._read_replies(socket))
        connection = _Connection(socket, reader, self._clock.monotonic())
        self._connections_by_address[address] = connection
        return connection

    def _try_to_send(self, address: str, message: Any, message_id: int) -> PeerError | None:
        """Send a message, unless its address or content is unusable; both may come from others."""
        error = None if has_valid_port(address) else "it is not an address"
        if error is None:
            try:
                self._send(address, message, message_id)
            except (zmq.ZMQError, ValueError, OverflowError) as exc:
                error = repr(exc)
        if error is None:
            return None
        text = f"not sent to {address[:60]!r}: {error[:140]}"
        self._journal.record(catalogue.PEER_MESSAGE_DROPPED, error=text)
        return PeerError(text)

    def _send(self, address: str, message: Any, message_id: int) -> None:
        connection = self._connections_by_address.get(address) or self._connect(address)
        connection.last_used = self._clock.monotonic()
        self._send_frames(connection.socket, [], message, message_id)

    def _send_frames(
        self, socket: zmq.asyncio.Socket, routing_frames: list[bytes], message: Any, message_id: int
    ) -> None:
        tag = self._tags_by_type[type(message)]
        header = Header(PROTOCOL_VERSION, tag, message_id, self._vm, self._clock.stamp())
        frames = [msgspec.msgpack.encode(header), msgspec.msgpack.encode(message)]
        self.messages_sent += 1
        self.bytes_sent += sum(len(frame) for frame in frames)
        sent = socket.send_multipart(routing_frames + frames, flags=zmq.DONTWAIT)
        asyncio.ensure_future(sent).add_done_callback(_ignore_send_error)

    async def _serve(self, socket: zmq.asyncio.Socket) -> None:
        try:
            while True:
                frames = await socket.recv_multipart()
                self._spawn(self._handle_message(socket, frames))
        finally:
            socket.close(linger=0)

    async def _handle_message(self, socket: zmq.asyncio.Socket, frames: list[bytes]) -> None:
        decoded = self._decode(frames[1:])
        if decoded is None:
            return
        header, message = decoded
        handler = self.handlers_by_type.get(type(message))
        if handler is None:
            return
        reply = await handler(header.sender, message)
        if reply is not None and header.id and not socket.closed:
            self._send_frames(socket, frames[:1], reply, header.id)

    async def _read_replies(self, socket: zmq.asyncio.Socket) -> None:
        try:
            while True:
                decoded = self._decode(await socket.recv_multipart())
                if decoded is None:
                    continue
                header, message = decoded
                future = self._futures_by_id.get(header.id)
                if future is not None and not future.done():
                    future.set_result(message)
        finally:
            socket.close(linger=0)

    def _decode(self, frames: list[bytes]) -> tuple[Header, Any] | None:
        try:
            header_frame, body_frame = frames
            header = msgspec.msgpack.decode(header_frame, type=Header)
            if header.version != PROTOCOL_VERSION:
                raise ValueError(
                    f"unsupported protocol version {header.version} from {header.sender}"
                )
            message: Any = msgspec.msgpack.decode(body_frame, type=self._types_by_tag[header.tag])
        except (msgspec.MsgspecError, ValueError, KeyError, RecursionError) as exc:
            self._journal.record(catalogue.PEER_MESSAGE_DROPPED, error=repr(exc)[:200])
            return None
        self._clock.observe(header.stamp)
        return header, message

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(CONNECTION_IDLE_SECONDS / 4)
            oldest_use = self._clock.monotonic() - CONNECTION_IDLE_SECONDS
            for address, connection in list(self._connections_by_address.items()):
                if connection.last_used < oldest_use:
                    self.disconnect(address)

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer; the next message to it opens a new one."""
        connection = self._connections_by_address.pop(address, None)
        if connection is not None:
            connection.reader.cancel()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._journal.record(
                catalogue.TASK_FAILED, task="peer message", error=repr(task.exception())
            )


def _ignore_send_error(future: "asyncio.Future[Any]") -> None:
    # The message is dropped if the send queue is full: a tell may be lost, and an ask times out.
    if not future.cancelled():
        future.exception()
