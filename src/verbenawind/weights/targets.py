"""Tracks the version that each model's engines should run."""

from collections.abc import Sequence

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentRevision, ModelSpec, SwapPolicy
from verbenawind.errors import StoreUnavailable
from verbenawind.kernel.ports import Configuration, PeerBus, TableStore, WeightStore
from verbenawind.rollout.records import VersionRecord, version_prefix
from verbenawind.rollout.versions import VERSION_ITEM_KIND
from verbenawind.weights.plan import Target

__all__ = ["Targets"]

_SCAN_PERIOD_S = 2.0
_SCAN_LIMIT = 10_000
_PIN_TIMEOUT_S = 20.0


class Targets:
    """Tracks published versions, by gossip from the peers and by periodic scans of the table.

    Args:
        configuration: The configuration revisions in force.
        table: Client of the table service.
        store: The weight store.
        peers: The gossip bus, whose items announce new versions.
        clock: Time source.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_log",
        "_newest",
        "_next_scan_s",
        "_pinned",
        "_sizes",
        "_store",
        "_table",
    )

    def __init__(
        self,
        *,
        configuration: Configuration,
        table: TableStore,
        store: WeightStore,
        peers: PeerBus,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._table = table
        self._store = store
        self._clock = clock
        self._newest: dict[tuple[str, str], VersionRecord] = {}
        self._pinned: dict[tuple[str, str], tuple[VersionRecord, float]] = {}
        self._sizes: dict[tuple[str, int], int] = {}
        self._next_scan_s = 0.0
        self._log = structlog.get_logger("weights")
        peers.on_item(VERSION_ITEM_KIND, lambda item: self._record_item(item.key, item.body))
        for item in peers.items(VERSION_ITEM_KIND):
            self._record_item(item.key, item.body)

    async def refresh(self) -> None:
        """Scan the table for published versions, at most once per scan period."""
        if self._clock.monotonic_s() < self._next_scan_s:
            return
        self._next_scan_s = self._clock.monotonic_s() + _SCAN_PERIOD_S
        for revision in self._configuration.environments():
            try:
                rows = await self._table.scan(version_prefix(revision.name), limit=_SCAN_LIMIT)
            except StoreUnavailable as error:
                self._log.warning("versions_unavailable", error=error.message)
                return
            for row in rows:
                self._record_version(
                    revision.name, msgspec.json.decode(row.value, type=VersionRecord)
                )

    async def current(self) -> Sequence[Target]:
        """Return the target of each model that has one.

        A target is pinned until :meth:`unpin` is called or ``_PIN_TIMEOUT_S`` and the activation
        delay have passed. Otherwise, versions that are published in quick succession could keep
        engines from ever activating one.
        """
        targets = []
        for revision in self._configuration.environments():
            for model in revision.document.models:
                target = await self._target(revision, model)
                if target is not None:
                    targets.append(target)
        return targets

    def unpin(self, target: Target) -> None:
        """Let the target's model move on to its newest version."""
        self._pinned.pop((target.environment, target.model), None)

    async def _target(self, revision: EnvironmentRevision, model: ModelSpec) -> Target | None:
        key = (revision.name, model.name)
        newest = self._newest.get(key)
        pool = revision.document.pool(model.pool)
        if newest is None or pool is None:
            return None
        now_s = self._clock.monotonic_s()
        record, pinned_at_s = self._pinned.get(key, (newest, now_s))
        if now_s - pinned_at_s > _PIN_TIMEOUT_S + revision.document.weights.activation_delay_s:
            record, pinned_at_s = newest, now_s
        self._pinned[key] = record, pinned_at_s
        size_bytes = await self._size_bytes(record)
        if size_bytes is None:
            return None
        return Target(
            environment=revision.name,
            model=model.name,
            pool=model.pool,
            version=record.version,
            weights_uri=record.weights_uri,
            size_bytes=size_bytes,
            activate_at_s=record.published_at_s + revision.document.weights.activation_delay_s,
            drain_first=model.swap is SwapPolicy.DRAIN,
            order_timeout_s=pool.order_timeout_s,
        )

    async def _size_bytes(self, record: VersionRecord) -> int | None:
        key = (record.model, record.version)
        if key not in self._sizes:
            try:
                manifest = await self._store.manifest(record.model, record.version)
            except StoreUnavailable as error:
                self._log.warning("weight_store_unavailable", error=error.message)
                return None
            if manifest is None:
                return None
            self._sizes = {
                known: size for known, size in self._sizes.items() if known[0] != record.model
            }
            self._sizes[key] = manifest.size_bytes
        return self._sizes[key]

    def _record_item(self, key: str, body: bytes) -> None:
        environment = key.rpartition("/")[0]
        self._record_version(environment, msgspec.json.decode(body, type=VersionRecord))

    def _record_version(self, environment: str, record: VersionRecord) -> None:
        key = (environment, record.model)
        known = self._newest.get(key)
        if known is None or known.version < record.version:
            self._newest[key] = record
