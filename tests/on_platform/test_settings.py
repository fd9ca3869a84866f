"""Tests of the platform's settings file and of decoding rows of other writers."""

import json

import pytest

from verbenawind.errors import SettingsInvalid, Undecodable
from verbenawind.gateway import RouteKind
from verbenawind.platform.configuration import (
    PlatformRegistry,
    decode_configuration,
    decode_instance,
)
from verbenawind.platform.settings import load_host_settings, parse_host_settings

SETTINGS = """
node-name = "edge-1"
ip = "10.1.0.10"
zone = "a"
region = "r"
internal-ports = [7300, 7315]
something-new = { of = "no concern" }
[zones]
a = "r"
b = "q"
[listen]
front = "10.1.0.10:8263"
ready = "10.1.0.10:8268"
[bounds]
lease-ms = 4000
grace-s = 8
[platform]
address = "10.200.1.7:8266"
row-bytes = 1000
"""

ENTRY = {
    "service": "pool",
    "address": "10.0.0.9:80",
    "zone": "b",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "born": 17,
    "seq": 4,
}


class TestSettings:
    def test_file_is_converted(self) -> None:
        """Settings are converted to this project's names and units; unknown keys are ignored."""
        settings = parse_host_settings(SETTINGS)
        assert settings.host_name == "edge-1"
        assert settings.peer_address == "10.1.0.10:7300"
        assert settings.metrics_address == "10.1.0.10:7301"
        assert settings.order_gap_s == 4.0 and settings.stop_grace_s == 8
        assert settings.max_row_bytes == 1000
        assert settings.region_of_zone == {"a": "r", "b": "q"}

    def test_all_faults_are_reported_together(self) -> None:
        """An invalid file is rejected with the path and value of every fault."""
        text = SETTINGS.replace('"edge-1"', "7").replace('front = "10.1.0.10:8263"', "")
        with pytest.raises(SettingsInvalid) as caught:
            parse_host_settings(text)
        assert "$.node-name" in caught.value.message and "(value 7)" in caught.value.message
        assert "$.listen.front: missing" in caught.value.message

    def test_one_port_is_not_enough(self) -> None:
        """A port range without separate ports for peers and metrics is rejected."""
        with pytest.raises(SettingsInvalid, match="internal-ports"):
            parse_host_settings(SETTINGS.replace("[7300, 7315]", "[7300, 7300]"))

    def test_missing_file(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The error for a missing file names the environment variable or the cause."""
        monkeypatch.delenv("VERBENAWIND_SETTINGS", raising=False)
        with pytest.raises(SettingsInvalid, match="VERBENAWIND_SETTINGS"):
            load_host_settings()
        with pytest.raises(SettingsInvalid, match="No such file"):
            load_host_settings("/nowhere/settings.toml")

    def test_invalid_toml(self) -> None:
        """Text that is not TOML is rejected."""
        with pytest.raises(SettingsInvalid):
            parse_host_settings("{")


class TestEntries:
    def test_entry_is_decoded(self) -> None:
        """A registration has the server's location and loaded weight versions."""
        instance = decode_instance("i-1", json.dumps(ENTRY).encode(), {"b": "q"})
        assert (instance.location.zone, instance.location.region) == ("b", "q")
        assert instance.versions == {"m": 3} and instance.started_ms == 17

    @pytest.mark.parametrize(
        "change",
        [
            {"service": None},
            {"address": "nowhere"},
            {"address": 7},
            {"slots": "many"},
            {"slots": 0},
            {"state": "resting"},
            {"models": [{"name": "m"}]},
            {"born": 1.5},
            {"version": 7},
            {"cold-remaining-ms": "long"},
            {"seq": []},
        ],
    )
    def test_unusable_entry_is_ignored(self, change: dict[str, object]) -> None:
        """A registration with a missing field or one of a wrong type is an error."""
        with pytest.raises(Undecodable):
            decode_instance("i-1", json.dumps(ENTRY | change).encode(), {})
        with pytest.raises(Undecodable):
            decode_instance("i-1", b"\xff", {})
        for name in ("service", "address", "zone", "slots", "state"):
            entry = {key: value for key, value in ENTRY.items() if key != name}
            with pytest.raises(Undecodable):
                decode_instance("i-1", json.dumps(entry).encode(), {})

    def test_integers_may_have_a_decimal_point(self) -> None:
        """An integer that another writer encoded as 16.0 is accepted."""
        instance = decode_instance("i-1", json.dumps(ENTRY | {"slots": 16.0}).encode(), {})
        assert instance is not None and instance.slots == 16


class TestConfiguration:
    def test_routes_and_limits(self) -> None:
        """Times are converted to seconds, kinds to RouteKind, a service to a share of weight 1."""
        configuration = decode_configuration(
            json.dumps(
                {
                    "version": 7,
                    "routes": [
                        {
                            "name": "r",
                            "host": "A.example",
                            "path-prefix": "/p/",
                            "kind": "rollout",
                            "timeout-ms": 10000,
                            "target-latency-ms": 400,
                            "max-attempts": 3,
                            "service": "s",
                            "retention-s": 40.0,
                            "result-deadline-ms": 7500,
                        },
                        {"name": "q", "host": "h", "path-prefix": "/", "kind": "unheard-of"},
                    ],
                    "services": [{"name": "s", "max-connections": 9}],
                }
            ).encode()
        )
        (route,) = configuration.routes
        assert route.kind is RouteKind.BATCH and route.host == "a.example"
        assert route.timeout_s == 10.0 and route.target_latency_s == 0.4
        assert route.retention_s == 40.0 and route.result_deadline_s == 7.5
        assert [share.service for share in route.services] == ["s"]
        assert configuration.limits.idle_timeout_s == 15.0

    def test_operator_rows(self) -> None:
        """Published versions and configurations are decoded by key; other rows are ignored."""
        registry = PlatformRegistry({})
        named = registry.operator_row("version/m", b'{"model": "m", "version": 4}')
        assert named is not None and named.version == 4
        assert registry.operator_row("elsewhere", b"{}") is None
        with pytest.raises(Undecodable):
            registry.operator_row("config", b"{")
