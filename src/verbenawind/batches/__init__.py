"""Batch jobs: accepted once, run on any engine with a free slot, listed at fixed positions."""

from verbenawind.batches.job_registry import JobRegistry
from verbenawind.batches.job_rows import JOBS_TABLE, StoredJob
from verbenawind.batches.job_store import JobStore
from verbenawind.batches.owner_monitor import OwnerMonitor
from verbenawind.batches.runner import BatchRunner
from verbenawind.batches.service import BatchJobs
from verbenawind.batches.sweeping import JobSweeper
from verbenawind.batches.takeover import JobTakeover
from verbenawind.batches.types import (
    BatchItem,
    BatchSubmission,
    ItemResult,
    JobRecord,
    JobState,
    ResultsPage,
    ResultState,
    ScoringCall,
)

__all__ = [
    "JOBS_TABLE",
    "BatchItem",
    "BatchJobs",
    "BatchRunner",
    "BatchSubmission",
    "ItemResult",
    "JobRecord",
    "JobRegistry",
    "JobState",
    "JobStore",
    "JobSweeper",
    "JobTakeover",
    "OwnerMonitor",
    "ResultState",
    "ResultsPage",
    "ScoringCall",
    "StoredJob",
]
