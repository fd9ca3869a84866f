"""Decodes batch job submissions and encodes pages of results in the platform's JSON format."""

import base64
import binascii

import msgspec

from verbenawind.batches import (
    BatchItem,
    BatchSubmission,
    ItemResult,
    ResultsPage,
    ScoringCall,
)
from verbenawind.errors import InvalidRequest

__all__ = ["decode_submission", "encode_page"]

_LENGTH_HINT_HEADER = "x-verbenawind-length-hint"


class _WireScorer(msgspec.Struct):
    """The request that scores an item's complete text; ``body`` is base64."""

    id: str
    host: str
    path: str
    body: str = ""


class _WireItem(msgspec.Struct, rename="kebab"):
    """An item; ``tokens`` is the sum of its prompt tokens and its limit of generated tokens."""

    id: str
    path: str
    body: str = ""
    headers: dict[str, str] = {}
    tokens: int = 0
    group: str = ""
    scorer: _WireScorer | None = None


class _WireJob(msgspec.Struct, rename="kebab"):
    """A job; ``desired_count`` is a number of groups, not of items."""

    items: list[_WireItem]
    step: int = 0
    model: str = ""
    min_version: int = 0
    desired_count: int = 0


def decode_submission(job_id: str, host: str, path: str, body: bytes) -> BatchSubmission:
    """Decode the body of a job submission.

    Raises:
        InvalidRequest: The body is not a valid submission.
    """
    try:
        wire = msgspec.json.decode(body, type=_WireJob)
        items = tuple(_item(item) for item in wire.items)
    except (msgspec.MsgspecError, binascii.Error) as error:
        raise InvalidRequest(f"job {job_id}: {error}") from error
    if len({item.item_id for item in items}) < len(items):
        raise InvalidRequest(f"job {job_id}: item ids are not unique")
    return BatchSubmission(
        job_id=job_id,
        host=host,
        path=path,
        items=items,
        model=wire.model,
        step=wire.step,
        min_version=wire.min_version,
        desired_groups=wire.desired_count,
    )


def encode_page(page: ResultsPage, after: int) -> bytes:
    """Encode a page of results that starts at position *after*."""
    return msgspec.json.encode(
        {
            "total": page.total,
            "next": after + len(page.results),
            "results": [_result(result) for result in page.results],
        }
    )


def _result(result: ItemResult) -> dict[str, object]:
    encoded: dict[str, object] = {
        "id": result.item_id,
        "state": result.state.value,
        "text": result.text,
        "versions": list(result.versions),
    }
    if result.score:
        encoded["score"] = result.score
    return encoded


def _item(wire: _WireItem) -> BatchItem:
    hint = next(
        (value for name, value in wire.headers.items() if name.lower() == _LENGTH_HINT_HEADER), ""
    )
    return BatchItem(
        item_id=wire.id,
        path=wire.path,
        headers=tuple(wire.headers.items()),
        body=base64.b64decode(wire.body, validate=True),
        tokens=wire.tokens,
        group=wire.group,
        length_hint=int(hint) if hint.isdigit() else 0,
        scoring=_scoring_call(wire.scorer) if wire.scorer is not None else None,
    )


def _scoring_call(wire: _WireScorer) -> ScoringCall:
    return ScoringCall(
        call_id=wire.id,
        host=wire.host,
        path=wire.path,
        body=base64.b64decode(wire.body, validate=True),
    )
