"""Runs one experiment on real processes and prints the results as JSON.

Example: ``python -m bench.run failover --runs 20 --output failover.json``
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import trio

from bench.cluster import Cluster
from bench.cluster import run_cluster
from bench.demo import prepare_cluster
from bench.deployments import Deployment
from bench.deployments import DEPLOYMENTS
from bench.experiment_config import run_config
from bench.experiment_cost import run_cost
from bench.experiment_failover import run_failover
from bench.experiment_failover import run_healthy
from bench.experiment_faults import run_faults
from bench.experiment_faults import SCENARIOS
from bench.experiment_latency import run_latency
from bench.experiment_share import run_overload
from bench.experiment_share import run_share
from bench.experiment_throughput import run_throughput

Experiment = Callable[[Deployment, argparse.Namespace], dict[str, Any]]

CHANGES_FILE = 'changes.json'


def main(argv: Sequence[str] | None = None) -> int:
    """Run an experiment, print the results and return 0."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.run',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('experiment', choices=sorted(EXPERIMENTS))
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default='handfang'
    )
    parser.add_argument('--runs', type=int, default=20)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument(
        '--scenario',
        choices=sorted(SCENARIOS),
        help='scenario of the faults experiment, all by default',
    )
    parser.add_argument(
        '--output',
        type=Path,
        help='file to which the results are also written',
    )
    parser.add_argument(
        '--proxy-setting',
        action='append',
        default=[],
        metavar='KEY=VALUE',
        help='setting of the proxies with a JSON value, repeatable',
    )
    args = parser.parse_args(argv)
    args.proxy_settings = parse_settings(args.proxy_setting)
    deployment = DEPLOYMENTS[args.deployment]
    results = EXPERIMENTS[args.experiment](deployment, args)
    text = json.dumps(results, indent=2)
    print(text)
    if args.output is not None:
        args.output.write_text(text + '\n')
    return 0


def parse_settings(items: list[str]) -> dict[str, Any]:
    """Parse ``KEY=VALUE`` arguments with JSON values."""
    settings = {}
    for item in items:
        key, _, value = item.partition('=')
        settings[key] = json.loads(value)
    return settings


def _run_failover(
    deployment: Deployment, args: argparse.Namespace
) -> dict[str, Any]:
    database_settings = {'service_ms': 5, 'apply_lag_ms': 50}
    with _run_prepared_cluster(deployment, args, database_settings) as cluster:
        return trio.run(run_failover, cluster, args.runs)


def _run_healthy(
    deployment: Deployment, args: argparse.Namespace
) -> dict[str, Any]:
    database_settings = {'service_ms': 100, 'apply_lag_ms': 200}
    with _run_prepared_cluster(deployment, args, database_settings) as cluster:
        return trio.run(run_healthy, cluster, args.seconds)


@contextmanager
def _run_prepared_cluster(
    deployment: Deployment,
    args: argparse.Namespace,
    database_settings: dict[str, Any],
) -> Iterator[Cluster]:
    with run_cluster(
        deployment,
        database_settings=database_settings,
        proxy_settings=args.proxy_settings,
    ) as cluster:
        prepare_cluster(
            cluster, Path('examples') / deployment.name / CHANGES_FILE
        )
        yield cluster


EXPERIMENTS: dict[str, Experiment] = {
    'config': run_config,
    'cost': run_cost,
    'failover': _run_failover,
    'healthy': _run_healthy,
    'faults': run_faults,
    'latency': run_latency,
    'overload': run_overload,
    'share': run_share,
    'throughput': run_throughput,
}


if __name__ == '__main__':
    sys.exit(main())
