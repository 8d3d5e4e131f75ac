"""The commands of ``medlarspring``, one module for each."""

from __future__ import annotations

from medlarspring_cli.commands.audit import AuditCommand
from medlarspring_cli.commands.explain import ExplainCommand
from medlarspring_cli.commands.job_cancel import JobCancelCommand
from medlarspring_cli.commands.job_list import JobListCommand
from medlarspring_cli.commands.job_show import JobShowCommand
from medlarspring_cli.commands.job_submit import JobSubmitCommand
from medlarspring_cli.commands.move_list import MoveListCommand
from medlarspring_cli.commands.move_start import MoveStartCommand
from medlarspring_cli.commands.pool_list import PoolListCommand
from medlarspring_cli.commands.spare_show import SpareShowCommand
from medlarspring_cli.commands.status import StatusCommand
from medlarspring_cli.commands.table_add import TableAddCommand
from medlarspring_cli.commands.table_export import TableExportCommand
from medlarspring_cli.commands.table_history import TableHistoryCommand
from medlarspring_cli.commands.table_import import TableImportCommand
from medlarspring_cli.commands.table_remove import TableRemoveCommand
from medlarspring_cli.commands.table_republish import TableRepublishCommand
from medlarspring_cli.commands.table_set import TableSetCommand
from medlarspring_cli.commands.table_show import TableShowCommand
from medlarspring_cli.commands.vm_list import VMListCommand
from medlarspring_cli.commands.vm_show import VMShowCommand
from medlarspring_cli.commands.wave_change import (
    WaveAbortCommand,
    WavePauseCommand,
    WaveResumeCommand,
)
from medlarspring_cli.commands.wave_list import WaveListCommand
from medlarspring_cli.commands.wave_show import WaveShowCommand
from medlarspring_cli.commands.wave_start import WaveStartCommand

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
    PoolListCommand,
    SpareShowCommand,
    VMListCommand,
    VMShowCommand,
    WaveStartCommand,
    WaveListCommand,
    WaveShowCommand,
    WavePauseCommand,
    WaveResumeCommand,
    WaveAbortCommand,
    MoveStartCommand,
    MoveListCommand,
    AuditCommand,
    StatusCommand,
    ExplainCommand,
)

__all__ = ["COMMANDS"]
