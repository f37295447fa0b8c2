"""Switches mechanisms off, one at a time, and checks that the test of each fails (mutation test).

``python -m proofs.mechanisms [NAME ...]``.  The source tree is copied, one piece of source text in
the copy is replaced, and one test runs on the copy.  A test that still passes does not cover the
mechanism; it is printed and the exit code is 1.  CI does not run these checks; it runs the same
tests with every mechanism switched on.
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
COPIED_PATHS: Final = ("kingcuppond", "standins", "tests", "pyproject.toml", "KNOWN-RED.txt")
MAX_PARALLEL: Final = 4
TEST_TIMEOUT_SECONDS: Final = 150
PORT_RANGE_COUNT: Final = 10


@attrs.frozen
class Mechanism:
    """A mechanism, the edit that switches it off, and the test that must then fail.

    :param file: path of the module, relative to the package
    :param old: source text that occurs exactly once in the module
    :param new: replacement that switches the mechanism off
    :param test: pytest id of the test
    """

    name: str
    file: str
    old: str
    new: str
    test: str


FAILURE_TESTS: Final = "tests/failures/"
STALE_REFUSAL_TESTS: Final = "tests/gate/test_stale_refusals.py::"
MECHANISMS: Final = (
    Mechanism(
        "a request runs only with a granted claim",
        "claims/guard.py",
        "if reply.verdict is Verdict.GRANTED and is_usable:",
        "if reply.verdict is not Verdict.HELD:",
        FAILURE_TESTS
        + "test_at_most_once.py::test_a_key_is_refused_while_the_store_is_down_and_runs_afterwards",
    ),
    Mechanism(
        "a key that is already claimed does not run again",
        "claims/guard.py",
        "if reply.verdict is Verdict.GRANTED and is_usable:",
        "if reply.verdict is not Verdict.UNAVAILABLE:",
        FAILURE_TESTS + "test_at_most_once.py::test_a_key_sent_to_all_daemons_at_once_runs_once",
    ),
    Mechanism(
        "a commit without a reply is resolved by reading the log",
        "claims/coordinator.py",
        "if written.is_ok():",
        "if written.is_ok() or written.error.is_outcome_unknown:",
        "tests/claims/test_log.py",
    ),
    Mechanism(
        "the append names the version read",
        "claims/log.py",
        "body, last.version)",
        "body, getattr((await self.store.get(self.kind, last.id.name)).ok, 'version', 0))",
        "tests/claims/test_log.py::test_a_paused_coordinator_is_fenced_by_the_log",
    ),
    Mechanism(
        "a stored answer is returned only for an identical request",
        "claims/attempts.py",
        "found.rest != query.rest",
        "False",
        FAILURE_TESTS + "test_at_most_once.py::test_a_key_with_other_content_is_refused",
    ),
    Mechanism(
        "a claimed request continues after its caller disconnects",
        "ingress/port.py",
        "return await asyncio.shield(task)",
        "return await task",
        FAILURE_TESTS
        + "test_at_most_once.py::test_a_caller_that_disconnected_gets_the_answer_on_resend",
    ),
    Mechanism(
        "the HTTP client does not retry",
        "routing/exchange.py",
        "session._retry_connection = False",
        "session._retry_connection = True",
        FAILURE_TESTS + "test_outcomes.py::test_a_put_that_crashes_the_server_is_sent_once",
    ),
    Mechanism(
        "an incomplete answer aborts the connection",
        "ingress/responses.py",
        "        abort_connection(request)\n        if",
        "        await response.write_eof()\n        if",
        FAILURE_TESTS + "test_outcomes.py::test_a_truncated_answer_is_never_a_success",
    ),
    Mechanism(
        "a broken answer resets the connection",
        "http_connections.py",
        "connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)",
        "pass",
        "tests/ingress/test_truncated_answers.py::test_broken_answer_without_a_length_is_reset",
    ),
    Mechanism(
        "only chunked is accepted as a transfer coding",
        "routing/exchange.py",
        "if codings and [",
        "if False and [",
        "tests/routing/test_truncated_heads.py"
        "::test_answer_in_another_transfer_coding_is_not_whole",
    ),
    Mechanism(
        "an answer on a used connection needs the request's id",
        "platform/calls.py",
        "if answered_id is None and not is_first_on_connection:",
        "if False:",
        STALE_REFUSAL_TESTS + "test_refusal_read_instead_of_the_answer_leaves_the_outcome_unknown",
    ),
    Mechanism(
        "bytes on an idle connection close it",
        "http_connections.py",
        "if data and self._is_answer_complete():",
        "if False:",
        STALE_REFUSAL_TESTS + "test_start_of_a_refusal_on_an_idle_connection_closes_it",
    ),
    Mechanism(
        "a rejected answer closes its connection",
        "routing/exchange.py",
        "                close_connection(response)\n",
        "",
        STALE_REFUSAL_TESTS + "test_connection_is_not_used_after_an_answer_of_another_request",
    ),
    Mechanism(
        "the answer of a daemon must belong to the call",
        "routing/sender.py",
        "return answered_id == call.id",
        "return True",
        "tests/routing/test_stale_relayed_answers.py"
        "::test_answer_to_an_earlier_call_leaves_the_outcome_unknown",
    ),
    Mechanism(
        "the answer of a daemon names the call",
        "ingress/relayed_calls.py",
        "headers = {CALL_HEADER: call.id}",
        "headers = dict[str, str]()",
        "tests/ingress/test_relayed_calls.py"
        "::test_refusal_of_a_relayed_call_on_a_used_connection_is_not_run",
    ),
    Mechanism(
        "the answer to a call is no health report",
        "gate/observer.py",
        "if self.parse_server_report(answer.headers).request_id:",
        "if False:",
        "tests/gate/test_observer.py::test_answer_to_a_call_is_no_health_report",
    ),
    Mechanism(
        "request bodies are streamed",
        "routing/call.py",
        "BODY_MEMORY_BYTES: Final = 65_536",
        "BODY_MEMORY_BYTES: Final = 1_000_000_000",
        FAILURE_TESTS + "test_outcomes.py::test_a_large_upload_is_whole_and_memory_is_bounded",
    ),
    Mechanism(
        "a data centre out of service gets no calls",
        "configuration/replica.py",
        "return data_centre in self.data_centres_out",
        "return False",
        FAILURE_TESTS + "test_leaving.py::test_a_data_centre_that_is_out_gets_no_new_work[none]",
    ),
    Mechanism(
        "a stalled watch times out",
        "platform/store.py",
        "WATCH_MARGIN_SECONDS: Final = 1.0",
        "WATCH_MARGIN_SECONDS: Final = 600.0",
        FAILURE_TESTS
        + "test_leaving.py::test_a_data_centre_that_is_out_gets_no_new_work[watches stall]",
    ),
    Mechanism(
        "configuration spreads between daemons",
        "membership/gossip.py",
        "self._schedule_pull(sender, rumours.heads)",
        "pass",
        FAILURE_TESTS
        + "test_configuration.py::test_a_change_reaches_a_daemon_that_is_cut_off_from_the_store",
    ),
    Mechanism(
        "a draining server gets no calls",
        "gate/gate.py",
        "new = ServerState(announcement.state)",
        "new = ServerState(announcement.state.replace('draining', 'warm'))",
        FAILURE_TESTS + "test_leaving.py::test_a_draining_server_gets_no_new_work",
    ),
    Mechanism(
        "a stop waits for what is in progress",
        "ingress/draining.py",
        "while not is_reached() and (end is None or now() < end):",
        "while False:",
        FAILURE_TESTS + "test_leaving.py::test_daemon_stops_as_planned",
    ),
    Mechanism(
        "a silent server is treated as absent",
        "settings/daemon.py",
        "DEFAULT_SERVER_SILENT_MS: Final = 2000",
        "DEFAULT_SERVER_SILENT_MS: Final = 600_000",
        FAILURE_TESTS + "test_leaving.py::test_a_silent_server_gets_no_new_work",
    ),
    Mechanism(
        "slow start",
        "gate/concurrency_limit.py",
        "INITIAL_LIMIT: Final = 1",
        "INITIAL_LIMIT: Final = 6",
        FAILURE_TESTS + "test_leaving.py::test_returning_cold_servers_are_not_overloaded",
    ),
    Mechanism(
        "the gate limits calls in flight",
        "gate/admission.py",
        "return self.in_flight < self.limit.limit",
        "return True",
        FAILURE_TESTS + "test_retries.py::test_an_overload_never_exceeds_the_slots",
    ),
    Mechanism(
        "a failed trial quarantines a suspect",
        "quarantine/suspects.py",
        "level = QuarantineLevel.HELD if is_on_trial else QuarantineLevel.SUSPECTED",
        "level = QuarantineLevel.SUSPECTED",
        FAILURE_TESTS
        + "test_harmful.py::test_crashing_at_most_once_requests_are_quarantined_after_two_servers",
    ),
    Mechanism(
        "only a failed trial quarantines a request",
        "quarantine/suspects.py",
        "level = QuarantineLevel.HELD if is_on_trial else QuarantineLevel.SUSPECTED",
        "level = QuarantineLevel.HELD",
        FAILURE_TESTS + "test_harmful.py::test_innocent_calls_beside_it_still_run",
    ),
    Mechanism(
        "retries draw on the call's budget",
        "routing/router.py",
        "failure.reason in NOT_RETRYABLE_REASONS or progress.retries_left < 1",
        "failure.reason in NOT_RETRYABLE_REASONS",
        FAILURE_TESTS + "test_retries.py::test_attempts_in_a_full_outage_are_bounded",
    ),
    Mechanism(
        "a cancellation is forwarded to the server",
        "ingress/http_server.py",
        "handler_cancellation=True",
        "handler_cancellation=False",
        FAILURE_TESTS + "test_retries.py::test_a_cancellation_reaches_the_server",
    ),
    Mechanism(
        "a replica never returns to an older version",
        "configuration/replica.py",
        "return known is None or known.head.order < head.order",
        "return known is None or known.head.order != head.order",
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
        "an isolated daemon refuses calls",
        "configuration/watcher.py",
        "and self._clock.monotonic() - self._store_heard_at > allowed_silence_seconds",
        "and False",
        FAILURE_TESTS + "test_membership.py::test_a_daemon_that_is_cut_off_refuses_new_work",
    ),
    Mechanism(
        "failed daemons are detected",
        "membership/gossip.py",
        "if missed < SUSPECT_AFTER_MISSED_PINGS:",
        "if True:",
        FAILURE_TESTS + "test_membership.py::test_a_frozen_daemon_is_routed_around",
    ),
    Mechanism(
        "only peers with the fleet's key are accepted",
        "peers/transport.py",
        "return self._keys is not None and key == self._keys.public",
        "return True",
        FAILURE_TESTS + "test_bad_input.py::test_messages_without_the_fleet_key_are_dropped",
    ),
    Mechanism(
        "a relayed call is authenticated",
        "routing/relay.py",
        "if not hmac.compare_digest(",
        "if not True or not len(",
        "tests/routing/test_relay.py",
    ),
    Mechanism(
        "the measurement budget holds in every window",
        "routing/budgets.py",
        "half = self.per_second() / 2",
        "half = self.per_second()",
        "tests/routing/test_budgets.py",
    ),
    Mechanism(
        "streams end at the deadline",
        "streams.py",
        "        if left <= 0:",
        "        left = stall_seconds\n        if False:",
        "tests/routing/test_endless.py::test_whole_chunks_without_end_stop_at_the_deadline",
    ),
    Mechanism(
        "a call that is given up resets its connection",
        "http_connections.py",
        "if self.transport is not None and self.requests and not self._is_answer_complete():",
        "if False:",
        "tests/routing/test_abandoned_calls.py",
    ),
    Mechanism(
        "a close is noticed while nothing reads from the connection",
        "ingress/http_server.py",
        "        if _is_closed_by_client(self.transport):",
        "        if False:",
        "tests/ingress/test_disconnects.py",
    ),
    Mechanism(
        "a busy server is asked whether it is cold",
        "gate/observer.py",
        "        if not (is_load_old or self.rate_limiter.is_check_due):",
        "        if not is_load_old:",
        "tests/gate/test_observer.py",
    ),
    Mechanism(
        "daemons that start at the same time find each other",
        "membership/gossip.py",
        "            if address != introducer:",
        "            if False:",
        "tests/membership/test_fleet.py::test_a_fleet_that_starts_at_once_is_one_fleet",
    ),
    Mechanism(
        "holds are read from the store",
        "quarantine/holds.py",
        "                self._merge(item)",
        "                pass",
        "tests/quarantine/test_holds.py",
    ),
    Mechanism(
        "values that are nested too deeply spoil only their entry",
        "decoding.py",
        "    except RecursionError:",
        "    except ZeroDivisionError:",
        "tests/platform/test_odd_entries.py",
    ),
)


def fails_without(mechanism: Mechanism) -> bool:
    """Run a mechanism's test on a copy of the tree without the mechanism.

    :return: whether the test failed, as it must
    :raises ValueError: if the text to replace does not occur exactly once
    """
    index = MECHANISMS.index(mechanism)
    with tempfile.TemporaryDirectory(prefix="kingcuppond-proof-") as folder:
        copy = Path(folder)
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy)
        path = copy / "kingcuppond" / mechanism.file
        text = path.read_text()
        if text.count(mechanism.old) != 1:
            raise ValueError(
                f"{mechanism.name}: the text to replace occurs {text.count(mechanism.old)} times"
            )
        path.write_text(text.replace(mechanism.old, mechanism.new))
        result = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", mechanism.test],
            cwd=copy,
            env={**os.environ, "PYTEST_XDIST_WORKER": f"gw{index % PORT_RANGE_COUNT}"},
            capture_output=True,
            timeout=TEST_TIMEOUT_SECONDS,
            check=False,
        )
    return result.returncode == 1


def main() -> None:
    """Check all mechanisms, or those named on the command line."""
    selected_names = sys.argv[1:]
    chosen = [item for item in MECHANISMS if not selected_names or item.name in selected_names]
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        results = pool.map(fails_without, chosen)
        undetected_count = 0
        for mechanism, failed in zip(chosen, results, strict=True):
            undetected_count += not failed
            print(
                f"{'fails' if failed else 'PASSES'}  {mechanism.name}  {mechanism.test}", flush=True
            )
    sys.exit(1 if undetected_count else 0)


if __name__ == "__main__":
    main()
