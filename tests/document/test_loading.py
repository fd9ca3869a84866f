"""Tests of parsing environment documents."""

import pytest

from verbenawind.document import document_digest, parse_document
from verbenawind.errors import DocumentInvalid

FIVE_FAULTS = """
{
  // Each line below has one fault.
  "environment": "Not A Name",
  "pools": [{"name": "p", "application_reserve": 1.5}],
  "models": [{"name": "m"}],
  "staleness_weight": -1,
  "unknown": true
}
"""


class TestParseDocument:
    def test_every_fault_is_reported(self) -> None:
        """Each of five faults is reported with its path."""
        with pytest.raises(DocumentInvalid) as caught:
            parse_document(FIVE_FAULTS)
        paths = sorted(fault.split(":")[0] for fault in caught.value.faults)
        assert paths == [
            "$.environment",
            "$.models[0].pool",
            "$.pools[0].application_reserve",
            "$.staleness_weight",
            "$.unknown",
        ]

    def test_digest_ignores_comments_and_explicit_defaults(self) -> None:
        """Two notations of the same document have the same digest."""
        short = parse_document('{"environment": "a"} // short')
        long = parse_document('{"environment": "a", "staleness_weight": 1.0}')
        assert document_digest(short) == document_digest(long)
