"""Entry point of the ``medlarspring`` command."""

from __future__ import annotations

import sys
from importlib.metadata import version
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.commands.completions_command import CompletionsCommand
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from medlarspring_cli.commands import COMMANDS
from medlarspring_cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from collections.abc import Sequence


def create_application() -> Application:
    """Return the application with all commands registered."""
    application = Application("medlarspring", version("medlarspring-cli"))
    for command in COMMANDS:
        application.add(command())
    application.add(CompletionsCommand())
    application.auto_exits(False)
    application.catch_exceptions(False)
    return application


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status."""
    given = list(sys.argv if arguments is None else ["medlarspring", *arguments])
    command_line = ArgvInput(given)
    command_line.set_stream(sys.stdin)
    try:
        return int(create_application().run(command_line))
    except CleoError as error:
        print(f"error: {error}", file=sys.stderr)
        if len(given) > 1 and given[1].startswith("-"):
            print("Write options after the command.", file=sys.stderr)
        print("See `medlarspring list`, or a command's --help.", file=sys.stderr)
        return ExitCode.USAGE


if __name__ == "__main__":
    sys.exit(main())
