"""The registry of all control messages between daemons.

The meaning of a tag never changes.  A daemon drops a message whose tag it does not know, so that
two versions of the daemon can run side by side.
"""

from typing import Final

from kingcuppond.claims.messages import (
    AttemptQuery,
    AttemptReply,
    ClaimCopy,
    ClaimReply,
    ClaimRequest,
    RenewalReply,
    RenewalRequest,
)
from kingcuppond.membership.messages import (
    IntroductionReply,
    IntroductionRequest,
    ObjectsReply,
    ObjectsRequest,
    Ping,
    Pong,
    Rumours,
    ServerLoad,
    StateReply,
    StateRequest,
)
from kingcuppond.quotas.messages import QuotaAck, QuotaReport, QuotaShares
from kingcuppond.rollouts.messages import RolloutReply, RolloutReport

TYPES_BY_TAG: Final[dict[str, type]] = {
    "ping": Ping,
    "pong": Pong,
    "rumours": Rumours,
    "state-ask": StateRequest,
    "state-reply": StateReply,
    "introduction-ask": IntroductionRequest,
    "introduction-reply": IntroductionReply,
    "objects-ask": ObjectsRequest,
    "objects-reply": ObjectsReply,
    "server-load": ServerLoad,
    "claim-ask": ClaimRequest,
    "claim-reply": ClaimReply,
    "claim-copy": ClaimCopy,
    "claim-renewal-ask": RenewalRequest,
    "claim-renewal-reply": RenewalReply,
    "recall-ask": AttemptQuery,
    "recall-reply": AttemptReply,
    "q": QuotaReport,
    "qa": QuotaAck,
    "qs": QuotaShares,
    "rollout-report": RolloutReport,
    "rollout-reply": RolloutReply,
}
