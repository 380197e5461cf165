"""Entry point of `dandelionctl`."""

import argparse
import asyncio
import sys

from dandelionarch.ctl.commands import COMMANDS
from dandelionarch.errors import DandelionError


def build_parser():
    """Return the parser with one subparser per command."""
    parser = argparse.ArgumentParser(
        prog="dandelionctl",
        description="Publish the two lists (plans, allowances) and inspect the fleet.",
        epilog="Run `dandelionctl COMMAND --help` for examples and exit codes.",
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command in COMMANDS:
        sub = subparsers.add_parser(
            command.name,
            help=command.help,
            description=command.__doc__,
            epilog=command.epilog,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_arguments(sub)
        sub.set_defaults(run=command.run)
    return parser


def main(argv=None):
    """Run one command and return its exit code."""
    args = build_parser().parse_args(argv)
    try:
        return asyncio.run(args.run(args))
    except DandelionError as exc:
        print(f"dandelionctl: {exc}", file=sys.stderr)
        return exc.exit_code


if __name__ == "__main__":
    sys.exit(main())
