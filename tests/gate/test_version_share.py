"""A gate asks for its share before admission, and publishes its server's version if told to."""

import attrs

from kingcuppond.gate.announcements import Announcement, Load
from kingcuppond.outcomes import Failure, NotRun, Reason
from tests.gate.test_stale_refusals import gate_of, run, serving

ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Kingcuppond-Server-Seal: s\r\n"
    b"X-Kingcuppond-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
)


@attrs.define
class LoggedShare:
    """Allows all calls or none, and logs what the gate tells it."""

    is_allowed: bool
    log: list[str] = attrs.field(factory=list)

    def take(self) -> NotRun | None:
        self.log.append("take")
        return None if self.is_allowed else NotRun(Reason.VERSION_SHARE, "")

    def give_back(self) -> None:
        self.log.append("give back")

    def record_start(self, call_id: str, class_name: str, slowdown: float) -> None:
        self.log.append("start")

    def record_end(self, call_id: str) -> None:
        self.log.append("end")

    def record_answer(
        self, class_name: str, seconds: float, is_failure: bool, slowdown: float
    ) -> None:
        self.log.append(f"answer {class_name} {is_failure}")

    def record_failure(self, class_name: str, seconds: float, failure: Failure) -> None:
        self.log.append(failure.reason.value)


async def test_a_call_beyond_the_share_never_reaches_the_server() -> None:
    async with serving([ANSWER]) as server, gate_of(server) as gate:
        gate.outcomes.share = LoggedShare(False)
        result = await run(gate, "a1")
        assert result.error.reason is Reason.VERSION_SHARE
        assert isinstance(result.error, NotRun)
        assert server.requests == 0
        assert gate.in_flight == 0


async def test_an_answer_is_counted_once() -> None:
    async with serving([ANSWER]) as server, gate_of(server) as gate:
        share = LoggedShare(True)
        gate.outcomes.share = share
        result = await run(gate, "a1")
        assert result.is_ok()
        await result.ok.close()
        assert share.log == ["take", "start", "answer read False", "end"]


async def test_a_call_that_the_server_sheds_is_given_back() -> None:
    shed = (
        b"HTTP/1.1 503 Full\r\nX-Kingcuppond-Not-Executed: full\r\n"
        b"X-Kingcuppond-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
    )
    async with serving([shed]) as server, gate_of(server) as gate:
        share = LoggedShare(True)
        gate.outcomes.share = share
        assert (await run(gate, "a1")).is_error()
        assert share.log == ["take", "start", Reason.SHED_BY_SERVER.value, "end", "give back"]


async def test_the_version_is_published_only_where_it_is_needed() -> None:
    """The description of a member is sent to all daemons, so it must stay small."""
    heartbeat = Announcement("shop", "10.0.0.1:80", "warm", Load(slots=5), "i-1", 1, 1, 0, "v2")
    async with serving([ANSWER]) as server, gate_of(server) as gate:
        gate.handle_announcement(heartbeat)
        assert gate.directory.me.server_version == ""
    async with serving([ANSWER]) as server, gate_of(server) as gate:
        gate.states_version = True
        gate.handle_announcement(heartbeat)
        assert gate.directory.me.server_version == "v2"
