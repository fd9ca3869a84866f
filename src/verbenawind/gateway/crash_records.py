"""Shares reports of servers' ends, clearances and trial claims with the other hosts.

The rows stand in a table that every host follows anyway. A report is a row of its own, so hosts
never contend for one; only the claim of a trial compares versions.
"""

import asyncio
from collections.abc import Callable, Collection
from typing import TypeVar

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable, Undecodable
from verbenawind.gateway.crash_history import CrashHistory
from verbenawind.gateway.crash_rows import Clearance, CrashReport, TrialClaim
from verbenawind.gateway.unanswered_sends import UnansweredSend
from verbenawind.ids import digest_hex, new_id
from verbenawind.kernel.decoding import decode_json
from verbenawind.kernel.row_ports import (
    RowCheck,
    RowId,
    RowStore,
    RowTransaction,
    RowWrite,
    StoredRow,
    replacement_transaction,
)

__all__ = ["CRASH_KEY_PREFIX", "CrashRecords"]

T = TypeVar("T")

CRASH_KEY_PREFIX = "crash/"
_REPORT_PREFIX = f"{CRASH_KEY_PREFIX}report/"
_CLEARANCE_PREFIX = f"{CRASH_KEY_PREFIX}cleared/"
_CLAIM_PREFIX = f"{CRASH_KEY_PREFIX}trial/"
_WRITE_TIMEOUT_S = 1.5
# A caller waits for this.
_CLAIM_TIMEOUT_S = 0.5
# Sends to a server that ended break within milliseconds of each other; one write covers them.
_GATHER_S = 0.02
_RETRY_S = 1.0
_MAX_BATCH = 50
_MAX_PENDING = 256
# Reports beyond this number are not recorded; one is written for each ended process and host that
# had requests on it.
_MAX_REPORTS = 1000
# Sends in one report, the newest ones.
_MAX_SENDS = 64
_INCARNATION_DIGITS = 16


