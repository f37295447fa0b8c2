"""What a gate asks during a roll-out of its service; without roll-outs, everything is allowed."""

from typing import Protocol

import attrs

from kingcuppond.outcomes import Failure, NotRun


class VersionShare(Protocol):
    """The part of the server's version in the calls of its service."""

    def take(self) -> NotRun | None:
        """Return why a call may not run here because of a roll-out; if it may, count it."""

    def give_back(self) -> None:
        """Take back the count of a call that the server has not run."""

    def record_start(self, call_id: str, class_name: str, slowdown: float) -> None:
        """Remember a call that starts at the server.

        :param slowdown: of its machine, as reported
        """

    def record_end(self, call_id: str) -> None:
        """Forget a call that is no longer in progress."""

    def record_answer(
        self, class_name: str, seconds: float, is_failure: bool, slowdown: float
    ) -> None:
        """Count an answer of the server.

        :param slowdown: of its machine, as reported when the call started
        """

    def record_failure(self, class_name: str, seconds: float, failure: Failure) -> None:
        """Count a call without an answer."""


@attrs.frozen
class UnlimitedShare:
    """The share of a server in a deployment without roll-outs."""

    def take(self) -> NotRun | None:
        """Allow each call."""
        return None

    def give_back(self) -> None:
        """Do nothing."""

    def record_start(self, call_id: str, class_name: str, slowdown: float) -> None:
        """Do nothing."""

    def record_end(self, call_id: str) -> None:
        """Do nothing."""

    def record_answer(
        self, class_name: str, seconds: float, is_failure: bool, slowdown: float
    ) -> None:
        """Do nothing."""

    def record_failure(self, class_name: str, seconds: float, failure: Failure) -> None:
        """Do nothing."""
