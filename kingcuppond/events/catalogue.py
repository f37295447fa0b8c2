"""The registry of all events that kingcuppond logs.

Each event has a number whose meaning never changes, a level and a template.  docs/EVENTS.md
lists them, and a test keeps the two equal.  Numbers are grouped: 1xx process, 2xx membership, 3xx
configuration, 4xx gate, 5xx calls, 6xx claims, 7xx store, 8xx peers, 9xx roll-outs.
"""

from typing import Final

import attrs


@attrs.frozen
class Event:
    """One kind of event.

    :param number: the stable number
    :param level: ``debug``, ``info``, ``warning`` or ``error``
    :param template: text with ``{field}`` placeholders
    """

    number: int
    level: str
    template: str


DAEMON_STARTED: Final = Event(101, "info", "daemon {vm} started in {data_centre}")
DAEMON_LEAVING: Final = Event(102, "info", "daemon {vm} is leaving: {in_flight} calls in progress")
DAEMON_STOPPED: Final = Event(103, "info", "daemon {vm} stopped")
SETTINGS_RELOADED: Final = Event(105, "info", "settings reloaded: {what}")
SETTINGS_REJECTED: Final = Event(
    106, "error", "new settings rejected, the previous ones stay in force: {error}"
)
TASK_FAILED: Final = Event(104, "error", "task {task} failed, the daemon continues: {error}")
LINES_DROPPED: Final = Event(107, "warning", "{count} log lines were dropped: {kinds}")
PAUSED: Final = Event(
    108, "warning", "this process did not run for {seconds} s; it asks the others before it acts"
)
CATCH_UP_FAILED: Final = Event(109, "warning", "nobody answered this daemon after its pause")
DAEMON_DRAINED: Final = Event(
    110, "info", "daemon {vm} closes its connections: {in_flight} calls in progress"
)
MEMBER_JOINED: Final = Event(201, "info", "discovered member {member} of {data_centre}")
MEMBER_CHANGED: Final = Event(202, "info", "member {member} is {state}")
MEMBER_SUSPECTED: Final = Event(203, "warning", "member {member} does not answer")
MEMBER_DEAD: Final = Event(204, "warning", "member {member} is considered dead")
SUSPICION_REFUTED: Final = Event(205, "info", "this daemon was suspected and refutes the suspicion")
ISOLATED: Final = Event(
    206, "warning", "isolated: neither the store nor most members can be reached"
)
ISOLATION_ENDED: Final = Event(
    207, "info", "no longer isolated: the store or most members can be reached"
)
MEMBER_REMOVED: Final = Event(208, "info", "member {member} has been dead for long and is removed")
REGISTRATION_UNREADABLE: Final = Event(
    209, "warning", "registration of daemon {member} can't be read: {error}"
)
DATA_CENTRE_SUSPECTED: Final = Event(
    210, "warning", "no member of {data_centre} answers: {pinged} more were pinged"
)
REGISTERED_AGAIN: Final = Event(
    211, "info", "this daemon is registered in the store that was restored as era {era}"
)
CONFIGURATION_CHANGED: Final = Event(301, "info", "{name} is in force at version {version}")
CONFIGURATION_REFUSED: Final = Event(302, "error", "{name} version {version} is unusable: {error}")
CONFIGURATION_IGNORED: Final = Event(
    303, "warning", "{name} version {version} is ignored: {known} is newer"
)
CONFIGURATION_HELD: Final = Event(
    304,
    "warning",
    "the restored store has older objects of {kind} than those in force, or lacks them: {names}",
)
SERVER_ANNOUNCED: Final = Event(401, "info", "server {address} announced itself as {state}")
SERVER_SILENT: Final = Event(402, "warning", "server {address} is considered gone")
SERVER_COLD: Final = Event(403, "warning", "server {address} is considered cold: {why}")
SERVER_DRAINING: Final = Event(404, "info", "server {address} is draining")
GATE_REFUSED: Final = Event(405, "debug", "gate refused call {call}: {reason}")
ANNOUNCEMENT_STALE: Final = Event(406, "info", "ignored an outdated announcement of {instance}")
DEPARTURE_NOT_RECORDED: Final = Event(
    407, "warning", "could not record the departure of {instance} in the store: {error}"
)
SERVER_CONFIRMED: Final = Event(
    408, "info", "server {instance} is healthy after a restart of this daemon"
)
CALL_COMPLETED: Final = Event(
    409, "debug", "call {call} ended at the server with {status} after {ms} ms"
)
HEALTH_CHECK_FAILED: Final = Event(410, "debug", "health check of server {address} failed: {error}")
DEPARTURE_UNREADABLE: Final = Event(
    411, "warning", "record of an earlier departure can't be read: {error}"
)
DEPARTURE_REWRITTEN: Final = Event(
    412, "info", "the departure of {instance} is recorded in the restored store"
)
CALL_ANSWERED: Final = Event(501, "debug", "call {call} answered {status} by {member}")
CALL_NOT_RUN: Final = Event(502, "info", "call {call} not run: {reason}")
CALL_UNKNOWN: Final = Event(503, "warning", "call {call} has an unknown outcome: {reason}")
CALL_RETRIED: Final = Event(504, "debug", "call {call} is retried at another server: {reason}")
CALL_HEDGED: Final = Event(505, "debug", "call {call} is hedged at {member}")
REQUEST_SUSPECTED: Final = Event(
    506, "warning", "request {fingerprint} is suspected: it was running when {server} went away"
)
REQUEST_HELD: Final = Event(507, "error", "request {fingerprint} is held: it took down {server}")
REQUEST_CLEARED: Final = Event(508, "info", "request {fingerprint} was answered and is cleared")
REQUEST_REJECTED: Final = Event(509, "info", "request {request} rejected before routing: {reason}")
CALL_SENT: Final = Event(510, "debug", "call {call} sent to {member}")
REQUEST_ANSWERED: Final = Event(511, "debug", "request {request} answered {status} after {ms} ms")
REQUEST_WHILE_LEAVING: Final = Event(
    512, "debug", "request {request} was read {leaving_ms} ms after this daemon began to leave"
)
REQUEST_UNANSWERED: Final = Event(
    513, "debug", "request {request} has no answer: {closed_by} closed its connection"
)
HOLDS_NOT_READ: Final = Event(514, "warning", "holds of requests can't be read: {error}")
HOLD_NOT_RECORDED: Final = Event(
    515, "warning", "the hold of request {fingerprint} is not up to date in the store: {error}"
)
CONNECTIONS_CLOSED: Final = Event(
    520, "warning", "{count} connections at {port} were closed or refused: {reason}"
)
LEAVING_SHARE_CHANGED: Final = Event(
    516, "info", "share {share} of the calls of {service} leaves {data_centre}"
)
ORGANISATION_LIMITED: Final = Event(
    530,
    "info",
    "organisation {organisation} is over its quota: {percent} % of its requests are admitted",
)
ORGANISATION_UNLIMITED: Final = Event(
    531, "info", "organisation {organisation} is within its quota again"
)
CLAIM_GRANTED: Final = Event(601, "debug", "claim {key} granted to attempt {attempt}")
CLAIM_REFUSED: Final = Event(602, "info", "claim {key} is held by attempt {attempt}")
CLAIM_RELEASED: Final = Event(603, "info", "claim {key} released: attempt {attempt} was not run")
CLAIMS_RELOADED: Final = Event(604, "info", "claims of shard {shard} reloaded: {why}")
CLAIMS_RENEWED: Final = Event(
    605, "info", "{count} claims are in the log of era {era} of the store"
)
CLAIMED_TWICE: Final = Event(
    606,
    "error",
    "claim {key} of attempt {attempt} was lost by the store and claimed again by attempt {other}, "
    "whose state is {state}",
)
CLAIM_UNCONFIRMED: Final = Event(
    607,
    "info",
    "new claim refused: the members confirm era {confirmed} of the store, not yet {era}",
)
STORE_DOWN: Final = Event(701, "warning", "store does not answer: {error}")
STORE_BACK: Final = Event(702, "info", "store answers again")
WATCH_FAILED: Final = Event(703, "warning", "watch failed or timed out: {error}")
WATCHER_ROLE_TAKEN: Final = Event(704, "info", "this daemon watches the store for its data centre")
STORE_LISTED: Final = Event(705, "info", "listed {count} objects of {kind} at version {version}")
STORE_ERA: Final = Event(706, "info", "the store is in era {era}, as far as known")
WATCHER_ROLE_UNFILLED: Final = Event(
    707,
    "warning",
    "the store does not answer this watcher; while it answers none, a few others watch too",
)
STORE_INQUIRY: Final = Event(
    709,
    "info",
    "this daemon asks the store in wave {wave}: no watcher is known to have run for {silent_ms} ms,"
    " to have been served for {unserved_ms} ms, or to have been answered for {unanswered_ms} ms",
)
WATCHER_ROLE_FILLED: Final = Event(708, "info", "the store answers this watcher again")
PEER_MESSAGE_DROPPED: Final = Event(801, "warning", "message from a peer was dropped: {error}")
ROLLOUT_BEGUN: Final = Event(
    901, "info", "roll-out of {service} to {version} begins, to be completed within {seconds} s"
)
ROLLOUT_STEP: Final = Event(
    902, "info", "roll-out of {service} to {version}: {phase}, share {share}"
)
ROLLOUT_JUDGED_BAD: Final = Event(
    903,
    "error",
    "{version} of {service} is bad: {bad} of {count} answers of {where} show it ({what})",
)
ROLLOUT_STATUS_WRITTEN: Final = Event(
    904, "info", "the store has the roll-out of {service} to {version} as {status}"
)
ROLLOUT_STATUS_NOT_WRITTEN: Final = Event(
    905, "warning", "the status {status} of the roll-out of {service} is not written: {error}"
)

ALL: Final = {event.number: event for event in list(globals().values()) if isinstance(event, Event)}
