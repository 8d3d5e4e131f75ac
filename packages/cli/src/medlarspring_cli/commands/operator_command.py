"""Base class of all commands: shared options, client, output and errors."""

from __future__ import annotations

import getpass
import os
from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from medlarspring_cli.client import OperatorClient
from medlarspring_cli.errors import CommandError, UsageError
from medlarspring_cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

ADDRESS_VARIABLE = "MEDLARSPRING_ADDRESS"
TOKEN_VARIABLE = "MEDLARSPRING_TOKEN_FILE"
OPERATOR_VARIABLE = "MEDLARSPRING_OPERATOR"

OPERATOR_OPTION = option(
    "operator",
    None,
    "Your name for the audit trail"
    f" [env: <comment>{OPERATOR_VARIABLE}</comment>, else your login]",
    flag=False,
)


class OperatorCommand(Command):
    """Base class of the commands that send requests to a daemon."""

    own_options: ClassVar[list[Option]] = []
    """Options of this command; ``shared_options`` are appended to them."""

    shared_options: ClassVar[list[Option]] = [
        option(
            "address",
            "a",
            "Operator port as <comment>IP:PORT</comment>; several are tried in turn"
            f" [env: <comment>{ADDRESS_VARIABLE}</comment>, comma-separated]",
            flag=False,
            multiple=True,
        ),
        option(
            "token-file",
            "t",
            f"File with the token [env: <comment>{TOKEN_VARIABLE}</comment>]",
            flag=False,
        ),
        option("json", None, "Print JSON for programs instead of text for people"),
    ]

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        cls.options = [*cls.own_options, *cls.shared_options]

    def handle(self) -> int:
        """Run the command; a ``CommandError`` is printed and sets the exit status."""
        try:
            return self.run_command()
        except CommandError as error:
            self.print_error(error)
            return error.exit_code

    def run_command(self) -> int:
        """Run the command and return its exit status; implemented by each command."""
        raise NotImplementedError

    @property
    def wants_json(self) -> bool:
        """Whether JSON output was requested."""
        return bool(self.option("json"))

    def create_client(self) -> OperatorClient:
        """Return a client for the given addresses and token."""
        given = self.option("address") or [os.environ.get(ADDRESS_VARIABLE, "")]
        addresses = [
            address.strip()
            for text in given
            for address in text.split(",")
            if address.strip()
        ]
        if not addresses:
            raise UsageError(
                "No daemon is named. Give --address IP:PORT of an operator port, or"
                f" set {ADDRESS_VARIABLE}."
            )
        for address in addresses:
            _check_address(address)
        return OperatorClient(addresses, self._read_token())

    def print_text(self, text: str) -> None:
        """Print text without interpreting style tags."""
        self.io.write_line(text, type=Type.RAW)

    def print_json(self, document: object) -> None:
        """Print a document as indented JSON."""
        self.print_text(msgspec.json.format(msgspec.json.encode(document)).decode())

    def print_answer(self, document: object, text: str) -> int:
        """Print the document as JSON if requested, otherwise the text."""
        if self.wants_json:
            self.print_json(document)
        else:
            self.print_text(text)
        return ExitCode.OK

    def print_warning(self, text: str) -> None:
        """Print a warning about the response on standard error."""
        self.io.error_output.write_line(f"warning: {text}", type=Type.RAW)

    def print_error(self, error: CommandError) -> None:
        """Print an error on standard error."""
        if self.wants_json:
            document = {**error.document(), "exit_code": int(error.exit_code)}
            text = msgspec.json.format(msgspec.json.encode(document)).decode()
        elif error.exit_code is ExitCode.OK:
            text = error.message()
        else:
            text = f"error: {error.message()}"
        self.io.error_output.write_line(text, type=Type.RAW)

    def read_text(self, path: str, description: str) -> str:
        """Return the text of a file, or raise a ``UsageError`` with the reason."""
        try:
            return Path(path).read_text(encoding="utf-8")
        except OSError as error:
            reason = f"{description} {path} can't be read: {error.strerror}."
            raise UsageError(f"{reason} Name an existing file.") from None
        except UnicodeDecodeError:
            raise UsageError(
                f"{description} {path} is not UTF-8; save it so."
            ) from None

    def find_operator(self) -> str:
        """Return the operator's name for the audit trail.

        It comes from the option, the environment or the login, in this order.
        """
        given = self.option("operator") or os.environ.get(OPERATOR_VARIABLE)
        if given:
            return str(given)
        try:
            return getpass.getuser()
        except (KeyError, OSError):
            raise UsageError(
                "Your name is not known. Give --operator NAME for the audit trail, or"
                f" set {OPERATOR_VARIABLE}."
            ) from None

    def _read_token(self) -> str:
        path = self.option("token-file") or os.environ.get(TOKEN_VARIABLE)
        if not path:
            raise UsageError(
                "No token is given. Give --token-file FILE with the operators' token,"
                f" or set {TOKEN_VARIABLE}."
            )
        token = self.read_text(path, "Token file").strip()
        if not token or not token.isascii() or not token.isprintable():
            raise UsageError(
                f"Token file {path} holds no token; it takes one line of printable"
                " characters, the same as [operator] token_file of the daemon."
            )
        return token


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise UsageError(
            f"Address {address!r} is not IP:PORT, for example 10.0.0.7:8081."
        )


__all__ = [
    "ADDRESS_VARIABLE",
    "OPERATOR_OPTION",
    "OPERATOR_VARIABLE",
    "OperatorCommand",
    "TOKEN_VARIABLE",
]
