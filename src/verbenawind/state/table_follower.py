"""Follows the rows of a table through its change feed."""

from collections.abc import Callable
from random import Random

import structlog

from verbenawind.clock import Clock
from verbenawind.errors import HistoryLost, StoreUnavailable
from verbenawind.kernel.row_ports import RowId, RowStore, StoredRow

__all__ = ["FEED_PAUSE_S", "FEED_WAIT_S", "TableFollower"]

_SCAN_TIMEOUT_S = 3.0
# Default long-poll wait; it also bounds how long a dead connection goes unnoticed.
FEED_WAIT_S = 1.0
# Default pause between calls that returned rows.
FEED_PAUSE_S = 0.2
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5
# A feed that was silent for longer than this beyond its wait is logged when it responds again.
_LOGGED_SILENCE_S = 2.0


class TableFollower:
    """Passes the rows of a table, and then each change to them, to a listener in order.

    Args:
        store: The store.
        table: The table to follow.
        listener: Called with each changed row; its value is None if the row was removed. If it
            raises, the row is logged and counted, and the next one is passed on.
        clock: Time source.
        rng: Random source for retry jitter.
        partitioned: Whether the table has named partitions instead of the single unnamed one.
        wait_s: How long the store may hold a call while there is no change.
        pause_s: Pause between calls that returned rows; it limits their rate.
    """

    __slots__ = (
        "_clock",
        "_last_response_at_s",
        "_listener",
        "_log",
        "_partitioned",
        "_pause_s",
        "_response_listeners",
        "_rng",
        "_row_versions",
        "_store",
        "_table",
        "_version",
        "_wait_s",
        "informed",
        "rows_failed",
    )

    def __init__(
        self,
        store: RowStore,
        table: str,
        listener: Callable[[StoredRow], None],
        *,
        clock: Clock,
        rng: Random,
        partitioned: bool = False,
        pause_s: float = FEED_PAUSE_S,
        wait_s: float = FEED_WAIT_S,
    ) -> None:
        self._store = store
        self._table = table
        self._listener = listener
        self._clock = clock
        self._rng = rng
        self._partitioned = partitioned
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._row_versions: dict[RowId, int] = {}
        self._version: int | None = None
        self._last_response_at_s = clock.monotonic_s()
        self._response_listeners: list[Callable[[float], None]] = []
        self._log = structlog.get_logger("feed")
        self.informed = False
        # Number of rows with which the listener failed.
        self.rows_failed = 0

    def age_s(self) -> float:
        """Return the seconds since the store last responded for this table."""
        return self._clock.monotonic_s() - self._last_response_at_s

    def on_response(self, listener: Callable[[float], None]) -> None:
        """Call *listener* at each response with the seconds of silence beyond the wait."""
        self._response_listeners.append(listener)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause_s = _MIN_BACKOFF_S
        while True:
            try:
                if self._version is None:
                    await self._read_table()
                else:
                    await self._read_changes(self._version)
                pause_s = _MIN_BACKOFF_S
                self.informed = True
            except HistoryLost:
                self._log.warning("feed_history_lost", table=self._table, version=self._version)
                self._version = None
            except StoreUnavailable as error:
                self._log.info(
                    "feed_unavailable",
                    table=self._table,
                    error=error.message,
                    age_s=round(self.age_s(), 2),
                )
                await self._clock.sleep(pause_s * self._rng.uniform(0.5, 1.0))
                pause_s = min(_MAX_BACKOFF_S, 2 * pause_s)

    async def _read_table(self) -> None:
        """Read every row, and report the rows that have disappeared since as removed."""
        partitions = [""]
        version: int | None = None
        if self._partitioned:
            # The feed repeats changes made after this read; applying a row twice is harmless.
            first_page = await self._store.rows(self._table, "", _SCAN_TIMEOUT_S, limit=1)
            version = first_page.version
            partitions = list(await self._store.parts(self._table, _SCAN_TIMEOUT_S))
        current_rows: dict[RowId, StoredRow] = {}
        for partition in partitions:
            start_key, more = "", True
            while more:
                page = await self._store.rows(
                    self._table, partition, _SCAN_TIMEOUT_S, first=start_key
                )
                version = page.version if version is None else version
                current_rows.update({row.row_id: row for row in page.rows})
                more = page.has_more and bool(page.rows)
                start_key = page.rows[-1].row_id.key + "\0" if page.rows else ""
        self._response_received()
        for row_id in [row_id for row_id in self._row_versions if row_id not in current_rows]:
            self._apply_row(StoredRow(row_id=row_id, value=None, version=version or 0))
        for row in current_rows.values():
            self._apply_row(row)
        self._version = version

    async def _read_changes(self, after: int) -> None:
        changes = await self._store.changes(self._table, after, self._wait_s)
        self._response_received()
        for row in changes.rows:
            self._apply_row(row)
        self._version = max(after, changes.version)
        if changes.rows:
            await self._clock.sleep(self._pause_s * self._rng.uniform(0.7, 1.0))

    def _apply_row(self, row: StoredRow) -> None:
        if row.version < self._row_versions.get(row.row_id, 0):
            return
        if row.value is None:
            self._row_versions.pop(row.row_id, None)
        else:
            self._row_versions[row.row_id] = row.version
        try:
            self._listener(row)
        except Exception as error:
            # A row that cannot be applied must not keep the rows after it from being applied.
            self.rows_failed += 1
            self._log.error(
                "feed_row_not_applied",
                table=self._table,
                part=row.row_id.part,
                key=row.row_id.key,
                version=row.version,
                exc_info=error,
            )

    def _response_received(self) -> None:
        silent_s = self.age_s()
        self._last_response_at_s = self._clock.monotonic_s()
        if silent_s > self._wait_s + _LOGGED_SILENCE_S:
            self._log.info("feed_regained", table=self._table, silent_s=round(silent_s, 2))
        for listener in self._response_listeners:
            listener(silent_s - self._wait_s)
