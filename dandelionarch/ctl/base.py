"""Base of the subcommands of `dandelionctl`."""

from abc import ABC, abstractmethod


class Command(ABC):
    """One subcommand, a thin object over the library."""

    name: str
    help: str
    epilog = ""

    def add_arguments(self, parser):
        """Add the command's own options."""

    @abstractmethod
    async def run(self, args):
        """Run the command and return the exit code."""
