"""Plain-text tables."""

from collections.abc import Sequence

__all__ = ["aligned"]

_GAP = "  "


def aligned(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table whose columns are as wide as their widest cell."""
    table = [tuple(head), *(tuple(row) for row in rows)]
    widths = [max(len(row[index]) for row in table) for index in range(len(head))]
    return "\n".join(
        _GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in table
    )
