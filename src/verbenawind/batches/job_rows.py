"""The rows and objects of batch jobs: their names, and the types of what they hold."""

from verbenawind.batches.types import ItemResult, JobRecord, ResultState
from verbenawind.kernel.decoding import decode_json
from verbenawind.kernel.messages import Value
from verbenawind.kernel.row_ports import RowId

__all__ = [
    "JOBS_TABLE",
    "RESULTS_TABLE",
    "SUBMISSIONS_TABLE",
    "TAILS_TABLE",
    "TEXTS_TABLE",
    "KeptText",
    "StoredJob",
    "StoredResult",
    "Tail",
    "decode_job",
    "job_row",
    "position_key",
    "result_row",
    "submission_object",
    "submission_row",
    "tail_row",
    "text_row",
    "to_stored_result",
]

JOBS_TABLE = "batch-jobs"
RESULTS_TABLE = "batch-results"
TAILS_TABLE = "batch-tails"
TEXTS_TABLE = "batch-texts"
SUBMISSIONS_TABLE = "batch-submissions"
_JOB_KEY = "job"
_TAIL_KEY = "tail"
_POSITION_DIGITS = 8


class StoredJob(Value, frozen=True, kw_only=True):
    """A job's record and the version of its row."""

    record: JobRecord
    version: int


class Tail(Value, frozen=True, kw_only=True):
    """The number of listed results, and the version of the row that holds it.

    Every transaction that lists results checks and writes this row, so that no two transactions
    can write the same positions.
    """

    listed: int = 0
    version: int = 0


class KeptText(Value, frozen=True, kw_only=True, array_like=True):
    """A piece of an item's partial text, starting at event number ``first``, counted from 0.

    ``versions`` are the weight versions of the entire text up to the end of this piece. After a
    ``complete`` piece nothing follows; the item waits for its score.
    """

    item_id: str
    first: int
    events: tuple[str, ...]
    last_event: int
    versions: tuple[int, ...]
    last_version: int
    complete: bool = False


class StoredResult(Value, frozen=True, kw_only=True, array_like=True):
    """A result as stored in a row.

    A text that is too large for a row is stored as an object, named by ``text_object``.
    """

    item_id: str
    state: ResultState
    text: str
    versions: tuple[int, ...]
    text_object: str = ""
    score: str = ""


def decode_job(value: bytes) -> JobRecord:
    """Decode the value of a job's row.

    Raises:
        Undecodable: It is no job's.
    """
    return decode_json(value, JobRecord)


def to_stored_result(result: ItemResult) -> StoredResult:
    """Return a result as it is stored in a row."""
    return StoredResult(
        item_id=result.item_id,
        state=result.state,
        text=result.text,
        versions=result.versions,
        score=result.score,
    )


def job_row(job_id: str) -> RowId:
    """Return the id of a job's row."""
    return RowId(table=JOBS_TABLE, part=job_id, key=_JOB_KEY)


def tail_row(job_id: str) -> RowId:
    """Return the id of the row that holds the end of a job's result list."""
    return RowId(table=TAILS_TABLE, part=job_id, key=_TAIL_KEY)


def text_row(job_id: str, text: KeptText) -> RowId:
    """Return the id of the row of a piece of a partial text."""
    key = f"{text.item_id}/{position_key(text.first)}"
    return RowId(table=TEXTS_TABLE, part=job_id, key=key)


def result_row(job_id: str, last_position: int) -> RowId:
    """Return the id of a result row.

    The key is the row's last position, so that a scan from any position starts at the row that
    contains it.
    """
    return RowId(table=RESULTS_TABLE, part=job_id, key=position_key(last_position))


def position_key(position: int) -> str:
    """Return a key whose byte order is that of the positions."""
    return f"{position:0{_POSITION_DIGITS}d}"


def submission_row(job_id: str, number: int) -> RowId:
    """Return the id of a row of a submission."""
    return RowId(table=SUBMISSIONS_TABLE, part=job_id, key=position_key(number))


def submission_object(job_id: str) -> str:
    """Return the name of the object that holds a large submission."""
    return f"batch-{job_id}"
