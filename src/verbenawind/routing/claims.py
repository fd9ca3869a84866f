"""Claims on idempotency keys, stored in the table, for at-most-once execution of requests."""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

from verbenawind.clock import Clock
from verbenawind.errors import ConditionFailed, IdempotencyKeyReused, StoreUnavailable
from verbenawind.ids import digest_hex, new_id
from verbenawind.kernel.messages import ServiceRequest, ServiceResponse
from verbenawind.kernel.ports import ObjectStore, Row, TableStore, Transaction, Write

__all__ = ["Claim", "ClaimRecord", "ClaimState", "Claims", "claim_key", "request_digest"]

_MAX_INLINE_BODY_BYTES = 4096
_MAX_CLAIM_ATTEMPTS = 3


class ClaimState(StrEnum):
    """The execution state of a claimed request."""

    CLAIMED = "claimed"
    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The table row of one idempotency key.

    ``ends_at_s`` is the request's deadline as Unix time, in seconds. If the holder cannot be
    reached and has recorded no outcome by then, the outcome is lost.
    """

    digest: str
    holder: str
    state: ClaimState
    ends_at_s: float
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    object_key: str = ""


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """The state of an idempotency key after an attempt to claim it.

    ``held`` is True if the attempt succeeded; only then may the request be dispatched.
    """

    key: str
    operation_id: str
    version: int
    record: ClaimRecord
    held: bool


def claim_key(request: ServiceRequest) -> str:
    """Return the table key of the claim on the request's idempotency key."""
    parts = (request.environment, request.caller, request.service, request.idempotency_key or "")
    return f"claim/{request.environment}/{digest_hex(msgspec.json.encode(parts))}"


def request_digest(request: ServiceRequest) -> str:
    """Return a digest of everything that must match when an idempotency key is reused."""
    head = msgspec.json.encode((request.method, request.path, request.query))
    return digest_hex(head + b"\n" + request.body)


class Claims:
    """Claims idempotency keys and records the outcomes of requests.

    Args:
        table: Client of the table service.
        objects: Client of the object store, which holds response bodies too large for a row.
        clock: Time source.
        holder: Identifier of this daemon.
    """

    __slots__ = ("_clock", "_holder", "_objects", "_table")

    def __init__(self, table: TableStore, objects: ObjectStore, clock: Clock, holder: str) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._holder = holder

    async def claim(self, request: ServiceRequest, operation_id: str) -> Claim:
        """Claim the request's key, or return the existing claim.

        Raises:
            IdempotencyKeyReused: The key was claimed for a different request.
            StoreUnavailable: The claim could not be confirmed, so the request must not be
                dispatched.
        """
        key, record = claim_key(request), self._new_record(request)
        expect_version = 0
        for _ in range(_MAX_CLAIM_ATTEMPTS):
            write = Write(key=key, value=msgspec.json.encode(record), expect_version=expect_version)
            try:
                await self._table.commit(Transaction(operation_id=operation_id, writes=(write,)))
            except ConditionFailed:
                known = await self.read(key)
            else:
                return Claim(
                    key=key,
                    operation_id=operation_id,
                    version=expect_version + 1,
                    record=record,
                    held=True,
                )
            if known is None:
                expect_version = 0
                continue
            self._check_digest(request, known.record)
            if known.operation_id == operation_id:
                return msgspec.structs.replace(known, held=True)
            if known.record.state is not ClaimState.NOT_RUN:
                return known
            expect_version = known.version
        raise StoreUnavailable(
            f"claim of {key!r} lost repeatedly to concurrent claims",
            effect_possible=False,
        )

    async def take_over(self, request: ServiceRequest, known: Claim, operation_id: str) -> Claim:
        """Claim a key whose holder reports that it never dispatched the request.

        Raises:
            StoreUnavailable: The table did not respond.
        """
        record = self._new_record(request)
        write = Write(
            key=known.key, value=msgspec.json.encode(record), expect_version=known.version
        )
        try:
            await self._table.commit(Transaction(operation_id=operation_id, writes=(write,)))
        except ConditionFailed:
            return await self.claim(request, operation_id)
        return Claim(
            key=known.key,
            operation_id=operation_id,
            version=known.version + 1,
            record=record,
            held=True,
        )

    async def read(self, key: str) -> Claim | None:
        """Read the claim on a key from the table; raises StoreUnavailable."""
        row = (await self._table.read([key])).get(key)
        return _claim_from_row(row) if row else None

    async def record_not_run(self, claim: Claim) -> None:
        """Record that the request was never dispatched; raises StoreUnavailable."""
        await self._record(claim, msgspec.structs.replace(claim.record, state=ClaimState.NOT_RUN))

    async def record_unknown(self, claim: Claim) -> None:
        """Record that the request was dispatched and its outcome is unknown."""
        await self._record(claim, msgspec.structs.replace(claim.record, state=ClaimState.UNKNOWN))

    async def record_ran(self, claim: Claim, response: ServiceResponse) -> None:
        """Record the response, storing a large body in the object store."""
        inline, object_key = response.body, ""
        if len(response.body) > _MAX_INLINE_BODY_BYTES:
            inline, object_key = b"", f"{claim.key}/{claim.operation_id}"
            await self._objects.put(object_key, response.body)
        record = msgspec.structs.replace(
            claim.record,
            state=ClaimState.RAN,
            status=response.status,
            headers=dict(response.headers),
            body=inline,
            object_key=object_key,
        )
        await self._record(claim, record)

    async def response(self, record: ClaimRecord) -> ServiceResponse | None:
        """Return the recorded response, None if its body is gone; raises StoreUnavailable."""
        body: bytes | None = record.body
        if record.object_key:
            body = await self._objects.get(record.object_key)
        if body is None:
            return None
        headers: Mapping[str, str] = record.headers
        return ServiceResponse(status=record.status, headers=headers, body=body)

    def _new_record(self, request: ServiceRequest) -> ClaimRecord:
        remaining_s = max(0.0, request.deadline_s - self._clock.monotonic_s())
        return ClaimRecord(
            digest=request_digest(request),
            holder=self._holder,
            state=ClaimState.CLAIMED,
            ends_at_s=self._clock.now().timestamp() + remaining_s,
        )

    async def _record(self, claim: Claim, record: ClaimRecord) -> None:
        write = Write(
            key=claim.key, value=msgspec.json.encode(record), expect_version=claim.version
        )
        await self._table.commit(Transaction(operation_id=new_id("op"), writes=(write,)))

    @staticmethod
    def _check_digest(request: ServiceRequest, record: ClaimRecord) -> None:
        if record.digest != request_digest(request):
            raise IdempotencyKeyReused(
                f"idempotency key {request.idempotency_key!r} of caller {request.caller!r} "
                f"was already used for a different request to service {request.service!r}"
            )


def _claim_from_row(row: Row) -> Claim:
    return Claim(
        key=row.key,
        operation_id=row.operation_id,
        version=row.version,
        record=msgspec.json.decode(row.value, type=ClaimRecord),
        held=False,
    )
