"""Entry point of the measurements: `python -m dandelionarch.measure [NAME ...]`."""

import argparse
import importlib
import sys

# Each module has `NAME`, `HELP` and `main(args)`, which takes the rest of the
# command line and returns an exit code. Without a name, all run in this order.
MODULES = ("blocking", "crest", "detection", "floor", "membership", "orders", "speed")
# These run only when they are named.
NAMED_ONLY = ("chaos",)


def load_modules():
    """Return the measurement modules by name."""
    names = (*MODULES, *NAMED_ONLY)
    return {m: importlib.import_module(f"dandelionarch.measure.{m}") for m in names}


def main(argv=None):
    """Run one measurement, or all of them; return the highest exit code."""
    modules = load_modules()
    parser = argparse.ArgumentParser(prog="python -m dandelionarch.measure")
    commands = parser.add_subparsers(dest="name", metavar="NAME")
    for name, module in modules.items():
        commands.add_parser(name, help=module.HELP, add_help=False)
    args, rest = parser.parse_known_args(argv)
    if args.name is not None:
        return modules[args.name].main(rest)
    if rest:
        parser.error(f"options need a measurement: {', '.join(modules)}")
    return max(modules[name].main([]) or 0 for name in MODULES)


if __name__ == "__main__":
    sys.exit(main())
