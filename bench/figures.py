"""Percentiles and Markdown tables of the benchmarks."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3


def percentiles_ms(values_s: Iterable[float]) -> tuple[float, float, float]:
    """Return median, 99th percentile and maximum in ms; zeros without values."""
    histogram = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
    for value_s in values_s:
        histogram.record_value(max(round(value_s * 1_000_000), 1))
    if not histogram.get_total_count():
        return 0.0, 0.0, 0.0
    return (
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        histogram.get_max_value() / 1000,
    )


def format_table(header: list[str], rows: list[list]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def ms(value: float) -> str:
    """Format milliseconds."""
    return f"{value:,.1f}" if value < 100 else f"{value:,.0f}"
