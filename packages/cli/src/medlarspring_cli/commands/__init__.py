"""The commands of ``medlarspring``, one a module."""

from __future__ import annotations

from medlarspring_cli.commands.audit import AuditCommand
from medlarspring_cli.commands.explain import ExplainCommand
from medlarspring_cli.commands.job_cancel import JobCancelCommand
from medlarspring_cli.commands.job_list import JobListCommand
from medlarspring_cli.commands.job_show import JobShowCommand
from medlarspring_cli.commands.job_submit import JobSubmitCommand
from medlarspring_cli.commands.status import StatusCommand
from medlarspring_cli.commands.table_add import TableAddCommand
from medlarspring_cli.commands.table_export import TableExportCommand
from medlarspring_cli.commands.table_history import TableHistoryCommand
from medlarspring_cli.commands.table_import import TableImportCommand
from medlarspring_cli.commands.table_remove import TableRemoveCommand
from medlarspring_cli.commands.table_republish import TableRepublishCommand
from medlarspring_cli.commands.table_set import TableSetCommand
from medlarspring_cli.commands.table_show import TableShowCommand

COMMANDS = (
    TableShowCommand,
    TableSetCommand,
    TableAddCommand,
    TableRemoveCommand,
    TableHistoryCommand,
    TableExportCommand,
    TableImportCommand,
    TableRepublishCommand,
    JobSubmitCommand,
    JobListCommand,
    JobShowCommand,
    JobCancelCommand,
    AuditCommand,
    StatusCommand,
    ExplainCommand,
)

__all__ = ["COMMANDS"]
