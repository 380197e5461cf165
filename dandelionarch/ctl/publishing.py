"""Subcommands that show and change the two lists, plans and allowances."""

import json
import sys
import time
from pathlib import Path

from dandelionarch.core.amend import (
    KIND_ATTRIBUTES,
    Difference,
    amend,
    difference,
    parse_title,
    title_of,
    to_text,
)
from dandelionarch.core.config import Publication, Verdict
from dandelionarch.core.lists import ALLOWANCE_SECTIONS, PLAN_SECTIONS, parse_lists
from dandelionarch.ctl.base import Command
from dandelionarch.ctl.configlog import AppendStatus, ConfigLog
from dandelionarch.errors import ListError, PlatformError

EXIT_REFUSED = 2
EXIT_LOST_RACE = 3
EXIT_UNAVAILABLE = 4
DEFAULT_TIMEOUT_S = 15.0
DEFAULT_HISTORY_COUNT = 20

EXIT_CODES = """\
exit codes:
  0  accepted: active on every daemon within seconds
  2  refused: a list or an option is invalid; nothing changed
  3  lost the race: another change was appended first; nothing changed
  4  platform unavailable: nothing changed, or unknown (the message says which)
"""


def read_text(path):
    """Return a file's text, or raise `ListError`."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise ListError(path, "-", "-", str(exc)) from exc


def add_log_option(parser):
    """Add the option for the URL of the log service."""
    parser.add_argument(
        "--log", required=True, metavar="URL", help="URL of the platform's log service"
    )


class Check(Command):
    """Validate both lists without publishing them."""

    name = "check"
    help = "validate both lists without publishing them"
    epilog = "example: dandelionctl check plans.ini allowances.ini"

    def add_arguments(self, parser):
        parser.add_argument("plans", help="INI file with [customer NAME] sections")
        parser.add_argument(
            "allowances",
            help="INI file of services, routes, crests, plans and allowances",
        )

    async def run(self, args):
        lists = parse_lists(read_text(args.plans), read_text(args.allowances))
        print(f"ok: {len(lists.customers)} customers, {len(lists.routes)} routes")
        return 0


class ChangeCommand(Command):
    """A command that appends a publication and waits for the verdict on it."""

    epilog = EXIT_CODES

    def add_arguments(self, parser):
        add_log_option(parser)
        parser.add_argument(
            "--author", default="operator", help="author of the change, for the history"
        )
        parser.add_argument(
            "--base",
            type=int,
            metavar="REVISION",
            help="revision on which the change is based (default: the current one)",
        )
        parser.add_argument(
            "--timeout",
            type=float,
            default=DEFAULT_TIMEOUT_S,
            metavar="SECONDS",
            help="how long to wait for the verdict (default: %(default)s)",
        )

    async def run(self, args):
        change = self.read_change(args)
        async with ConfigLog(args.log) as config:
            try:
                state = await config.catch_up()
            except PlatformError as exc:
                print(f"platform unavailable: {exc}\nnothing changed", file=sys.stderr)
                return EXIT_UNAVAILABLE
            base = state.revision if args.base is None else args.base
            if base != state.revision:
                return self._report_lost_race(config, base)
            pub = self.publication(change, state, args.author)
            if pub is None:
                print(f"no change: revision {state.revision} already has these values")
                return 0
            outcome = await config.publish(pub, args.timeout)
            return self._report(config, base, outcome)

    def _report(self, config, base, outcome):
        if outcome.status is AppendStatus.NOT_APPENDED:
            print("platform unavailable: nothing changed", file=sys.stderr)
            return EXIT_UNAVAILABLE
        if outcome.status is AppendStatus.UNKNOWN:
            print(
                "platform unavailable: it is unknown whether the change took effect\n"
                "to find out when the log is available again, run: "
                f"dandelionctl history --log URL --record {outcome.record_id}",
                file=sys.stderr,
            )
            return EXIT_UNAVAILABLE
        decision = outcome.decision
        if decision.verdict is Verdict.ACCEPTED:
            print(
                f"accepted: revision {decision.revision} "
                f"({decision.changes} sections, record {decision.record_id})"
            )
            return 0
        if decision.verdict is Verdict.LOST_RACE:
            return self._report_lost_race(config, base)
        print(f"refused: {decision.reason}\nnothing changed", file=sys.stderr)
        return EXIT_REFUSED

    def _report_lost_race(self, config, base):
        current = config.state.revision
        print(
            f"lost the race: the change is based on revision {base}, "
            f"but revision {current} is in force; nothing changed",
            file=sys.stderr,
        )
        for decision in config.accepted_since(base):
            print(
                f"revision {decision.revision} by {decision.author}:", file=sys.stderr
            )
            print_difference(decision, sys.stderr)
        print("check `dandelionctl show`, then try again", file=sys.stderr)
        return EXIT_LOST_RACE


class Publish(ChangeCommand):
    """Publish both lists and wait for the verdict."""

    name = "publish"
    help = "publish both lists in full and wait for the verdict"
    epilog = (
        "example: dandelionctl publish plans.ini allowances.ini --log URL --base 41\n"
        "Pass the revision that `show` printed as --base, so that a concurrent change\n"
        "is not overwritten.\n\n" + EXIT_CODES
    )

    def add_arguments(self, parser):
        Check().add_arguments(parser)
        super().add_arguments(parser)

    def read_change(self, args):
        texts = read_text(args.plans), read_text(args.allowances)
        return texts, parse_lists(*texts)

    def publication(self, change, state, author):
        texts, lists = change
        if not state.revision:
            return Publication(state.revision, author, lists=texts)
        # Equivalent to the full lists on this base, but smaller and faster to apply.
        diff = difference(state.lists, lists)
        return Publication(state.revision, author, None, diff) if diff.titles else None


class Amend(ChangeCommand):
    """Change sections of the lists and wait for the verdict."""

    name = "amend"
    help = "change sections of the lists and wait for the verdict"
    epilog = (
        "examples:\n"
        '  dandelionctl amend --log URL --set "customer fern:plan=gold"\n'
        '  dandelionctl amend --log URL --unset "allow gold orders:crest_rate"\n'
        '  dandelionctl amend --log URL --remove "customer moss"\n'
        "  dandelionctl amend --log URL --file change.json\n"
        "FILE holds {set: {TITLE: {OPTION: TEXT}}, removed: [TITLE],\n"
        "changed: {TITLE: {OPTION: TEXT or null}}}; `set` replaces whole sections.\n\n"
        + EXIT_CODES
    )

    def add_arguments(self, parser):
        super().add_arguments(parser)
        parser.add_argument(
            "--set",
            action="append",
            default=[],
            metavar="TITLE:OPTION=VALUE",
            help="set an option; creates the section if it is missing",
        )
        parser.add_argument(
            "--unset",
            action="append",
            default=[],
            metavar="TITLE:OPTION",
            help="reset an option to its default",
        )
        parser.add_argument(
            "--remove",
            action="append",
            default=[],
            metavar="TITLE",
            help="remove a section",
        )
        parser.add_argument("--file", help="JSON file with a difference")

    def read_change(self, args):
        diff = read_difference(args.file) if args.file else Difference()
        changed = {title: dict(options) for title, options in diff.changed.items()}
        for text in args.set:
            title, option, value = _parse_assignment(text)
            changed.setdefault(title, {})[option] = value
        for text in args.unset:
            title, _, option = text.rpartition(":")
            changed.setdefault(_canonical_title(title), {})[option.strip()] = None
        removed = (*diff.removed, *(_canonical_title(title) for title in args.remove))
        diff = Difference(diff.set, removed, changed)
        if not diff.titles:
            problem = "nothing to change; give --set, --unset, --remove or --file"
            raise ListError("difference", "-", "-", problem)
        return diff

    def publication(self, change, state, author):
        new_lists = amend(state.lists, with_new_sections(state.lists, change))
        diff = difference(state.lists, new_lists)
        return Publication(state.revision, author, None, diff) if diff.titles else None


def with_new_sections(lists, diff):
    """Return a difference in which changes to missing sections create them."""
    new_sections, changed = dict(diff.set), {}
    for title, options in diff.changed.items():
        _, kind, key, _ = parse_title(title)
        exists = key in getattr(lists, KIND_ATTRIBUTES[kind])
        if exists or None in options.values():
            changed[title] = options
        else:
            new_sections[title] = {**new_sections.get(title, {}), **options}
    return Difference(new_sections, diff.removed, changed)


def read_difference(path):
    """Read a `Difference` from a JSON file."""
    try:
        body = json.loads(read_text(path))
        empty = {"set": {}, "removed": [], "changed": {}}
        unknown = sorted(body.keys() - empty.keys())
        if unknown:
            raise ValueError(f"unknown key {unknown[0]!r}; known: {', '.join(empty)}")
        return Difference.from_json({**empty, **body})
    except (ValueError, TypeError, AttributeError) as exc:
        raise ListError(path, "-", "-", str(exc)) from exc


def _canonical_title(text):
    _, kind, key, _ = parse_title(text)
    return title_of(kind, key)


def _parse_assignment(text):
    title, colon, assignment = text.partition(":")
    option, equals, value = assignment.partition("=")
    if not (colon and equals and option.strip()):
        raise ListError("--set", text, "-", "expected TITLE:OPTION=VALUE")
    return _canonical_title(title), option.strip(), value.strip()


def print_difference(decision, out):
    """Print the changes of a decision, or their number if they are no longer kept."""
    if decision.difference is None:
        print(f"  {decision.changes} sections changed", file=out)
        return
    for line in decision.difference.lines():
        print(f"  {line}", file=out)


class Show(Command):
    """Show the active lists."""

    name = "show"
    help = "show the active lists"
    epilog = (
        "example: dandelionctl show plans --log URL > plans.ini\n"
        "The revision is printed to standard error; pass it to `publish --base`."
    )

    def add_arguments(self, parser):
        parser.add_argument("list", choices=["plans", "allowances", "all"])
        add_log_option(parser)

    async def run(self, args):
        async with ConfigLog(args.log) as config:
            state = await config.catch_up()
        kinds = []
        if args.list != "allowances":
            kinds += PLAN_SECTIONS
        if args.list != "plans":
            kinds += ALLOWANCE_SECTIONS
        print(f"revision {state.revision}", file=sys.stderr)
        print(to_text(state.lists, kinds), end="")
        return 0


class History(Command):
    """Show the results of the latest publications."""

    name = "history"
    help = "show the results of the latest publications"
    epilog = (
        "example: dandelionctl history --log URL --record ID\n"
        "With --record, the exit code is the result: 0 accepted, 2 refused,\n"
        "3 lost the race, 1 not in the log."
    )

    def add_arguments(self, parser):
        add_log_option(parser)
        parser.add_argument(
            "--record", metavar="ID", help="show the publication with this record id"
        )
        parser.add_argument(
            "--last",
            type=int,
            default=DEFAULT_HISTORY_COUNT,
            help="number of publications to show",
        )

    async def run(self, args):
        async with ConfigLog(args.log) as config:
            state = await config.catch_up()
        if args.record is None:
            for decision in list(state.decisions.values())[-max(1, args.last) :]:
                _print_decision(decision)
            return 0
        decision = state.decisions.get(args.record)
        if decision is None:
            print(
                f"record {args.record} is not in the log: nothing changed, unless the "
                f"append is still in progress (the last {len(state.decisions)} "
                "publications were searched)"
            )
            return 1
        _print_decision(decision)
        print_difference(decision, sys.stdout)
        codes = {Verdict.REFUSED: EXIT_REFUSED, Verdict.LOST_RACE: EXIT_LOST_RACE}
        return codes.get(decision.verdict, 0)


def _print_decision(decision):
    when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(decision.time_s))
    print(
        f"{when} {decision.verdict.value} revision={decision.revision} "
        f"author={decision.author} record={decision.record_id} "
        f"changes={decision.changes} {decision.reason}".rstrip()
    )
