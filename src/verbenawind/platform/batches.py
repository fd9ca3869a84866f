"""Decodes batch job submissions and encodes pages of results in the platform's JSON format."""

import base64

import msgspec

from verbenawind.batches import (
    BatchItem,
    BatchSubmission,
    ItemResult,
    ResultsPage,
    ScoringCall,
)
from verbenawind.errors import InvalidRequest, Undecodable
from verbenawind.kernel.decoding import convert_value, decode_json
from verbenawind.kernel.http_syntax import (
    is_field_name,
    is_field_value,
    is_request_target,
    is_visible_ascii,
    parse_decimal,
)
from verbenawind.kernel.wire_types import Count, Identifier
from verbenawind.platform.exchange import end_to_end_headers

__all__ = ["decode_submission", "encode_page"]

_LENGTH_HINT_HEADER = "x-verbenawind-length-hint"


class _WireScorer(msgspec.Struct):
    """The request that scores an item's complete text; ``body`` is base64."""

    id: Identifier
    host: str
    path: str
    body: str = ""


class _WireItem(msgspec.Struct, rename="kebab"):
    """An item; ``tokens`` is the sum of its prompt tokens and its limit of generated tokens."""

    id: Identifier
    path: str
    body: str = ""
    headers: dict[str, str] = {}
    tokens: Count = 0
    group: str = ""
    scorer: _WireScorer | None = None


class _WireJob(msgspec.Struct, rename="kebab"):
    """A job; ``desired_count`` is a number of groups, not of items."""

    items: list[_WireItem]
    step: Count = 0
    model: str = ""
    min_version: Count = 0
    desired_count: Count = 0


def decode_submission(job_id: str, host: str, path: str, body: bytes) -> BatchSubmission:
    """Decode the body of a job submission.

    Raises:
        InvalidRequest: The body is not a valid submission.
    """
    try:
        convert_value(job_id, Identifier)
        wire = decode_json(body, _WireJob)
        items = tuple(_item(item, f"items[{index}]") for index, item in enumerate(wire.items))
    except Undecodable as error:
        raise InvalidRequest(f"job {job_id!r}: {error.message}") from error
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


def _item(wire: _WireItem, where: str) -> BatchItem:
    """Check an item, which is *where* in the submission.

    Headers that concern one connection alone are dropped, since the requests to engines have their
    own.

    Raises:
        Undecodable: A part of it cannot be sent in a request; the message names the field.
    """
    _check_target(wire.path, where)
    headers = end_to_end_headers((name, value.strip(" \t")) for name, value in wire.headers.items())
    for name, value in headers:
        if not is_field_name(name):
            raise Undecodable(f"{where}.headers: {name!r} is not the name of a header")
        if not is_field_value(value):
            raise Undecodable(f"{where}.headers.{name}: {value!r} is not the value of a header")
    hint = next((value for name, value in headers if name.lower() == _LENGTH_HINT_HEADER), None)
    length_hint = 0 if hint is None else parse_decimal(hint)
    if length_hint is None:
        raise Undecodable(f"{where}.headers.{_LENGTH_HINT_HEADER}: {hint!r} is not a number")
    return BatchItem(
        item_id=wire.id,
        path=wire.path,
        headers=headers,
        body=_body(wire.body, where),
        tokens=wire.tokens,
        group=wire.group,
        length_hint=length_hint,
        scoring=_scoring_call(wire.scorer, f"{where}.scorer") if wire.scorer is not None else None,
    )


def _scoring_call(wire: _WireScorer, where: str) -> ScoringCall:
    _check_target(wire.path, where)
    if not is_visible_ascii(wire.host):
        raise Undecodable(f"{where}.host: {wire.host!r} is not the name of a host")
    return ScoringCall(
        call_id=wire.id, host=wire.host, path=wire.path, body=_body(wire.body, where)
    )


def _check_target(path: str, where: str) -> None:
    if not is_request_target(path):
        raise Undecodable(f"{where}.path: {path!r} is not the path of a request")


def _body(encoded: str, where: str) -> bytes:
    try:
        return base64.b64decode(encoded, validate=True)
    except ValueError as error:
        raise Undecodable(f"{where}.body: {error}") from error
