"""Tests that the core does no I/O and reads no clock."""

import ast
from pathlib import Path

import pytest

CORE = Path(__file__).parent.parent / "dandelionarch" / "core"
FORBIDDEN = {
    "aiohttp",
    "asyncio",
    "logging",
    "os",
    "sanic",
    "secrets",
    "socket",
    "subprocess",
    "threading",
    "time",
    "uuid",
}
FORBIDDEN_PACKAGES = ("dandelionarch.daemon", "dandelionarch.wire")


def imported_modules(tree):
    """Yield the dotted name of every imported module."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def random_calls(tree):
    """Yield the names used of the global random generator."""
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Attribute)
            and isinstance(node.value, ast.Name)
            and node.value.id == "random"
            and node.attr != "Random"
        ):
            yield node.attr


class TestCorePurity:
    """Time and randomness are passed in, so that every run can be repeated."""

    @pytest.mark.parametrize("path", sorted(CORE.rglob("*.py")), ids=lambda p: p.stem)
    def test_module_has_no_io(self, path):
        """Guards against a clock, a socket or a global generator in the core."""
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for name in imported_modules(tree):
            assert name.split(".")[0] not in FORBIDDEN, name
            assert not name.startswith(FORBIDDEN_PACKAGES), name
        assert list(random_calls(tree)) == []
