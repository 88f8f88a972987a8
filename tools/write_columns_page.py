"""Generate docs/operators/columns.md from the column declarations."""

from pathlib import Path

from cinderway.table import COLUMNS, Sheet, allowed_values, format_cell

PAGE = Path(__file__).resolve().parent.parent / "docs/operators/columns.md"
HEADER = """# Columns of the table

Written by `python tools/write_columns_page.py` from the declarations that the checks
use; a test compares them. `cinderway table columns SHEET` prints the same.
"""


def page() -> str:
    """Return the page's Markdown text."""
    lines = [HEADER]
    for sheet in Sheet:
        lines += [f"## {sheet.value}", "", "| column | allowed | default | meaning |"]
        lines.append("|---|---|---|---|")
        for name, column in COLUMNS[sheet].items():
            default = format_cell(column.default)
            default_text = "required" if column.is_required else default or "empty"
            allowed = allowed_values(column.kind).replace("|", "or")
            lines.append(f"| `{name}` | {allowed} | {default_text} | {column.help} |")
        lines.append("")
    return "\n".join(lines)


if __name__ == "__main__":
    PAGE.write_text(page())
