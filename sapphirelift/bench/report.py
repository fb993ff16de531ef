"""Formats the result of a run as a terminal table and an HTML page."""

import html
import json
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

_WIDTH, _HEIGHT, _MARGIN = 860, 220, 46
_COLOURS = (
    "#1f77b4",
    "#d62728",
    "#2ca02c",
    "#ff7f0e",
    "#9467bd",
    "#8c564b",
    "#e377c2",
    "#17becf",
    "#bcbd22",
    "#7f7f7f",
    "#000000",
)
_STYLE = (
    "body{font:14px sans-serif;max-width:900px;margin:2em auto}"
    "table{border-collapse:collapse}td,th{border:1px solid #ccc;"
    "padding:2px 8px;text-align:left;vertical-align:top}"
    "td{word-break:break-word}.missed{background:#fdd}.passed{background:#dfd}"
    "svg text{font:11px sans-serif}"
)
_REASON_COUNTS = (
    "broken_flow_reasons",
    "not_run_reasons",
    "unknown_reasons",
    "dropped_by_daemons",
)
_CHARTS = {
    "outcomes_per_s": "Outcomes per second",
    "latency_ms": "Latency p99 in ms",
    "runs_per_s": "Runs per second at each backend server",
}
_HIDDEN_FIGURES = {"latency_histogram"}


def table(result: Mapping[str, Any]) -> str:
    """Returns bounds and figures as a plain-text table."""
    head = f"{result['scenario']} {result['size']} seed {result['seed']}"
    lines = [f"{head}: {result['summary']}"]
    bounded_keys = set()
    for bound in result["bounds"]:
        bounded_keys.add(bound["key"])
        verdict = "pass" if bound["passed"] else "FAIL"
        limit = f"{bound['operator']} {bound['limit']:g}"
        lines.append(
            f"  {bound['key']:<28}{bound['value']!s:>12}  {limit:<10}{verdict}"
        )
    for key, value in result["figures"].items():
        is_scalar = not isinstance(value, dict | list | str)
        if is_scalar and key not in bounded_keys:
            lines.append(f"  {key:<28}{value!s:>12}")
    for key in _REASON_COUNTS:
        if result["figures"].get(key):
            lines.append(f"  {key:<28}{json.dumps(result['figures'][key])}")
    return "\n".join(lines)


def page(result: Mapping[str, Any]) -> str:
    """Returns a self-contained HTML page with time series."""
    series = result["series"]
    step_s, events = series.get("step_s", 1.0), result["events"]
    title = f"{result['scenario']} at {result['size']}, seed {result['seed']}"
    parts = [
        "<!DOCTYPE html><html><head><meta charset='utf-8'>",
        f"<title>{html.escape(title)}</title><style>{_STYLE}</style></head>",
        f"<body><h1>{html.escape(title)}</h1>",
        f"<p>{html.escape(result['summary'])}, {result['duration_s']:g} s</p>",
        _bounds_table(result["bounds"]),
        *(
            f"<h2>{heading}</h2>" + _chart(series[key], step_s, events)
            for key, heading in _CHARTS.items()
            if key in series
        ),
        "<h2>Changes</h2><ul>",
        *(
            f"<li>{event['at_s']:.2f} s: {html.escape(event['text'])}</li>"
            for event in events
        ),
        "</ul><h2>Figures</h2>",
        _figures_table(result["figures"]),
        "</body></html>",
    ]
    return "\n".join(parts)


def _bounds_table(bounds: Sequence[Mapping[str, Any]]) -> str:
    rows = ["<h2>Bounds</h2><table>"]
    for bound in bounds:
        verdict = "passed" if bound["passed"] else "missed"
        rows.append(
            f"<tr class='{verdict}'><td>{html.escape(bound['key'])}</td>"
            f"<td>{bound['value']}</td><td>"
            f"{html.escape(bound['operator'])} {bound['limit']:g}</td>"
            f"<td>{verdict}</td></tr>"
        )
    return "".join([*rows, "</table>"])


def _figures_table(figures: Mapping[str, Any]) -> str:
    rows = [
        f"<tr><td>{html.escape(key)}</td>"
        f"<td>{html.escape(json.dumps(value))}</td></tr>"
        for key, value in figures.items()
        if key not in _HIDDEN_FIGURES
    ]
    return "".join(["<table>", *rows, "</table>"])


def _chart(
    lines: Mapping[str, Sequence[float]],
    step_s: float,
    events: Sequence[Mapping[str, Any]],
) -> str:
    """Returns an SVG chart of values over time that marks each change."""
    count = max((len(values) for values in lines.values()), default=1)
    top = max((max(v, default=0) for v in lines.values()), default=0) or 1.0
    span_s = max(count * step_s, step_s)

    def x(at_s: float) -> float:
        return _MARGIN + at_s / span_s * (_WIDTH - _MARGIN - 10)

    def y(value: float) -> float:
        return _HEIGHT - 24 - value / top * (_HEIGHT - 44)

    parts = [f"<svg width='{_WIDTH}' height='{_HEIGHT + 34}'>"]
    for share in (0, 0.5, 1):
        at = y(top * share)
        parts.append(
            f"<line x1='{_MARGIN}' x2='{_WIDTH - 10}' y1='{at:.1f}' "
            f"y2='{at:.1f}' stroke='#ddd'/>"
            f"<text x='2' y='{at + 4:.1f}'>{top * share:.4g}</text>"
        )
    for event in events:
        at = x(event["at_s"])
        parts.append(
            f"<line x1='{at:.1f}' x2='{at:.1f}' y1='10' y2='{_HEIGHT - 24}' "
            f"stroke='#999' stroke-dasharray='3'>"
            f"<title>{html.escape(event['text'])}</title></line>"
        )
    for index, (name, values) in enumerate(lines.items()):
        colour = _COLOURS[index % len(_COLOURS)]
        points = " ".join(
            f"{x((i + 0.5) * step_s):.1f},{y(value):.1f}"
            for i, value in enumerate(values)
        )
        parts.append(
            f"<polyline points='{points}' fill='none' stroke='{colour}'/>"
            f"<text x='{_MARGIN + index % 5 * 160}' "
            f"y='{_HEIGHT + index // 5 * 13}' fill='{colour}'>"
            f"{html.escape(name)}</text>"
        )
    parts.append(
        f"<text x='{_WIDTH - 40}' y='{_HEIGHT - 10}'>{span_s:g} s</text></svg>"
    )
    return "".join(parts)
