"""The environment document: its types, parser and validation."""

from verbenawind.document.difference import Change, diff_documents
from verbenawind.document.loading import canonical_bytes, document_digest, parse_document
from verbenawind.document.references import KnownAdapters
from verbenawind.document.types import (
    CallerKind,
    CallerSpec,
    CrossRegionSpec,
    Delivery,
    EnvironmentDocument,
    EnvironmentRevision,
    ModelSpec,
    PoolSpec,
    RouteSpec,
    ScoringServiceSpec,
    ServiceSpec,
    Stage,
    StalenessSpec,
    SwapPolicy,
    TrainerSpec,
    WeightsSpec,
)

__all__ = [
    "CallerKind",
    "CallerSpec",
    "Change",
    "CrossRegionSpec",
    "Delivery",
    "EnvironmentDocument",
    "EnvironmentRevision",
    "KnownAdapters",
    "ModelSpec",
    "PoolSpec",
    "RouteSpec",
    "ScoringServiceSpec",
    "ServiceSpec",
    "Stage",
    "StalenessSpec",
    "SwapPolicy",
    "TrainerSpec",
    "WeightsSpec",
    "canonical_bytes",
    "diff_documents",
    "document_digest",
    "parse_document",
]
