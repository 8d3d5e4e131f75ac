"""Routes of the operator port for the configuration table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from returns.pipeline import is_successful

from medlarspring_adapters.decisions import Subject
from medlarspring_adapters.events import Event
from medlarspring_adapters.operator_api import EditAnswer, PlanAnswer, TableAnswer
from medlarspring_adapters.store import StoreError, StoreOutcomeUnknown
from medlarspring_daemon.configuration.editor_errors import StoreTableOlder
from medlarspring_daemon.operators.answers import (
    BadRequest,
    OperatorRefusal,
    answer,
    read_body,
    unwrap_or_refuse,
)
from medlarspring_systems.table_csv import format_csv, parse_csv, plan_import
from medlarspring_systems.table_edit import TableEdit
from medlarspring_systems.table_republish import RepublishRequest
from medlarspring_tables import EditId

if TYPE_CHECKING:
    from returns.result import Result

    from medlarspring_daemon.configuration.table_editor import TableEditor
    from medlarspring_daemon.node import Node
    from medlarspring_systems.table_edit import AcceptedChange
    from medlarspring_tables import MedlarspringError

PREVIEW_ID = EditId("preview")


class TableRoutes:
    """Handlers that show, edit, import and export the table."""

    def __init__(self, node: Node, editor: TableEditor) -> None:
        self._node = node
        self._editor = editor

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the table."""
        return [
            web.get("/v1/table", self._show),
            web.get("/v1/table/export", self._export),
            web.post("/v1/table/edits", self._edit),
            web.post("/v1/table/import-plan", self._plan_import),
            web.post("/v1/table/republish", self._republish),
        ]

    async def _show(self, request: web.Request) -> web.Response:
        return answer(await self._read())

    async def _export(self, request: web.Request) -> web.Response:
        shown = await self._read()
        return web.Response(text=format_csv(shown.table), content_type="text/csv")

    async def _edit(self, request: web.Request) -> web.Response:
        edit = await read_body(request, TableEdit)
        if not edit.id or not edit.rows:
            raise OperatorRefusal(
                BadRequest("An edit needs an id and at least one row.")
            )
        result = await self._editor.accept(edit, self._describe_origin(request))
        return self._answer_change(edit.id, edit.operator, result)

    async def _republish(self, request: web.Request) -> web.Response:
        command = await read_body(request, RepublishRequest)
        result = await self._editor.republish(command, self._describe_origin(request))
        return self._answer_change(command.id, command.operator, result)

    def _answer_change(
        self,
        edit_id: EditId,
        operator: str,
        result: Result[AcceptedChange, MedlarspringError],
    ) -> web.Response:
        if not is_successful(result):
            self._record_refusal(edit_id, operator, result.failure())
        change = unwrap_or_refuse(result)
        repeated = change.record is None
        self._node.decisions.record(
            Subject.EDIT,
            edit_id,
            "accepted",
            "accepted before" if repeated else "checks passed",
            revision=change.revision,
            operator=operator,
        )
        self._node.log.info(
            Event.EDIT_ACCEPTED,
            edit=edit_id,
            operator=operator,
            revision=change.revision,
            repeated=repeated,
        )
        return answer(
            EditAnswer(
                revision=change.revision,
                changes=change.record.changes if change.record else (),
                repeated=repeated,
                entry_vm=self._node.id,
            )
        )

    async def _plan_import(self, request: web.Request) -> web.Response:
        try:
            text = (await request.read()).decode("utf-8")
        except UnicodeDecodeError:
            raise OperatorRefusal(
                BadRequest("The CSV file is not UTF-8; save it in that encoding.")
            ) from None
        csv_file = unwrap_or_refuse(parse_csv(text))
        stored = unwrap_or_refuse(await self._editor.read())
        rows = plan_import(stored.table, csv_file)
        if not rows:
            return answer(
                PlanAnswer(revision=stored.table.revision, rows=(), changes=())
            )
        edit = TableEdit(id=PREVIEW_ID, operator="", rows=rows)
        change = unwrap_or_refuse(await self._editor.preview(edit, ""))
        changes = change.record.changes if change.record else ()
        return answer(
            PlanAnswer(revision=stored.table.revision, rows=rows, changes=changes)
        )

    async def _read(self) -> TableAnswer:
        stored = await self._editor.read()
        if is_successful(stored):
            table = stored.unwrap().table
            return TableAnswer(table=table, from_store=True, entry_vm=self._node.id)
        error = stored.failure()
        in_force = self._node.config
        if in_force is None or not isinstance(error, StoreError | StoreTableOlder):
            raise OperatorRefusal(error)
        return TableAnswer(
            table=in_force,
            from_store=False,
            entry_vm=self._node.id,
            warning=f"This is the table in force at {self._node.id}. {error.message()}",
        )

    def _describe_origin(self, request: web.Request) -> str:
        return f"{request.remote} by {self._node.id}"

    def _record_refusal(
        self, edit_id: EditId, operator: str, error: MedlarspringError
    ) -> None:
        is_unknown = isinstance(error, StoreOutcomeUnknown)
        self._node.decisions.record(
            Subject.EDIT,
            edit_id,
            "unknown" if is_unknown else "refused",
            error.code,
            operator=operator,
            reason=error.message(),
        )
        self._node.log.warning(
            Event.EDIT_REFUSED, edit=edit_id, operator=operator, reason=error.code
        )


__all__ = ["TableRoutes"]
