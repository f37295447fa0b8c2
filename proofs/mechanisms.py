"""Switches mechanisms off, one at a time, and expects the proof of each to fail.

``python -m proofs.mechanisms``.  The tree is copied, one place in the copy is changed, and one
test runs against it.  A test that still passes proves nothing about the mechanism; it is printed
and the exit code is 1.  This is apart from CI, which runs the same tests with everything switched
on.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

import attrs

ROOT: Final = Path(__file__).parents[1]
COPIED: Final = ("kingcuppond", "standins", "tests", "pyproject.toml", "KNOWN-RED.txt")
AT_ONCE: Final = 4
TEST_SECONDS: Final = 150
PORT_RANGES: Final = 10


@attrs.frozen
class Mechanism:
    """A mechanism, how to switch it off, and the test that must then fail.

    :param file: module below the package
    :param old: text that stands there once
    :param new: text that switches the mechanism off
    """

    name: str
    file: str
    old: str
    new: str
    test: str


FAILURES: Final = "tests/failures/"
MECHANISMS: Final = (
    Mechanism(
        "no run without a claim",
        "claims/guard.py",
        "if reply.verdict is Verdict.GRANTED:\n                return await",
        "if reply.verdict is not Verdict.HELD:\n                return await",
        FAILURES + "test_at_most_once.py::test_store_down_means_not_run_and_then_it_runs",
    ),
    Mechanism(
        "a held key is not run",
        "claims/guard.py",
        "if reply.verdict is Verdict.GRANTED:\n                return await",
        "if reply.verdict is not Verdict.UNAVAILABLE:\n                return await",
        FAILURES + "test_at_most_once.py::test_a_key_sent_to_all_daemons_at_once_runs_once",
    ),
    Mechanism(
        "a lost answer is read back",
        "claims/coordinator.py",
        "if written.is_ok():",
        "if written.is_ok() or written.error.is_outcome_unknown:",
        "tests/claims/test_log.py",
    ),
    Mechanism(
        "the append names the version read",
        "claims/log.py",
        "body, version)",
        "body, getattr((await self.store.get(self.kind, _segment_name(number))).ok, 'version', 0))",
        "tests/claims/test_log.py::test_a_paused_coordinator_is_fenced_by_the_log",
    ),
    Mechanism(
        "a first answer goes to the same request only",
        "claims/attempts.py",
        "found.rest != query.rest",
        "False",
        FAILURES + "test_at_most_once.py::test_a_key_with_other_content_is_refused",
    ),
    Mechanism(
        "a claimed request outlives its caller",
        "ingress/port.py",
        "return await asyncio.shield(task)",
        "return await task",
        FAILURES + "test_at_most_once.py::test_a_caller_that_went_away_finds_its_answer",
    ),
    Mechanism(
        "the HTTP client sends once",
        "routing/exchange.py",
        "session._retry_connection = False",
        "session._retry_connection = True",
        FAILURES + "test_outcomes.py::test_a_doomed_put_is_sent_once",
    ),
    Mechanism(
        "a broken answer is cut",
        "ingress/responses.py",
        "        abort_connection(request)\n        raise",
        "        await response.write_eof()",
        FAILURES + "test_outcomes.py::test_a_cut_off_answer_is_never_whole",
    ),
    Mechanism(
        "bodies stream",
        "routing/call.py",
        "BODY_MEMORY_BYTES: Final = 65_536",
        "BODY_MEMORY_BYTES: Final = 1_000_000_000",
        FAILURES + "test_outcomes.py::test_a_large_upload_is_whole_and_memory_is_bounded",
    ),
    Mechanism(
        "a data centre that is out gets no work",
        "configuration/replica.py",
        "return data_centre in self.data_centres_out",
        "return False",
        FAILURES + "test_leaving.py::test_data_centre_out[none]",
    ),
    Mechanism(
        "a stalled watch is dropped",
        "platform/store.py",
        "WATCH_MARGIN_SECONDS: Final = 1.0",
        "WATCH_MARGIN_SECONDS: Final = 600.0",
        FAILURES + "test_leaving.py::test_data_centre_out[watches stall]",
    ),
    Mechanism(
        "daemons take changes from each other",
        "membership/gossip.py",
        "self._schedule_pull(sender, rumours.heads)",
        "pass",
        FAILURES + "test_configuration.py::test_in_force_everywhere_within_seconds",
    ),
    Mechanism(
        "a draining server gets no work",
        "gate/gate.py",
        "new = ServerState(announcement.state)",
        "new = ServerState(announcement.state.replace('draining', 'warm'))",
        FAILURES + "test_leaving.py::test_server_drains",
    ),
    Mechanism(
        "a stop waits for what is in progress",
        "ingress/draining.py",
        "while not is_reached() and (end is None or now() < end):",
        "while False:",
        FAILURES + "test_leaving.py::test_daemon_stops_as_planned",
    ),
    Mechanism(
        "a silent server is taken for gone",
        "settings/daemon.py",
        "DEFAULT_SERVER_SILENT_MS: Final = 2000",
        "DEFAULT_SERVER_SILENT_MS: Final = 600_000",
        FAILURES + "test_leaving.py::test_a_silent_server_is_dropped",
    ),
    Mechanism(
        "slow start",
        "gate/concurrency_limit.py",
        "INITIAL_LIMIT: Final = 1",
        "INITIAL_LIMIT: Final = 6",
        FAILURES + "test_leaving.py::test_cold_servers_return_without_a_herd",
    ),
    Mechanism(
        "the gate bounds what is in flight",
        "gate/admission.py",
        "return self.in_flight < self.limit.limit",
        "return True",
        FAILURES + "test_retries.py::test_an_overload_never_exceeds_the_slots",
    ),
    Mechanism(
        "suspects are held after a trial",
        "quarantine/suspects.py",
        "level = QuarantineLevel.HELD if on_trial else QuarantineLevel.SUSPECTED",
        "level = QuarantineLevel.SUSPECTED",
        FAILURES + "test_harmful.py::test_an_at_most_once_request_that_crashes",
    ),
    Mechanism(
        "only a trial condemns",
        "quarantine/suspects.py",
        "level = QuarantineLevel.HELD if on_trial else QuarantineLevel.SUSPECTED",
        "level = QuarantineLevel.HELD",
        FAILURES + "test_harmful.py::test_innocent_calls_beside_it_still_run",
    ),
    Mechanism(
        "retries draw on the call's budget",
        "routing/router.py",
        "failure.reason in NOT_RETRYABLE_REASONS or progress.retries_left < 1",
        "failure.reason in NOT_RETRYABLE_REASONS",
        FAILURES + "test_retries.py::test_attempts_in_a_full_outage_are_bounded",
    ),
    Mechanism(
        "a cancellation goes on to the server",
        "ingress/http_server.py",
        "handler_cancellation=True",
        "handler_cancellation=False",
        FAILURES + "test_retries.py::test_a_cancellation_reaches_the_server",
    ),
    Mechanism(
        "a copy only moves forward",
        "configuration/replica.py",
        "return known is None or known.version < head.version",
        "return known is None or known.version != head.version",
        "tests/configuration/test_replica.py",
    ),
    Mechanism(
        "a restart asks the others first",
        "configuration/watcher.py",
        "if self._has_contacted_members() and self._listed_kinds.issuperset(",
        "if self._listed_kinds.issuperset(",
        "tests/configuration/test_watcher.py",
    ),
    Mechanism(
        "operators' writes are conditional",
        "operators/changes.py",
        "if expected is not None and expected != version:",
        "if False:",
        "tests/operators/test_changes.py",
    ),
    Mechanism(
        "a cut-off daemon refuses",
        "configuration/watcher.py",
        "and self._clock.monotonic() - self._store_heard_at > allowed_silence_seconds",
        "and False",
        FAILURES + "test_membership.py::test_a_daemon_that_hears_nobody_refuses_new_work",
    ),
    Mechanism(
        "the dead are noticed",
        "membership/gossip.py",
        "if missed < SUSPECT_AFTER_MISSED_PINGS:",
        "if True:",
        FAILURES + "test_membership.py::test_a_frozen_daemon_is_routed_around",
    ),
    Mechanism(
        "only the fleet's key may speak",
        "peers/transport.py",
        "return self._keys is not None and key == self._keys.public",
        "return True",
        FAILURES + "test_bad_input.py::test_only_daemons_with_the_fleets_key_may_speak",
    ),
    Mechanism(
        "a relayed call proves itself",
        "routing/relay.py",
        "if not hmac.compare_digest(",
        "if not True or not len(",
        "tests/routing/test_relay.py",
    ),
    Mechanism(
        "the measuring budget holds in every window",
        "routing/budgets.py",
        "half = self.per_second() / 2",
        "half = self.per_second()",
        "tests/routing/test_budgets.py",
    ),
)


def fails_without(mechanism: Mechanism) -> bool:
    """Run a mechanism's proof on a copy without it; return whether it failed."""
    index = MECHANISMS.index(mechanism)
    with tempfile.TemporaryDirectory(prefix="kingcuppond-proof-") as folder:
        copy = Path(folder)
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy)
        path = copy / "kingcuppond" / mechanism.file
        text = path.read_text()
        if text.count(mechanism.old) != 1:
            raise ValueError(
                f"{mechanism.name}: its place stands {text.count(mechanism.old)} times"
            )
        path.write_text(text.replace(mechanism.old, mechanism.new))
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", mechanism.test],
            cwd=copy,
            env={**os.environ, "PYTEST_XDIST_WORKER": f"gw{index % PORT_RANGES}"},
            capture_output=True,
            timeout=TEST_SECONDS,
            check=False,
        )
    return done.returncode == 1


def main() -> None:
    """Check all mechanisms, or those whose names are given."""
    wanted = sys.argv[1:]
    chosen = [item for item in MECHANISMS if not wanted or item.name in wanted]
    with ThreadPoolExecutor(AT_ONCE) as pool:
        results = pool.map(fails_without, chosen)
        still_passing = 0
        for mechanism, failed in zip(chosen, results, strict=True):
            still_passing += not failed
            print(
                f"{'fails' if failed else 'PASSES'}  {mechanism.name}  {mechanism.test}", flush=True
            )
    sys.exit(1 if still_passing else 0)


if __name__ == "__main__":
    main()
