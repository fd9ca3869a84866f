"""Heartbeats of daemons as rows of the store: who is there, and who has gone silent.

A daemon that owns work beats often, any other rarely, so that the number of writes follows the
work and not the size of the fleet.
"""

from collections.abc import Callable, Collection, Sequence
from random import Random

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable
from verbenawind.kernel.messages import Location, Value
from verbenawind.kernel.row_ports import RowId, RowStore, StoredRow, replacement

__all__ = ["HOSTS_TABLE", "Beat", "HostBeats", "host_of"]

HOSTS_TABLE = "hosts"
_BUSY_PERIOD_S = 0.5
_IDLE_PERIOD_S = 4.0
_WRITE_TIMEOUT_S = 1.5
# Silence of a busy daemon after which it is taken for gone; shorter before its first beat as an
# owner, which comes at once.
_BUSY_TIMEOUT_S = 1.8
_FIRST_BEAT_TIMEOUT_S = 1.0
# The same for a daemon whose host does not answer its peers either.
_UNANSWERED_TIMEOUT_S = 1.0
# After the table was out of reach a living daemon's beat is back within this time.
_RECOVERY_GRACE_S = 0.8
# An idle daemon that has not beaten for so long gets no work.
_IDLE_TIMEOUT_S = 6.0
# A view of the table older than this says nothing about anybody's silence.
_MAX_VIEW_AGE_S = 1.6
_POLL_S = 0.1
# Shorter waits are over already.
_MIN_SLEEP_S = 0.001


def host_of(owner_id: str) -> str:
    """Return the host of a daemon's incarnation."""
    return owner_id.partition("#")[0]


class Beat(Value, frozen=True, kw_only=True):
    """A daemon's row; ``incarnation`` tells its process from earlier ones under its name."""

    host: str
    incarnation: str
    address: str
    location: Location
    number: int
    leaving: bool = False

    @property
    def owner_id(self) -> str:
        """What the daemon signs its work with."""
        return f"{self.host}#{self.incarnation}"


class _ReceivedBeat:
    __slots__ = ("at_s", "beat", "version")

    def __init__(self, beat: Beat, version: int, at_s: float) -> None:
        self.beat = beat
        self.version = version
        self.at_s = at_s


