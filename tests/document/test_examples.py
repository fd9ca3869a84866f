"""Tests of the shipped example files and the generated reference pages."""

from pathlib import Path

import pytest

from verbenawind.adapter_names import known_adapters
from verbenawind.document import parse_document
from verbenawind.errors import SettingsInvalid
from verbenawind.reference import PAGES, render
from verbenawind.settings import load_settings, parse_settings

ROOT = Path(__file__).resolve().parents[2]


class TestExamples:
    @pytest.mark.parametrize("name", ["siam-fold-and-seal", "kallioniemi"])
    def test_document_is_valid_and_complete(self, name: str) -> None:
        """Each example is valid and has every part that the requirements name."""
        text = (ROOT / "examples" / f"{name}.jsonc").read_text()
        document = parse_document(text, known_adapters())
        assert document.pools
        assert document.models
        assert document.trainers
        assert {str(caller.kind) for caller in document.callers} >= {"trainer", "application"}
        assert any(not route.idempotent for spec in document.services for route in spec.routes)

    def test_weights_match_the_users(self) -> None:
        """Siam gives idle time the higher weight, Kallioniemi staleness."""
        siam = parse_document((ROOT / "examples" / "siam-fold-and-seal.jsonc").read_text())
        kallioniemi = parse_document((ROOT / "examples" / "kallioniemi.jsonc").read_text())
        assert siam.trainer_idle_weight > siam.staleness_weight
        assert kallioniemi.staleness_weight > kallioniemi.trainer_idle_weight

    def test_settings(self) -> None:
        """The example settings are valid."""
        settings = load_settings(str(ROOT / "examples" / "verbenawindd.jsonc"))
        assert settings.daemon_id == "bangkok-a-1"

    def test_all_settings_faults_are_reported(self) -> None:
        """Each of five faults is reported with its path."""
        with pytest.raises(SettingsInvalid) as caught:
            parse_settings("""{
              "daemon_id": "a b", "zone": "z", "region": "r", "typo": 1,
              "listen": "example.org:80", "peer_listen": "127.0.0.1:99999",
              "peer_key": "short", "platform_url": "http://127.0.0.1:1",
              "operator_token_sha256": "%s"
            }""" % ("0" * 64))
        for path in ("daemon_id", "typo", "listen", "peer_listen", "peer_key"):
            assert f"$.{path}:" in caught.value.message


class TestReference:
    @pytest.mark.parametrize("name", sorted(PAGES))
    def test_page_is_current(self, name: str) -> None:
        """The committed page matches the types; its first lines give the command to update it."""
        committed = (ROOT / "docs" / "operators" / name).read_text()
        assert committed == render(*PAGES[name])

    @pytest.mark.parametrize("name", sorted(PAGES))
    def test_every_field_is_described(self, name: str) -> None:
        """Every field has a description."""
        rows = [line for line in render(*PAGES[name]).splitlines() if line.startswith("| `")]
        assert rows
        assert not [row for row in rows if row.endswith("|  |")]
