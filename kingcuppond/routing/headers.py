"""The headers between daemons, and the filter for headers that are not forwarded."""

from collections.abc import Iterable
from typing import Final

from multidict import CIMultiDict

from kingcuppond.outcomes import OUTCOME_HEADER
from kingcuppond.routing.call import HeaderPairs

RELAY_HEADER: Final = "Kingcuppond-Relay"
MAC_HEADER: Final = "Kingcuppond-Mac"
GATE_REPORT_HEADER: Final = "Kingcuppond-Gate"
CALL_HEADER: Final = "Kingcuppond-Call"
"""In an answer between daemons: the id of the call that it belongs to."""

HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
RELAY_HEADERS: Final = frozenset(name.lower() for name in (RELAY_HEADER, MAC_HEADER))
OWN_ANSWER_HEADERS: Final = frozenset(
    name.lower() for name in (OUTCOME_HEADER, GATE_REPORT_HEADER, CALL_HEADER)
)


def end_to_end(
    headers: Iterable[tuple[str, str]], connection: str, own: frozenset[str]
) -> HeaderPairs:
    """Return the headers that are forwarded.

    :param connection: value of ``Connection``, which may name further hop-by-hop headers
    :param own: lower-case names that only kingcuppond sets
    """
    connection_tokens = (
        {token.strip().lower() for token in connection.split(",")} if connection else set()
    )
    return tuple(
        (str(name), value)
        for name, value in headers
        if (lower := name.lower()) not in HOP_BY_HOP
        and lower not in own
        and lower not in connection_tokens
    )


def to_multidict(headers: HeaderPairs) -> CIMultiDict[str]:
    """Convert headers to the type that aiohttp uses."""
    return CIMultiDict(headers)
