"""Failure detection between daemons by heartbeat rows in the store.

A daemon that owns work writes its heartbeat often and an idle one rarely, so the write rate scales
with the amount of work and not with the number of daemons.
"""

from collections.abc import Callable, Collection, Sequence
from random import Random

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable, Undecodable
from verbenawind.kernel.decoding import decode_json
from verbenawind.kernel.messages import Location, Value
from verbenawind.kernel.row_ports import RowId, RowStore, StoredRow, replacement_transaction
from verbenawind.kernel.wire_types import Count, DurationS, Int64

__all__ = ["HOSTS_TABLE", "HostHeartbeat", "HostHeartbeats", "host_of"]

HOSTS_TABLE = "hosts"
_BUSY_PERIOD_S = 0.5
_IDLE_PERIOD_S = 4.0
_WRITE_TIMEOUT_S = 1.5
# A busy daemon is presumed gone after this long without a heartbeat. The limit is shorter before
# its first heartbeat as an owner, which is written immediately.
_BUSY_TIMEOUT_S = 1.8
_FIRST_HEARTBEAT_TIMEOUT_S = 1.0
# Timeout of a busy daemon whose host does not answer its peers either.
_UNANSWERED_TIMEOUT_S = 1.0
# After an outage of the table, live daemons write a heartbeat again within this time.
_RECOVERY_GRACE_S = 0.8
# A daemon without a heartbeat for this long is given no work, and sooner if it has missed this many
# of the heartbeats that it announced.
_IDLE_TIMEOUT_S = 6.0
_MISSED_PERIODS = 2
# A row that was written before this daemon followed the table shows a live daemon only if it is
# younger than this: all daemons may have stopped since.
_MAX_UNHEARD_AGE_S = 1.0
# A view of the table older than this cannot show that a daemon has stopped.
_MAX_VIEW_AGE_S = 1.6
_POLL_S = 0.1
# Remaining waits up to this length are skipped.
_MIN_SLEEP_S = 0.001


def host_of(owner_id: str) -> str:
    """Return the host part of an owner id (``host#incarnation``)."""
    return owner_id.partition("#")[0]


class HostHeartbeat(Value, frozen=True, kw_only=True):
    """A daemon's heartbeat row.

    ``incarnation`` distinguishes successive processes of one host. ``written_ms`` is the store's
    time at which it was written, 0 if unknown, and ``period_s`` the time until the next one.
    """

    host: str
    incarnation: str
    address: str
    location: Location
    number: Int64
    leaving: bool = False
    written_ms: Count = 0
    period_s: DurationS = _IDLE_PERIOD_S

    @property
    def owner_id(self) -> str:
        """The identifier under which the daemon owns work, ``host#incarnation``."""
        return f"{self.host}#{self.incarnation}"


def _decode_heartbeat(host: str, value: bytes) -> HostHeartbeat:
    heartbeat = decode_json(value, HostHeartbeat)
    if heartbeat.host != host:
        raise Undecodable(f"the row is that of host {heartbeat.host!r}")
    return heartbeat


class _ReceivedHeartbeat:
    """The latest heartbeat of a daemon.

    ``at_s`` is when it arrived, or when it was written if it is the first one that was read.
    ``heard`` is set once a later one has arrived.
    """

    __slots__ = ("at_s", "heard", "heartbeat", "version")

    def __init__(self, heartbeat: HostHeartbeat, version: int, at_s: float, *, heard: bool) -> None:
        self.heartbeat = heartbeat
        self.version = version
        self.at_s = at_s
        self.heard = heard

    def shows_life(self, now_s: float) -> bool:
        """Return whether the heartbeat is recent enough for its daemon to be given work."""
        max_age_s = _MAX_UNHEARD_AGE_S
        if self.heard:
            max_age_s = min(_IDLE_TIMEOUT_S, _MISSED_PERIODS * self.heartbeat.period_s)
        return now_s - self.at_s <= max_age_s


