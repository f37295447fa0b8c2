"""Answers without a length, which end with their connection.

Only the end of the connection shows whether such an answer is whole.  It is, if the server has
closed the connection in the regular way after the whole request was sent to it.  A server that
closes it earlier, while the request is still being written, may have ended in the middle of its
answer, and the reset that the rest of the request causes may be seen after the close or not at all.
"""

from collections.abc import Callable

import aiohttp

from kingcuppond.http_connections import TrackedConnection
from kingcuppond.routing.call import InvalidAnswerError
from kingcuppond.streams import ReadPiece


def make_unframed_reader(
    response: aiohttp.ClientResponse, is_request_read: Callable[[], bool]
) -> ReadPiece:
    """Make a function that reads an answer without a length, piece by piece.

    It raises ``InvalidAnswerError`` at the end of an answer that may not be whole.

    :param is_request_read: returns whether the whole body of the request was passed to the
        connection
    """
    connection = response._protocol

    async def read() -> bytes:
        piece = await response.content.readany()
        if piece:
            return piece
        if not isinstance(connection, TrackedConnection) or not connection.is_ended:
            raise InvalidAnswerError("the answer has no length and its connection was not closed")
        if not is_request_read():
            raise InvalidAnswerError("the answer ended before the request was sent")
        return b""

    return read


async def read_start(read: ReadPiece, max_bytes: int) -> tuple[bytes, bool]:
    """Read a stream until it ends or is longer than ``max_bytes``.

    :return: what was read, and whether the stream has ended
    """
    pieces: list[bytes] = []
    size = 0
    while size <= max_bytes:
        piece = await read()
        if not piece:
            return b"".join(pieces), True
        pieces.append(piece)
        size += len(piece)
    return b"".join(pieces), False


def prepend(start: bytes, read: ReadPiece) -> ReadPiece:
    """Return a function that reads ``start`` and then the rest of the stream."""
    rest = [start]

    async def read_both() -> bytes:
        return rest.pop() if rest else await read()

    return read_both
