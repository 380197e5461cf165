"""Base class of the subcommands of `dandelionctl`."""

from abc import ABC, abstractmethod


class Command(ABC):
    """One subcommand."""

    name: str
    help: str
    epilog = ""

    def add_arguments(self, parser):
        """Add the arguments of the command."""

    @abstractmethod
    async def run(self, args):
        """Run the command and return the exit code."""
