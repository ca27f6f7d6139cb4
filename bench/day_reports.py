"""Tables and plots of a platform bench's reports, against an earlier run.

The reports of one run lie in a folder, one JSON file for each day, named
``SITE-DAY.json``; ``--play`` makes them. A table names for each day what
costs most, so that the next weakest day is seen at a glance.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from matplotlib import pyplot
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

SHOWN_PRICES = 3
PLOT_INCHES = (10.0, 5.0)
PLOT_DPI = 100


class _Model(BaseModel):
    # The bench may add fields.
    model_config = ConfigDict(extra='ignore', frozen=True)


class Part(_Model):
    """Requests of one kind, data centre or window of time.

    `credit` is the share of the credit that callers could have given;
    `name` of a window is its first second.
    """

    name: str
    number: int = Field(alias='n')
    credit: float = Field(alias='worth')
    median_ms: float = Field(alias='p50_ms')
    p99_ms: float


class Report(_Model):
    """One day as the bench reports it."""

    worth: float = Field(alias='G')
    served: float
    broken: dict[str, object] = Field(alias='breaks')
    kinds: list[Part] = Field(alias='classes')
    zones: list[Part]
    windows: list[Part]
    # Name, amount, and what it takes off the worth.
    prices: list[tuple[str, float, float]]


def load_reports(folder: Path) -> dict[str, Report]:
    """Return the reports of a folder by their names."""
    return {
        path.stem: Report.model_validate_json(path.read_bytes())
        for path in sorted(folder.glob('*.json'))
    }


def build_table(
    reports: dict[str, Report], before: dict[str, Report]
) -> list[list[str]]:
    """Return the rows of a table, the day with the least worth first."""
    header = ['day', 'worth', 'change', 'credit', 'worst kind', 'worst zone']
    rows = [[*header, 'worst window', 'highest prices', 'broken']]
    for name, report in sorted(reports.items(), key=lambda i: i[1].worth):
        earlier = before.get(name)
        change = f'{report.worth - earlier.worth:+.3f}' if earlier else ''
        prices = sorted(report.prices, key=lambda price: -price[2])
        rows.append(
            [
                name,
                f'{report.worth:.3f}',
                change,
                f'{report.served:.3f}',
                _worst(report.kinds),
                _worst(report.zones),
                _worst(report.windows),
                ', '.join(f'{p[0]} {p[2]:.3f}' for p in prices[:SHOWN_PRICES]),
                ', '.join(report.broken) or '-',
            ]
        )
    return rows


def _worst(parts: list[Part]) -> str:
    part = min(parts, key=lambda part: part.credit, default=None)
    return f'{part.name} {part.credit:.3f}' if part is not None else '-'


def print_table(rows: list[list[str]]) -> None:
    """Print rows as a table in Markdown."""
    columns = zip(*rows, strict=True)
    widths = [max(len(cell) for cell in column) for column in columns]
    rule = ['-' * width for width in widths]
    for row in [rows[0], rule, *rows[1:]]:
        cells = (c.ljust(w) for c, w in zip(row, widths, strict=True))
        print(f'| {" | ".join(cells)} |')


def plot_day(
    name: str, report: Report, earlier: Report | None, folder: Path
) -> Path:
    """Draw credit and waiting time over a day; return the file."""
    figure, (upper, lower) = pyplot.subplots(
        2, 1, sharex=True, figsize=PLOT_INCHES
    )
    runs = [('now', report), ('before', earlier)]
    for label, shown in runs:
        if shown is None:
            continue
        seconds = [float(part.name) for part in shown.windows]
        style = '-' if label == 'now' else ':'
        credit = [part.credit for part in shown.windows]
        upper.plot(seconds, credit, style, label=label)
        p99_ms = [part.p99_ms for part in shown.windows]
        lower.plot(seconds, p99_ms, style, label=f'p99, {label}')
        median_ms = [part.median_ms for part in shown.windows]
        lower.plot(seconds, median_ms, style, label=f'median, {label}')
    upper.set_ylabel('credit')
    upper.set_title(f'{name}: worth {report.worth:.3f}')
    upper.legend()
    lower.set_yscale('log')
    lower.set_ylabel('waiting time, ms')
    lower.set_xlabel('second')
    lower.legend()
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f'{name}.png'
    figure.savefig(path, dpi=PLOT_DPI)
    pyplot.close(figure)
    return path


def play(
    bench: Path, site: Path, days: Sequence[str], folder: Path, jobs: int
) -> None:
    """Have the bench play days of a site and keep their reports."""
    folder.mkdir(parents=True, exist_ok=True)

    def play_day(day: str) -> None:
        report = folder / f'{site.stem}-{day}.json'
        command = [str(bench), 'run', str(site), day, '--report', str(report)]
        result = subprocess.run(command, capture_output=True, text=True)
        if result.returncode:
            print(f'{site.stem} {day}: exit code {result.returncode}')
            print(result.stderr[-1_000:])

    with ThreadPoolExecutor(jobs) as pool:
        list(pool.map(play_day, days))


def main(argv: Sequence[str] | None = None) -> int:
    """Print the table and draw the plots; 1 if a rule was broken."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.day_reports', description=__doc__
    )
    parser.add_argument('folder', type=Path, help='reports of this run')
    parser.add_argument('--before', type=Path, help='reports of another run')
    parser.add_argument('--plots', type=Path, help='folder for the plots')
    parser.add_argument('--play', type=Path, metavar='BENCH')
    parser.add_argument('--site', type=Path, help='site to play')
    parser.add_argument('--days', nargs='*', default=[], help='days to play')
    parser.add_argument('--jobs', type=int, default=2)
    args = parser.parse_args(argv)
    if args.play is not None:
        if args.site is None:
            parser.error('--play needs --site')
        play(args.play, args.site, args.days, args.folder, args.jobs)
    reports = load_reports(args.folder)
    before = load_reports(args.before) if args.before else {}
    print_table(build_table(reports, before))
    if args.plots is not None:
        for name, report in reports.items():
            plot_day(name, report, before.get(name), args.plots)
    return 1 if any(report.broken for report in reports.values()) else 0


if __name__ == '__main__':
    sys.exit(main())