class HostBeats:
    """Beats for this daemon and watches the beats of the others.

    Args:
        store: The row store.
        own: This daemon's first beat.
        clock: Time source.
        rng: Jitter.
        busy: Whether this daemon owns work.
        view_age_s: For how long the table has not been heard of.
    """

    __slots__ = (
        "_busy",
        "_clock",
        "_feed_restored_at_s",
        "_log",
        "_own",
        "_received",
        "_replaced_owners",
        "_rng",
        "_store",
        "_version",
        "view_age_s",
    )

    def __init__(
        self,
        store: RowStore,
        own: Beat,
        *,
        clock: Clock,
        rng: Random,
        busy: Callable[[], bool],
        view_age_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._own = own
        self._clock = clock
        self._rng = rng
        self._busy = busy
        self.view_age_s = view_age_s
        self._received: dict[str, _ReceivedBeat] = {}
        # Incarnations that another one of their host has replaced.
        self._replaced_owners: set[str] = set()
        self._version = 0
        self._feed_restored_at_s = float("-inf")
        self._log = structlog.get_logger("hosts")

    @property
    def own(self) -> Beat:
        """This daemon's newest beat."""
        return self._own

    def take(self, row: StoredRow) -> None:
        """Take in a row of the table."""
        host = row.row_id.key
        if row.value is None:
            self._received.pop(host, None)
            return
        try:
            beat = msgspec.json.decode(row.value, type=Beat)
        except msgspec.MsgspecError as error:
            self._log.warning("beat_unreadable", peer=host, error=str(error))
            return
        previous = self._received.get(host)
        if previous is None or previous.beat.incarnation != beat.incarnation:
            self._log.info("host_seen", peer=host, incarnation=beat.incarnation)
            if previous is not None:
                self._replaced_owners.add(previous.beat.owner_id)
        if host == self._own.host:
            self._version = max(self._version, row.version)
        self._received[host] = _ReceivedBeat(beat, row.version, self._clock.monotonic_s())

    def view_returned(self, silent_s: float) -> None:
        """Give everybody time to beat again after the table was out of reach."""
        if silent_s > _MAX_VIEW_AGE_S / 2:
            self._feed_restored_at_s = self._clock.monotonic_s()

    def others(self) -> Sequence[Beat]:
        """Return the other daemons that have beaten and have not said that they leave."""
        return [
            received.beat
            for host, received in self._received.items()
            if host != self._own.host and not received.beat.leaving
        ]

    @property
    def view_is_fresh(self) -> bool:
        """Whether the table has been heard of lately."""
        return self.view_age_s() <= _MAX_VIEW_AGE_S

    def neighbours(self) -> Sequence[Beat]:
        """Return the daemons of this availability zone that have beaten lately."""
        now_s = self._clock.monotonic_s()
        return [
            beat
            for beat in self.others()
            if beat.location.zone == self._own.location.zone
            and now_s - self._received[beat.host].at_s <= _IDLE_TIMEOUT_S
        ]

    def is_gone(self, owner_id: str, since_s: float, *, unanswered: bool = False) -> bool:
        """Return whether the daemon that signs as *owner_id* is taken for gone.

        Args:
            owner_id: A daemon's incarnation.
            since_s: Since when it has owned work and so should have beaten often.
            unanswered: Whether its host has just given its peers no answer.
        """
        host, _, incarnation = owner_id.partition("#")
        if host == self._own.host:
            return incarnation != self._own.incarnation
        if owner_id in self._replaced_owners:
            return True
        received = self._received.get(host)
        if received is not None and received.beat.incarnation != incarnation:
            # A process that has started anew and whose first beat is still on its way.
            received = None
        if received is not None and received.beat.leaving:
            return True
        now_s = self._clock.monotonic_s()
        if now_s - self._feed_restored_at_s < (
            _RECOVERY_GRACE_S if unanswered else _BUSY_TIMEOUT_S
        ):
            return False
        # Only silence that the feed has borne out counts.
        last_heard_s = now_s - self.view_age_s()
        if received is None or received.at_s <= since_s:
            return last_heard_s - since_s > _FIRST_BEAT_TIMEOUT_S
        return last_heard_s - received.at_s > (
            _UNANSWERED_TIMEOUT_S if unanswered else _BUSY_TIMEOUT_S
        )

    def silent_owner(self, owner_id: str, since_s: float, silence_s: float) -> Beat | None:
        """Return the last beat of an owner that has not been heard of for *silence_s*, else None.

        Unlike ``is_gone`` this counts silence of the table as well, and proves nothing.
        """
        host, _, incarnation = owner_id.partition("#")
        received = self._received.get(host)
        if received is None or received.beat.incarnation != incarnation:
            return None
        last_heard_s = max(received.at_s, since_s)
        return received.beat if self._clock.monotonic_s() - last_heard_s > silence_s else None

    def claimants(self, gone: Collection[str]) -> Sequence[str]:
        """Return the hosts that may take over, this one included, without the *gone* ones."""
        hosts = {beat.host for beat in self.others()} | {self._own.host}
        return sorted(hosts - set(gone))

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            await self.beat()
            period_s = _BUSY_PERIOD_S if self._busy() else _IDLE_PERIOD_S
            ends_at_s = self._clock.monotonic_s() + period_s * self._rng.uniform(0.8, 1.0)
            while (remaining_s := ends_at_s - self._clock.monotonic_s()) > _MIN_SLEEP_S:
                await self._clock.sleep(min(_POLL_S, remaining_s))
                if period_s == _IDLE_PERIOD_S and self._busy():
                    break

    async def beat(self, *, leaving: bool = False) -> None:
        """Write one beat; a failure is logged and the next beat tries again."""
        self._own = msgspec.structs.replace(
            self._own, number=self._own.number + 1, leaving=self._own.leaving or leaving
        )
        row_id = RowId(table=HOSTS_TABLE, key=self._own.host)
        value = msgspec.json.encode(self._own)
        for _ in range(2):
            try:
                self._version = await self._store.commit(
                    replacement(row_id, self._version, value), _WRITE_TIMEOUT_S
                )
                return
            except RowConflict as conflict:
                self._version = conflict.versions.get(row_id.key, 0)
            except StoreUnavailable as error:
                self._log.info("beat_not_written", reason=error.message)
                return
