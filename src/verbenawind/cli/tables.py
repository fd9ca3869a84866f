"""Plain-text tables."""

from collections.abc import Sequence

__all__ = ["format_table"]

_COLUMN_SEPARATOR = "  "


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with columns padded to their widest cell."""
    table = [tuple(header), *(tuple(row) for row in rows)]
    widths = [max(len(row[index]) for row in table) for index in range(len(header))]
    return "\n".join(
        _COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    )
