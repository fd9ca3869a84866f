"""The reports of all hosts on servers' processes that ended, indexed by request and by process."""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping

from verbenawind.gateway.crash_rows import CrashReport
from verbenawind.gateway.fingerprints import base_fingerprint

__all__ = ["CrashReports"]


class CrashReports:
    """Reports by their key. A report names the callers' requests that ran on one process."""

    __slots__ = ("_by_key", "_callers_of", "_keys_of", "_keys_on")

    def __init__(self) -> None:
        self._by_key: dict[str, CrashReport] = {}
        # Keys by a caller's request, and by process.
        self._keys_of: defaultdict[str, set[str]] = defaultdict(set)
        self._keys_on: defaultdict[str, set[str]] = defaultdict(set)
        # The reported requests by what the same requests of all callers share.
        self._callers_of: defaultdict[str, set[str]] = defaultdict(set)

    def __len__(self) -> int:
        return len(self._by_key)

    def put(self, key: str, report: CrashReport | None) -> Collection[str]:
        """Add, replace or remove a report, and return the fingerprints that it now adds."""
        old = self._by_key.pop(key, None)
        before = {send.fingerprint for send in old.sends} if old is not None else set()
        if old is not None:
            _discard(self._keys_on, old.incarnation, key)
        for fingerprint in before:
            _discard(self._keys_of, fingerprint, key)
            if fingerprint not in self._keys_of:
                _discard(self._callers_of, base_fingerprint(fingerprint), fingerprint)
        if report is None:
            return ()
        self._by_key[key] = report
        self._keys_on[report.incarnation].add(key)
        after = {send.fingerprint for send in report.sends}
        for fingerprint in after:
            self._keys_of[fingerprint].add(key)
            self._callers_of[base_fingerprint(fingerprint)].add(fingerprint)
        return after - before

    def get(self, key: str) -> CrashReport | None:
        """Return a report by its key."""
        return self._by_key.get(key)

    def items(self) -> Iterable[tuple[str, CrashReport]]:
        """Return all reports with their keys."""
        return self._by_key.items()

    def values(self) -> Iterable[CrashReport]:
        """Return all reports."""
        return self._by_key.values()

    def on_request(self, fingerprint: str) -> Mapping[str, CrashReport]:
        """Return the reports that name a caller's request, by key."""
        return {key: self._by_key[key] for key in self._keys_of.get(fingerprint, ())}

    def keys_on_process(self, incarnation: str) -> Collection[str]:
        """Return the keys of the reports on a server's process."""
        return list(self._keys_on.get(incarnation, ()))

    def requests_on(self, incarnation: str) -> Collection[str]:
        """Return the callers' requests that were left unanswered on a process."""
        reports = [self._by_key[key] for key in self._keys_on.get(incarnation, ())]
        return {send.fingerprint for report in reports for send in report.sends}

    def callers_of(self, base: str) -> Collection[str]:
        """Return the reported requests of all callers that are the same request."""
        return list(self._callers_of.get(base, ()))

    def fingerprints(self) -> Collection[str]:
        """Return the callers' requests that are named."""
        return list(self._keys_of)

    def names(self, fingerprint: str) -> bool:
        """Return whether a request, of one caller or of any, is named."""
        return fingerprint in self._keys_of or fingerprint in self._callers_of

    def first_break_ms(self, incarnation: str) -> float:
        """Return when the first connection to a process broke since it last answered anybody."""
        reports = [self._by_key[key] for key in self._keys_on.get(incarnation, ())]
        alive_ms = max((report.alive_ms for report in reports), default=-1)
        breaks_ms = [
            send.broke_ms
            for report in reports
            for send in report.sends
            if send.broke_ms is not None and send.broke_ms > alive_ms
        ]
        return min(breaks_ms, default=math.inf)


def _discard(values: dict[str, set[str]], name: str, value: str) -> None:
    values[name].discard(value)
    if not values[name]:
        del values[name]
