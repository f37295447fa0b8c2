"""The registry of all control messages between daemons.

The meaning of a tag never changes.  A daemon drops a message whose tag it does not know, so that
two versions of the daemon can run side by side.
"""

from typing import Final

from kingcuppond.claims.messages import AttemptQuery, AttemptReply, ClaimReply, ClaimRequest
from kingcuppond.membership.messages import (
    ObjectsReply,
    ObjectsRequest,
    Ping,
    Pong,
    Rumours,
    SyncReply,
    SyncRequest,
)

TYPES_BY_TAG: Final[dict[str, type]] = {
    "ping": Ping,
    "pong": Pong,
    "rumours": Rumours,
    "sync-ask": SyncRequest,
    "sync-reply": SyncReply,
    "objects-ask": ObjectsRequest,
    "objects-reply": ObjectsReply,
    "claim-ask": ClaimRequest,
    "claim-reply": ClaimReply,
    "recall-ask": AttemptQuery,
    "recall-reply": AttemptReply,
}