class CrashRecords:
    """Applies the rows of all hosts to the crash history, and writes those of this one.

    What this host records holds here at once, also while the store is away; it is written when the
    store is back.

    Args:
        history: The crash history.
        store: The row store.
        table: The table of the rows.
        owner: This daemon's incarnation.
        clock: Time source.
        store_ms: Returns the store's time.
    """

    __slots__ = (
        "_clock",
        "_history",
        "_log",
        "_newest",
        "_on_report",
        "_owner",
        "_pending",
        "_store",
        "_store_ms",
        "_table",
        "_versions",
        "_wake",
    )

    def __init__(
        self,
        history: CrashHistory,
        store: RowStore,
        table: str,
        owner: str,
        *,
        clock: Clock,
        store_ms: Callable[[], int],
    ) -> None:
        self._history = history
        self._store = store
        self._table = table
        self._owner = owner
        self._clock = clock
        self._store_ms = store_ms
        # Versions of the rows that exist, as transactions check them.
        self._versions: dict[str, int] = {}
        # Newest known version of each row, which is that of the deletion for a deleted one.
        self._newest: dict[str, int] = {}
        # Rows to write, with a value of None for those to delete.
        self._pending: dict[str, bytes | None] = {}
        self._wake = asyncio.Event()
        self._on_report: Callable[[CrashReport, Collection[str], bool], None] | None = None
        self._log = structlog.get_logger("crash_guard")

    def on_report(self, listener: Callable[[CrashReport, Collection[str], bool], None]) -> None:
        """Call *listener* with each report, the requests it adds, and whether it is this host's."""
        self._on_report = listener

    def apply_row(self, row: StoredRow) -> None:
        """Apply a row of the table from the change feed.

        The feed is behind the writes of this host, whose rows it doesn't undo.
        """
        key = row.row_id.key
        if row.version < self._newest.get(key, 0):
            return
        if row.value is None:
            self._versions.pop(key, None)
            self._newest.pop(key, None)
        else:
            self._versions[key] = self._newest[key] = row.version
        if key in self._pending:
            return
        try:
            if key.startswith(_REPORT_PREFIX):
                self._put_report(key, _decode(row.value, CrashReport), own=False)
            elif key.startswith(_CLEARANCE_PREFIX):
                fingerprint = key.removeprefix(_CLEARANCE_PREFIX)
                self._history.put_clearance(fingerprint, _decode(row.value, Clearance))
            elif key.startswith(_CLAIM_PREFIX):
                fingerprint = key.removeprefix(_CLAIM_PREFIX)
                self._history.put_claim(fingerprint, _decode(row.value, TrialClaim))
        except Undecodable as error:
            self._log.warning("crash_row_unreadable", key=key, error=error.message)

    def report(
        self,
        incarnation: str,
        service: str,
        sends: Collection[UnansweredSend],
        *,
        certain: bool = True,
        alive_ms: int = -1,
    ) -> None:
        """Record the requests that this host had left unanswered on a process that ended.

        Args:
            incarnation: The process.
            service: The service of its server.
            sends: The requests.
            certain: Whether it ended, or only doesn't respond to connections.
            alive_ms: The store's time of its latest answer to this host.
        """
        digest = digest_hex(incarnation.encode())[:_INCARNATION_DIGITS]
        key = f"{_REPORT_PREFIX}{digest}/{self._owner}"
        known = self._history.report(key)
        if known is None and len(self._history) >= _MAX_REPORTS:
            self._log.warning("crash_not_reported", crash=incarnation, requests=len(sends))
            return
        newest = sorted({*sends, *(known.sends if known else ())}, key=lambda send: -send.sent_ms)
        report = CrashReport(
            incarnation=incarnation,
            service=service,
            ended_ms=known.ended_ms if known else self._store_ms(),
            sends=tuple(newest[:_MAX_SENDS]),
            certain=certain or (known is not None and known.certain),
            alive_ms=known.alive_ms if known is not None else alive_ms,
        )
        if report != known:
            self._put_report(key, report, own=True)
            self._write(key, msgspec.json.encode(report))

    def withdraw(self, fingerprint: str) -> None:
        """Take an answered request out of this host's reports.

        The rows are rewritten with the next ones, or at the next wake-up: nothing waits for them.
        """
        for key, report in self._history.reports_on(fingerprint).items():
            if not key.endswith(f"/{self._owner}"):
                continue
            sends = tuple(send for send in report.sends if send.fingerprint != fingerprint)
            smaller = msgspec.structs.replace(report, sends=sends)
            self._history.put_report(key, smaller)
            self._pending[key] = msgspec.json.encode(smaller)

    def revoke(self, incarnation: str) -> None:
        """Remove all reports on a process that proved to be alive."""
        for key in self._history.reports_of_incarnation(incarnation):
            self._history.put_report(key, None)
            self._write(key, None)

    def clear(self, fingerprint: str) -> None:
        """Record that a server answered a suspected request, of one caller or of all callers."""
        self._put_clearance(
            fingerprint, self._history.next_clearance(fingerprint, self._store_ms())
        )

    def _put_clearance(self, fingerprint: str, clearance: Clearance) -> None:
        self._history.put_clearance(fingerprint, clearance)
        self._write(f"{_CLEARANCE_PREFIX}{fingerprint}", msgspec.json.encode(clearance))

    async def claim(self, fingerprint: str, *, doubtful: bool, caller: str = "") -> bool:
        """Claim the next trial of a convicted request for this host; at most one host succeeds.

        Args:
            fingerprint: The request.
            doubtful: Whether the ends may have another cause, which shortens the terms.
            caller: The caller's request that is tried, empty if its own ends don't convict it.
        """
        key = f"{_CLAIM_PREFIX}{fingerprint}"
        claim = self._history.next_claim(
            fingerprint,
            new_id("trial"),
            self._store_ms(),
            doubtful=doubtful,
            caller=caller,
        )
        transaction = replacement_transaction(
            RowId(table=self._table, key=key),
            self._versions.get(key, 0),
            msgspec.json.encode(claim),
        )
        try:
            version = await self._store.commit(transaction, _CLAIM_TIMEOUT_S)
        except (RowConflict, StoreUnavailable) as error:
            self._log.info("trial_not_claimed", fingerprint=fingerprint, reason=error.message)
            return False
        self._versions[key] = self._newest[key] = version
        self._history.put_claim(fingerprint, claim)
        return True

    def pass_trial(self, fingerprint: str) -> None:
        """Record that a server answered a trial of a caller's request."""
        self._put_clearance(fingerprint, self._history.next_pass(fingerprint, self._store_ms()))

    def release(self, fingerprint: str, caller: str = "") -> None:
        """Give back a claimed trial that ended no server.

        Args:
            fingerprint: The request.
            caller: The caller's request that was tried, as in its claim.
        """
        released = self._history.next_release(fingerprint, caller, self._store_ms())
        if released is None:
            return
        self._history.put_claim(fingerprint, released)
        self._write(f"{_CLAIM_PREFIX}{fingerprint}", msgspec.json.encode(released))

    def sweep(self, is_assigned: Callable[[str], bool]) -> None:
        """Delete the expired rows that are assigned to this host."""
        now_ms = self._store_ms()
        keys = list(self._history.expired_reports(now_ms))
        for fingerprint in self._history.expired_requests(now_ms):
            keys += [f"{_CLEARANCE_PREFIX}{fingerprint}", f"{_CLAIM_PREFIX}{fingerprint}"]
        for key in keys:
            if key not in self._versions:
                # It was never written.
                self._history.put_report(key, None)
            elif is_assigned(key):
                self._write(key, None)

    def wake(self) -> None:
        """Write pending rows soon."""
        if self._pending:
            self._wake.set()

    async def run(self) -> None:
        """Write this host's rows until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._clock.sleep(_GATHER_S)
            while self._pending:
                await self._clock.sleep(await self._flush())

    def _put_report(self, key: str, report: CrashReport | None, *, own: bool) -> None:
        added = self._history.put_report(key, report)
        if report is not None and added and self._on_report is not None:
            self._on_report(report, added, own)

    def _write(self, key: str, value: bytes | None) -> None:
        if key not in self._pending and len(self._pending) >= _MAX_PENDING:
            self._log.warning("crash_row_not_written", key=key, reason="too many rows are pending")
            return
        self._pending[key] = value
        self._wake.set()

    async def _flush(self) -> float:
        """Write the next pending rows, and return the time to wait before the others."""
        batch = dict(list(self._pending.items())[:_MAX_BATCH])
        checks, writes = [], []
        for key, value in batch.items():
            row_id = RowId(table=self._table, key=key)
            version = self._versions.get(key, 0)
            if value is None and not version:
                continue
            checks.append(RowCheck(row_id=row_id, version=version))
            writes.append(RowWrite(row_id=row_id, value=value))
        try:
            if writes:
                transaction = RowTransaction(checks=tuple(checks), writes=tuple(writes))
                version = await self._store.commit(transaction, _WRITE_TIMEOUT_S)
                for write in writes:
                    key = write.row_id.key
                    self._newest[key] = version
                    if write.value is not None:
                        self._versions[key] = version
                    else:
                        self._versions.pop(key, None)
        except RowConflict as conflict:
            # Another host wrote one of the rows, or an earlier write of this one took effect.
            self._versions.update(conflict.versions)
            for key in batch:
                if key.startswith(_CLAIM_PREFIX):
                    # A later claim of another host stands.
                    self._pending.pop(key, None)
            return _GATHER_S
        except StoreUnavailable as error:
            self._log.info("crash_row_not_written", key=next(iter(batch)), reason=error.message)
            return _RETRY_S
        for key, value in batch.items():
            if key in self._pending and self._pending[key] == value:
                del self._pending[key]
        return 0.0


def _decode(value: bytes | None, row_type: type[T]) -> T | None:
    return None if value is None else decode_json(value, row_type)
