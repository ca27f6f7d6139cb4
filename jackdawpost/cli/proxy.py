"""Entry point of ``jackdawpost-proxy``, the proxy process."""

from __future__ import annotations

from collections.abc import Sequence

from jackdawpost.cli.common import add_record_argument
from jackdawpost.cli.common import build_parser
from jackdawpost.cli.common import load_or_exit
from jackdawpost.cli.common import run_daemon
from jackdawpost.runtime.proxy_shell import start_proxy
from jackdawpost.settings.models import ProxySettings


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = build_parser(
        'jackdawpost-proxy',
        'Run a proxy, which serves callers and manages sessions, routing,\n'
        'limits and retries.',
        'jackdawpost-proxy --config proxy-0.json',
    )
    add_record_argument(parser)
    args = parser.parse_args(argv)
    settings = load_or_exit(args, ProxySettings)
    return run_daemon(settings, args.record, start_proxy)


if __name__ == '__main__':
    raise SystemExit(main())