class HostHeartbeats:
    """Writes this daemon's heartbeats and monitors those of the others.

    Args:
        store: The row store.
        own: This daemon's initial heartbeat.
        clock: Time source.
        rng: Random source for jitter.
        busy: Whether this daemon owns work.
        view_age_s: Returns the seconds since the table's feed last responded.
        store_ms: Returns the store's time.
    """

    __slots__ = (
        "_busy",
        "_clock",
        "_log",
        "_outage_ended_at_s",
        "_own",
        "_received",
        "_replaced_owners",
        "_rng",
        "_store",
        "_store_ms",
        "_version",
        "view_age_s",
    )

    def __init__(
        self,
        store: RowStore,
        own: HostHeartbeat,
        *,
        clock: Clock,
        rng: Random,
        busy: Callable[[], bool],
        view_age_s: Callable[[], float],
        store_ms: Callable[[], int],
    ) -> None:
        self._store = store
        self._store_ms = store_ms
        self._own = own
        self._clock = clock
        self._rng = rng
        self._busy = busy
        self.view_age_s = view_age_s
        self._received: dict[str, _ReceivedHeartbeat] = {}
        # Owner ids whose host has since started another incarnation.
        self._replaced_owners: set[str] = set()
        self._version = 0
        self._outage_ended_at_s = float("-inf")
        self._log = structlog.get_logger("hosts")

    @property
    def own(self) -> HostHeartbeat:
        """This daemon's latest heartbeat."""
        return self._own

    def apply_row(self, row: StoredRow) -> None:
        """Apply a row of the table from the change feed."""
        host = row.row_id.key
        if row.value is None:
            self._received.pop(host, None)
            return
        try:
            heartbeat = _decode_heartbeat(host, row.value)
        except Undecodable as error:
            self._log.warning("beat_unreadable", peer=host, error=error.message)
            return
        previous = self._received.get(host)
        if previous is not None and previous.version == row.version:
            # A table that is read anew repeats heartbeats, which are no sign of life.
            return
        if previous is None or previous.heartbeat.incarnation != heartbeat.incarnation:
            self._log.info("host_seen", peer=host, incarnation=heartbeat.incarnation)
            if previous is not None:
                self._replaced_owners.add(previous.heartbeat.owner_id)
        if host == self._own.host:
            self._version = max(self._version, row.version)
        at_s = self._clock.monotonic_s()
        if previous is None and heartbeat.written_ms:
            at_s -= max(0, self._store_ms() - heartbeat.written_ms) / 1000
        self._received[host] = _ReceivedHeartbeat(
            heartbeat, row.version, at_s, heard=previous is not None
        )

    def on_feed_response(self, silent_s: float) -> None:
        """Allow every daemon time to write a heartbeat after an outage of the table.

        Args:
            silent_s: Seconds of feed silence beyond the expected wait.
        """
        if silent_s > _MAX_VIEW_AGE_S / 2:
            self._outage_ended_at_s = self._clock.monotonic_s()

    def others(self) -> Sequence[HostHeartbeat]:
        """Return the latest heartbeats of the other daemons that are not leaving."""
        return [
            received.heartbeat
            for host, received in self._received.items()
            if host != self._own.host and not received.heartbeat.leaving
        ]

    @property
    def view_is_fresh(self) -> bool:
        """Whether the view of the table is recent enough to judge other daemons by."""
        return self.view_age_s() <= _MAX_VIEW_AGE_S

    def live_zone_peers(self) -> Sequence[HostHeartbeat]:
        """Return the other daemons of this availability zone that can be given work."""
        now_s = self._clock.monotonic_s()
        return [
            heartbeat
            for heartbeat in self.others()
            if heartbeat.location.zone == self._own.location.zone
            and self._received[heartbeat.host].shows_life(now_s)
        ]

    def is_gone(self, owner_id: str, since_s: float, *, unanswered: bool = False) -> bool:
        """Return whether the daemon with *owner_id* is presumed gone.

        Args:
            owner_id: A daemon's incarnation.
            since_s: When it began to own work, and thus to write frequent heartbeats.
            unanswered: Whether its host has just failed to answer its peers.
        """
        host, _, incarnation = owner_id.partition("#")
        if host == self._own.host:
            return incarnation != self._own.incarnation
        if owner_id in self._replaced_owners:
            return True
        received = self._received.get(host)
        if received is not None and received.heartbeat.incarnation != incarnation:
            # A newly started process whose first heartbeat has not arrived yet.
            received = None
        if received is not None and received.heartbeat.leaving:
            return True
        now_s = self._clock.monotonic_s()
        if now_s - self._outage_ended_at_s < (_RECOVERY_GRACE_S if unanswered else _BUSY_TIMEOUT_S):
            return False
        # Only count silence up to the feed's last response: later heartbeats may not have arrived.
        feed_current_at_s = now_s - self.view_age_s()
        if received is None or received.at_s <= since_s:
            return feed_current_at_s - since_s > _FIRST_HEARTBEAT_TIMEOUT_S
        return feed_current_at_s - received.at_s > (
            _UNANSWERED_TIMEOUT_S if unanswered else _BUSY_TIMEOUT_S
        )

    def silent_owner(self, owner_id: str, since_s: float, silence_s: float) -> HostHeartbeat | None:
        """Return the last heartbeat of an owner silent for more than *silence_s*, else None.

        Unlike ``is_gone`` this also counts time during which the table was unreachable, so the
        owner may well be alive.
        """
        host, _, incarnation = owner_id.partition("#")
        received = self._received.get(host)
        if received is None or received.heartbeat.incarnation != incarnation:
            return None
        last_heard_s = max(received.at_s, since_s)
        return received.heartbeat if self._clock.monotonic_s() - last_heard_s > silence_s else None

    def claimants(self, gone: Collection[str]) -> Sequence[str]:
        """Return the hosts that may take over work: this one and the others not in *gone*."""
        hosts = {heartbeat.host for heartbeat in self.others()} | {self._own.host}
        return sorted(hosts - set(gone))

    async def run(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            period_s = await self.write()
            ends_at_s = self._clock.monotonic_s() + period_s * self._rng.uniform(0.8, 1.0)
            while (remaining_s := ends_at_s - self._clock.monotonic_s()) > _MIN_SLEEP_S:
                await self._clock.sleep(min(_POLL_S, remaining_s))
                if period_s == _IDLE_PERIOD_S and self._busy():
                    break

    async def write(self, *, leaving: bool = False) -> float:
        """Write one heartbeat, and return the time until the next one, in seconds.

        A failure is logged and left to the next heartbeat.
        """
        period_s = _BUSY_PERIOD_S if self._busy() else _IDLE_PERIOD_S
        self._own = msgspec.structs.replace(
            self._own,
            number=self._own.number + 1,
            leaving=self._own.leaving or leaving,
            written_ms=self._store_ms(),
            period_s=period_s,
        )
        await self._write_row()
        return period_s

    async def _write_row(self) -> None:
        row_id = RowId(table=HOSTS_TABLE, key=self._own.host)
        value = msgspec.json.encode(self._own)
        for _ in range(2):
            try:
                self._version = await self._store.commit(
                    replacement_transaction(row_id, self._version, value), _WRITE_TIMEOUT_S
                )
                return
            except RowConflict as conflict:
                self._version = conflict.versions.get(row_id.key, 0)
            except StoreUnavailable as error:
                self._log.info("beat_not_written", reason=error.message)
                return
