"""Entry point of ``jackdawpost-control``, the control process."""

from __future__ import annotations

from collections.abc import Sequence

from jackdawpost.cli.common import add_record_argument
from jackdawpost.cli.common import build_parser
from jackdawpost.cli.common import load_or_exit
from jackdawpost.cli.common import run_daemon
from jackdawpost.runtime.control_shell import start_control
from jackdawpost.settings.models import ControlSettings


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = build_parser(
        'jackdawpost-control',
        'Run a control process, which manages configuration, membership,\n'
        'leases, permits and promotions.',
        'jackdawpost-control --config control-0.json',
    )
    add_record_argument(parser)
    args = parser.parse_args(argv)
    settings = load_or_exit(args, ControlSettings)
    return run_daemon(settings, args.record, start_control)


if __name__ == '__main__':
    raise SystemExit(main())
