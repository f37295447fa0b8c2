"""The template of the deployment gives the settings that the platform asks for."""

import json
import re
from pathlib import Path
from typing import Any

import pytest

from kingcuppond.quotas.bucket import QuotaBound
from kingcuppond.settings.daemon import DaemonSettings
from kingcuppond.settings.jsonc import parse_text
from kingcuppond.settings_change import quota_bound

TEMPLATE = Path(__file__).parents[2] / "deploy" / "daemon.json"
SECTION = re.compile(r"\{\{#([A-Za-z0-9.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([A-Za-z0-9.]+)(\|json)?\}\}")
FIELDS: dict[str, Any] = {
    "NodeName": "sidecar-mvd-a-1",
    "Zone": "mvd-a",
    "Service": "shop",
    "Listen.Outbound": "10.0.0.1:8000",
    "Listen.Inbound": "10.0.0.1:8001",
    "Listen.Ready": "10.0.0.1:8002",
    "Listen.Control": "10.0.0.1:8003",
    "AppAddr": "10.0.0.1:8004",
    "Ip": "10.0.0.1",
    "InternalPorts.0": 7600,
    "Platform.Address": "10.0.9.1:7000",
    "Seeds": ["10.0.0.2:8003"],
    "FirstStart": True,
    "Bounds.BudgetExtraRetries": 62,
    "Bounds.Grace": "6s",
}


def render(**fields: Any) -> str:
    """Return the template with its placeholders filled in."""
    values = FIELDS | fields

    def fill(match: re.Match[str]) -> str:
        value = values.get(match[1], "")
        return json.dumps(value) if match[2] else str(value)

    text = SECTION.sub(lambda match: match[2] if match[1] in values else "", TEMPLATE.read_text())
    return PLACEHOLDER.sub(fill, text)


@pytest.mark.parametrize(
    ("grace", "limit"), [("6s", 5.5), ("10s", 9.5), ("2500ms", 2.0), ("900s", 899.5)]
)
def test_a_stop_does_not_end_long_before_the_platform_kills(grace: str, limit: float) -> None:
    """Calls in progress were given up 5.1 s after SIGTERM, also where they may take 10 s."""
    settings = parse_text(render(**{"Bounds.Grace": grace}), "daemon.json", DaemonSettings).ok
    assert settings.stop_limit_seconds == limit


@pytest.mark.parametrize("field", ["NodeName", "Zone", "Service"])
@pytest.mark.parametrize("name", ["Kochi-A", "büro 2", "z" * 64])
def test_names_of_the_platform_may_have_any_characters(field: str, name: str) -> None:
    """Guards against a daemon that does not start for the spelling of a name."""
    read = parse_text(render(**{field: name}), "daemon.json", DaemonSettings)
    assert name in (read.ok.vm, read.ok.data_centre, read.ok.service)


@pytest.mark.parametrize("name", ["", "a\nb"])
def test_names_of_the_platform_are_printable(name: str) -> None:
    """The name of a service is sent in a header."""
    assert parse_text(render(Service=name), "daemon.json", DaemonSettings).is_error()


def test_a_platform_that_names_no_grace_period_has_a_limit() -> None:
    settings = parse_text(render(**{"Bounds.Grace": ""}), "daemon.json", DaemonSettings).ok
    assert settings.stop_limit_seconds == 5.5


def test_the_latency_penalty_decides_unless_the_deployment_asks_for_more() -> None:
    text = render()
    settings = parse_text(text, "daemon.json", DaemonSettings).ok
    assert (settings.leaves_data_centre, settings.detour_ms) == ("penalty", 25)
    for value, is_valid in (("measured", True), ("other", False)):
        named = text.replace('"detour_ms"', f'"leaves_data_centre": "{value}", "detour_ms"')
        assert parse_text(named, "daemon.json", DaemonSettings).is_ok() == is_valid


def test_a_deployment_without_keys_has_no_bound_for_their_removal() -> None:
    settings = parse_text(render(), "daemon.json", DaemonSettings).ok
    assert (settings.fail_closed, settings.revoke_seconds) == (False, 0.0)


@pytest.mark.parametrize("is_closed", [True, False])
def test_the_bound_for_the_removal_of_keys(is_closed: bool) -> None:
    fields = {"Bounds.Revoke": "5000ms", "Bounds.FailClosed": is_closed}
    settings = parse_text(render(**fields), "daemon.json", DaemonSettings).ok
    assert (settings.fail_closed, settings.revoke_seconds) == (is_closed, 5.0)


def test_a_deployment_without_quotas_has_the_default_bound() -> None:
    settings = parse_text(render(), "daemon.json", DaemonSettings).ok
    assert quota_bound(settings) == QuotaBound(5.0, 0.1, 20.0)


def test_the_bound_of_the_quotas() -> None:
    fields = {"Bounds.QuotaWindow": "4s", "Bounds.QuotaOver": 0.2, "Bounds.QuotaSlack": 30}
    settings = parse_text(render(**fields), "daemon.json", DaemonSettings).ok
    assert quota_bound(settings) == QuotaBound(4.0, 0.2, 30)


def test_a_window_of_no_length_is_refused() -> None:
    """Guards against a division by it."""
    fields = {"Bounds.QuotaWindow": "0s", "Bounds.QuotaOver": 0.2, "Bounds.QuotaSlack": 30}
    assert parse_text(render(**fields), "daemon.json", DaemonSettings).is_error()


def test_a_deployment_without_a_bound_for_canaries_has_no_roll_outs() -> None:
    """Otherwise it would watch one more kind, and each member's description would be larger."""
    assert not parse_text(render(), "daemon.json", DaemonSettings).ok.has_rollouts


def test_the_bounds_of_a_roll_out() -> None:
    fields = {"Bounds.CanaryShare": 0.2, "Bounds.CanarySlack": 30, "Bounds.Rollback": "3s"}
    settings = parse_text(render(**fields), "daemon.json", DaemonSettings).ok
    assert settings.has_rollouts
    assert (settings.canary_share, settings.canary_slack) == (0.2, 30.0)
    assert settings.rollback_seconds == 3.0
